//! Checks that a schema can't express, such as relations between values.

use super::Settings;
use std::collections::BTreeSet;
use std::net::SocketAddr;

type Problems = Vec<(String, String)>;

/// Returns every problem as a pair of the dotted key and the message.
pub(super) fn problems(s: &Settings) -> Problems {
    let mut found = Vec::new();
    addresses(s, &mut found);
    lease(s, &mut found);
    shards(s, &mut found);
    access(s, &mut found);
    found
}

fn report(found: &mut Problems, key: impl Into<String>, message: impl Into<String>) {
    found.push((key.into(), message.into()));
}

fn addresses(s: &Settings, found: &mut Problems) {
    let listens = [
        ("daemon.http_listen", &s.daemon.http_listen),
        ("daemon.peer_listen", &s.daemon.peer_listen),
    ];
    let peers = s.peers.iter().map(|p| ("peers.peer_addr", &p.peer_addr));
    for (key, addr) in listens.into_iter().chain(peers) {
        if addr.parse::<SocketAddr>().is_err() {
            report(
                found,
                key,
                format!("{addr:?} is not an IP address and port, such as \"127.0.0.1:7000\""),
            );
        }
    }
    let mut ids = BTreeSet::new();
    for p in &s.peers {
        if !ids.insert(&p.id) {
            report(
                found,
                "peers.id",
                format!("{:?} stands twice; every daemon needs a name of its own", p.id),
            );
        }
    }
    let urls = [
        ("platform.table_url", &s.platform.table_url),
        ("platform.objects_url", &s.platform.objects_url),
        ("platform.hosts_url", &s.platform.hosts_url),
    ];
    for (key, url) in urls {
        if !url.starts_with("http://") {
            report(found, key, format!("{url:?} has to start with \"http://\""));
        }
    }
    for (key, name) in [("daemon.id", &s.daemon.id), ("daemon.zone", &s.daemon.zone)] {
        if name.is_empty() || name.contains('/') {
            report(found, key, "it has to be a name without '/'");
        }
    }
}

fn lease(s: &Settings, found: &mut Problems) {
    let l = &s.lease;
    if l.renew_ms.get() * 2 > l.length_ms.get() {
        let max_renew_ms = l.length_ms.get() / 2;
        report(
            found,
            "lease.renew_ms",
            format!("it has to be at most half of lease.length_ms, {max_renew_ms}"),
        );
    }
    if l.busy_ms > l.renew_ms {
        report(found, "lease.busy_ms", "it has to be at most lease.renew_ms");
    }
    if l.timeout_ms > l.length_ms {
        report(found, "lease.timeout_ms", "it has to be at most lease.length_ms");
    }
    if l.drift_ppm > 100_000 {
        report(found, "lease.drift_ppm", "it has to be at most 100000");
    }
}

fn shards(s: &Settings, found: &mut Problems) {
    if s.shards.suspect_ms.get() < 2 * s.shards.beat_ms.get() {
        let min_suspect_ms = 2 * s.shards.beat_ms.get();
        report(
            found,
            "shards.suspect_ms",
            format!("it has to be at least twice shards.beat_ms, {min_suspect_ms}"),
        );
    }
}

fn access(s: &Settings, found: &mut Problems) {
    let hex = |t: &str| t.len() == 64 && t.chars().all(|c| c.is_ascii_hexdigit());
    for t in &s.access.tokens {
        if !hex(&t.sha256) {
            report(found, "access.tokens.sha256", "it has to be 64 hexadecimal digits");
        }
    }
    if s.access.open && !s.access.tokens.is_empty() {
        report(found, "access.open", "it has to be false when there are tokens");
    }
    let loopback = |a: &str| a.parse::<SocketAddr>().is_ok_and(|a| a.ip().is_loopback());
    if s.access.open && !loopback(&s.daemon.http_listen) {
        report(
            found,
            "access.open",
            "it may be true only when daemon.http_listen is a loopback address",
        );
    }
    if s.access.peer_token.is_empty() && !loopback(&s.daemon.peer_listen) {
        report(
            found,
            "access.peer_token",
            "it is needed when daemon.peer_listen is not a loopback address",
        );
    }
}
