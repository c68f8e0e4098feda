//! Requests that run at most once.

use crate::support::{Deployment, Options, eventually, get, run_client, send_request};
use crate::view::owner;
use serde_json::Value;
use std::collections::BTreeMap;
use std::io::{Read, Write};

/// How often each key was run, over all executors.
fn ran(d: &Deployment) -> BTreeMap<String, u64> {
    let mut all = BTreeMap::new();
    for (_, addr) in d.hosts("-main-") {
        let Some((200, body)) = get(&addr, "/seen") else { continue };
        let seen: Value = serde_json::from_str(&body).expect("JSON");
        for (key, n) in seen["keys"].as_object().expect("keys") {
            *all.entry(key.clone()).or_default() += n.as_u64().expect("a number");
        }
    }
    all
}

fn order(addr: &str, key: &str, path: &str) -> Option<(u16, String)> {
    let url = format!("/v1/call/shop-orders/{path}");
    let body = "{\"part\":1}";
    let mut stream = std::net::TcpStream::connect(addr).ok()?;
    stream.set_read_timeout(Some(crate::support::WAIT_TIMEOUT)).ok()?;
    let n = body.len();
    write!(stream, "POST {url} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: {key}\r\ncontent-length: {n}\r\n\r\n{body}").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned()))
}

#[test]
fn one_key_at_several_daemons_at_once_runs_once() {
    let d = Deployment::start(&Options { name: "keys", ..Options::default() });
    let addrs: Vec<String> = d.daemons.iter().map(|x| x.http_addr.clone()).collect();
    for round in 0..20 {
        let key = format!("race-{round}");
        let answers: Vec<_> = std::thread::scope(|s| {
            let calls: Vec<_> =
                addrs.iter().map(|addr| s.spawn(|| order(addr, &key, "orders?ms=20"))).collect();
            calls.into_iter().map(|c| c.join().expect("a thread")).collect()
        });
        let done = answers.iter().flatten().filter(|(status, _)| *status == 200).count();
        assert!(done >= 1, "{answers:?}");
        for (status, body) in answers.iter().flatten().filter(|(s, _)| *s != 200) {
            assert!(*status == 409 && body.contains("\"unknown\""), "{status} {body}");
        }
        // Whoever asks later hears the same answer.
        let first = order(&addrs[0], &key, "orders?ms=20").expect("an answer");
        let last = order(&addrs[2], &key, "orders?ms=20").expect("an answer");
        assert_eq!((first.0, &first.1), (200, &last.1));
    }
    let ran = ran(&d);
    assert_eq!(ran.len(), 20);
    assert!(ran.values().all(|n| *n == 1), "{ran:?}");
}

#[test]
fn a_daemon_that_dies_in_the_middle_leaves_the_key_unknown_and_never_runs_it_again() {
    let mut d = Deployment::start(&Options {
        name: "dies",
        regions: vec![("north", 2)],
        ..Options::default()
    });
    let addr = d.daemons[0].http_addr.clone();
    let call = std::thread::spawn(move || order(&addr, "half", "orders?ms=1500"));
    eventually("the request runs", || ran(&d).contains_key("half").then_some(()));
    d.process(0).kill();
    let _ = call.join();
    let again = || order(&d.daemons[1].http_addr, "half", "orders?ms=1500");
    let (status, body) = again().expect("an answer");
    assert_eq!(status, 409, "{body}");
    assert!(body.contains("\"unknown\""), "{body}");
    assert_eq!(ran(&d).get("half"), Some(&1));
    // Another body under the key is told so.
    let out = run_client(
        &[&d.daemons[1].http_addr],
        &["call", "shop-orders", "orders", "--data", "other", "--key", "half"],
    );
    assert!(String::from_utf8_lossy(&out.stderr).contains("code 2010"));
}

#[test]
fn an_outage_answers_not_run_and_runs_nothing() {
    let d = Deployment::start(&Options { name: "orders-outage", ..Options::default() });
    d.set_faults("{\"outage\":\"refuse\"}");
    let (status, body) = order(&d.daemons[0].http_addr, "down", "orders").expect("an answer");
    assert!(status == 503 && body.contains("\"not run\""), "{status} {body}");
    // Quotes need no table.
    let quote = send_request(&d.daemons[0].http_addr, "GET", "/v1/call/shop-quotes/q", "")
        .expect("an answer");
    assert_eq!(quote.0, 200, "{}", quote.1);
    d.set_faults("{}");
    assert!(!ran(&d).contains_key("down"));
    let (status, body) = order(&d.daemons[0].http_addr, "down", "orders").expect("an answer");
    assert_eq!(status, 200, "{body}");
    assert_eq!(ran(&d).get("down"), Some(&1));
}

#[test]
fn a_lost_answer_of_the_intent_is_settled_and_the_order_runs_once() {
    let extra_platform = "timeout_ms = 300\n".to_owned();
    let opt =
        Options { name: "lost", regions: vec![("north", 1)], extra_platform, ..Options::default() };
    let d = Deployment::start(&opt);
    for round in 0..5 {
        d.set_faults("{\"lose_answers\":1}");
        let key = format!("lost-{round}");
        let (status, body) = order(&d.daemons[0].http_addr, &key, "orders").expect("an answer");
        let told = (status, body.contains("\"not run\""));
        let times = ran(&d).get(&key).copied().unwrap_or_default();
        match told {
            (200, _) => assert_eq!(times, 1),
            (_, true) => assert_eq!(times, 0, "{body}"),
            (_, false) => assert!(times <= 1, "{body}"),
        }
        // Later the truth is told.
        eventually("the truth", || {
            let (status, _) = order(&d.daemons[0].http_addr, &key, "orders")?;
            (status == 200).then_some(())
        });
        assert_eq!(ran(&d).get(&key), Some(&1));
    }
    let (owner, _) = owner(&d, 0, "north/north-a/workers/0").expect("an owner");
    assert_eq!(owner, 0);
}
