//! Stopping a server with calls in progress.

use catkin_peer::{Incoming, Options, Peering};
use catkin_schema::peer::Request;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::mpsc;

/// Limit of each call and of each wait for one.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
const CALLS: u64 = 50;

fn start() -> (Peering, SocketAddr, mpsc::Receiver<Incoming>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind to a free port");
    let addr = listener.local_addr().expect("the local address");
    let (tx, rx) = mpsc::channel(64);
    (Peering::start(listener, Options::default(), tx).expect("start the peer thread"), addr, rx)
}

#[tokio::test]
async fn stop_closes_the_channel_of_incoming_calls_even_if_some_are_in_progress() {
    let (caller, _, _caller_rx) = start();
    let (server, addr, mut rx) = start();
    let mut waiting = Vec::new();
    for n in 0..CALLS {
        let calls = caller.calls.clone();
        waiting.push(tokio::spawn(async move {
            calls.call(addr, Request::JobStatus(n), CALL_TIMEOUT).await
        }));
    }
    // The calls are received and never answered.
    let mut taken = Vec::new();
    for _ in 0..CALLS {
        let call =
            tokio::time::timeout(CALL_TIMEOUT, rx.recv()).await.expect("a call arrives in time");
        taken.push(call.expect("the channel is open"));
    }
    server.stop().await;
    let after = tokio::time::timeout(CALL_TIMEOUT, rx.recv()).await;
    assert!(after.expect("the channel closes in time").is_none());
    drop(taken);
    for call in waiting {
        assert!(call.await.expect("the call's task ends without a panic").is_err());
    }
    caller.stop().await;
}
