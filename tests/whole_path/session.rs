//! Each kind of workload, through three daemons in three regions.

use crate::normalise::normalise;
use crate::support::{Deployment, Options, eventually, expect_stdout};
use std::fmt::Write;

/// The commands of the session at one daemon. `{n}` is replaced by the index of the daemon, so that keys differ.
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
        writeln!(text, "## daemon {}", d.daemons[i].id).expect("writing to a string cannot fail");
        for command in SESSION {
            let words: Vec<String> =
                command.iter().map(|w| w.replace("{n}", &i.to_string())).collect();
            let words: Vec<&str> = words.iter().map(String::as_str).collect();
            writeln!(text, "$ {}", words.join(" ")).expect("writing to a string cannot fail");
            text += &expect_stdout(&d.run_client(i, &words));
        }
    }
    // A change made at one daemon is in force at all of them, and a repeated order gets the same answer from any daemon.
    text += "## across daemons\n";
    text += &expect_stdout(&d.run_client(0, &["limits", "edit", "coop-cuts", "weight=15"]));
    for i in 0..d.daemons.len() {
        let shown = eventually("the change is in force", || {
            let out = expect_stdout(&d.run_client(i, &["limits", "get", "coop-cuts"]));
            out.contains("version 2").then_some(out)
        });
        text += &shown;
    }
    let first = expect_stdout(&d.run_client(0, SESSION[1].with_key("order-0").as_slice()));
    let repeated = expect_stdout(&d.run_client(2, SESSION[1].with_key("order-0").as_slice()));
    assert_eq!(first, repeated);
    insta::assert_snapshot!("session", normalise(&text));
}

/// Replaces the key, which is the last argument of a command.
trait WithKey {
    fn with_key(&self, key: &'static str) -> Vec<&'static str>;
}

impl WithKey for [&'static str] {
    fn with_key(&self, key: &'static str) -> Vec<&'static str> {
        let last = self.len() - 1;
        self[..last].iter().copied().chain([key]).collect()
    }
}
