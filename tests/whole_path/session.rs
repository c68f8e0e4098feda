//! The workloads of the brief, through three daemons in three regions.

use crate::normalise::normalise;
use crate::support::{Deployment, Options, eventually, expect_stdout};
use std::fmt::Write;

/// The commands of one daemon's session. `{n}` is its number, so that keys differ.
const SESSION: [&[&str]; 8] = [
    &["call", "shop-quotes", "quotes/crank-7?fitting=island"],
    &["call", "shop-orders", "orders", "--data", "{\"part\":\"gearbox\"}", "--key", "order-{n}"],
    &["call", "shop-orders", "orders", "--data", "{\"part\":\"gearbox\"}", "--key", "order-{n}"],
    &[
        "submit",
        "shop-plans",
        "sleep 20",
        "--tasks",
        "200",
        "--cpu-milli",
        "500",
        "--memory-mib",
        "256",
        "--key",
        "plan-{n}",
        "--wait",
    ],
    &["call", "coop-orders", "orders", "--data", "{\"kits\":30}", "--key", "kits-{n}"],
    &["submit", "coop-cuts", "sleep 10", "--tasks", "50", "--key", "cuts-{n}", "--wait"],
    &[
        "submit",
        "coop-patterns",
        "sleep 50",
        "--tasks",
        "12",
        "--cpu-milli",
        "2000",
        "--gang",
        "--key",
        "pattern-{n}",
        "--wait",
    ],
    &["call", "coop-slips", "slips", "--data", "{\"order\":\"kits-{n}\"}", "--key", "slip-{n}"],
];

#[test]
fn every_workload_through_every_daemon() {
    let d = Deployment::start(&Options { name: "session", ..Options::default() });
    let mut text = String::new();
    for i in 0..d.daemons.len() {
        writeln!(text, "## daemon {}", d.daemons[i].id).expect("memory");
        for command in SESSION {
            let words: Vec<String> =
                command.iter().map(|w| w.replace("{n}", &i.to_string())).collect();
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            writeln!(text, "$ {}", words.join(" ")).expect("memory");
            text += &expect_stdout(&d.run_client(i, &words));
        }
    }
    // A change made at one daemon is in force at all, and a repeated order is answered the same anywhere.
    text += "## across daemons\n";
    text += &expect_stdout(&d.run_client(0, &["limits", "edit", "coop-cuts", "weight=15"]));
    for i in 0..d.daemons.len() {
        let shown = eventually("the change is in force", || {
            let out = expect_stdout(&d.run_client(i, &["limits", "get", "coop-cuts"]));
            out.contains("version 2").then_some(out)
        });
        text += &shown;
    }
    let first = expect_stdout(&d.run_client(0, SESSION[1].map_key("order-0").as_slice()));
    let elsewhere = expect_stdout(&d.run_client(2, SESSION[1].map_key("order-0").as_slice()));
    assert_eq!(first, elsewhere);
    insta::assert_snapshot!("session", normalise(&text));
}

/// A command with another key.
trait MapKey {
    fn map_key(&self, key: &'static str) -> Vec<&'static str>;
}

impl MapKey for [&'static str] {
    fn map_key(&self, key: &'static str) -> Vec<&'static str> {
        let last = self.len() - 1;
        self[..last].iter().copied().chain([key]).collect()
    }
}
