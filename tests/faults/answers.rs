//! Every caller gets the whole answer to its own request.

use crate::support::{Deployment, Options, send_request};
use serde_json::Value;
use std::io::{Read, Write};
use std::net::TcpStream;

/// Bytes of a long answer.
const LONG: usize = 64 << 20;
const THREADS: usize = 16;
const REQUESTS: usize = 40;

/// The same number as the stand-in executor computes of a request.
fn checksum(path: &str, input: &str) -> u64 {
    path.bytes().chain(input.bytes()).fold(7, |sum, b| (sum * 31 + u64::from(b)) % 1_000_000_007)
}

#[test]
fn answers_are_never_mixed_up() {
    let d = Deployment::start(&Options { name: "mixed", ..Options::default() });
    std::thread::scope(|s| {
        for t in 0..THREADS {
            let addr = &d.daemons[t % d.daemons.len()].http_addr;
            s.spawn(move || {
                for n in 0..REQUESTS {
                    // Later requests take less time, so that answers overtake each other.
                    let (path, ms) = (format!("/q/{t}/{n}"), (REQUESTS - n) % 7);
                    let body = format!("body {t} {n}");
                    let url = format!("/v1/call/shop-quotes{path}?ms={ms}");
                    let (status, answer) =
                        send_request(addr, "POST", &url, &body).expect("an answer");
                    assert_eq!(status, 200, "{answer}");
                    let answer: Value = serde_json::from_str(&answer).expect("JSON");
                    assert_eq!(answer["check"], checksum(&path, &body));
                }
            });
        }
    });
}

fn raw(addr: &str, path: &str) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(addr)?;
    stream.set_read_timeout(Some(crate::support::WAIT_TIMEOUT))?;
    write!(stream, "GET {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n")?;
    let mut buf = Vec::new();
    let _ = stream.read_to_end(&mut buf);
    Ok(buf)
}

fn split(answer: &[u8]) -> (String, &[u8]) {
    let end = answer.windows(4).position(|w| w == b"\r\n\r\n").expect("a head");
    (String::from_utf8_lossy(&answer[..end]).to_lowercase(), &answer[end + 4..])
}

#[test]
fn a_long_answer_is_whole_and_a_cut_off_one_never_looks_so() {
    let d = Deployment::start(&Options {
        name: "long",
        regions: vec![("north", 1)],
        ..Options::default()
    });
    let addr = &d.daemons[0].http_addr;
    let answer = raw(addr, &format!("/v1/call/shop-quotes/long?bytes={LONG}")).expect("an answer");
    let (head, body) = split(&answer);
    assert!(head.contains(&format!("content-length: {LONG}")));
    assert_eq!(body.len(), LONG);
    let cut = raw(addr, "/v1/call/shop-quotes/cut?bytes=1000000&cut=300000").expect("a part");
    let (head, body) = split(&cut);
    assert!(head.contains("content-length: 1000000"));
    assert!(body.len() < 1_000_000);
    // Without a length told beforehand, only the last chunk says that the body is whole.
    let whole = raw(addr, "/v1/call/shop-quotes/whole?bytes=300000&chunked=1").expect("an answer");
    assert!(whole.ends_with(b"\r\n0\r\n\r\n"));
    let cut =
        raw(addr, "/v1/call/shop-quotes/cut?bytes=1000000&cut=300000&chunked=1").expect("a part");
    assert!(split(&cut).1.len() > 100_000 && !cut.ends_with(b"0\r\n\r\n"));
    // For a request that runs at most once, a part is no answer at all.
    let url = "/v1/call/shop-orders/cut?bytes=1000&cut=300";
    let mut stream = TcpStream::connect(addr).expect("a connection");
    write!(stream, "POST {url} HTTP/1.1\r\nhost: x\r\nconnection: close\r\nidempotency-key: cut\r\ncontent-length: 0\r\n\r\n").expect("sent");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("an answer");
    assert!(text.starts_with("HTTP/1.1 502") && text.contains("\"unknown\""), "{text}");
}
