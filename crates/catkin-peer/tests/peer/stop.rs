//! Stopping with calls in progress.

use catkin_peer::{Incoming, Options, Peering};
use catkin_schema::peer::Request;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::Duration;
use tokio::sync::mpsc;

/// Whatever is waited for comes within this.
const PATIENCE: Duration = Duration::from_secs(10);
const CALLS: u64 = 50;

fn start() -> (Peering, SocketAddr, mpsc::Receiver<Incoming>) {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    let addr = listener.local_addr().expect("an address");
    let (tx, rx) = mpsc::channel(64);
    (Peering::start(listener, Options::default(), tx).expect("it starts"), addr, rx)
}

#[tokio::test]
async fn no_call_comes_after_the_stop_even_if_some_are_in_progress() {
    let (caller, _, _caller_rx) = start();
    let (server, addr, mut rx) = start();
    let mut waiting = Vec::new();
    for n in 0..CALLS {
        let calls = caller.calls.clone();
        waiting.push(tokio::spawn(async move {
            calls.call(addr, Request::JobStatus(n), PATIENCE).await
        }));
    }
    // They are taken and never answered.
    let mut taken = Vec::new();
    for _ in 0..CALLS {
        let call = tokio::time::timeout(PATIENCE, rx.recv()).await.expect("in time");
        taken.push(call.expect("a call"));
    }
    server.stop().await;
    let after = tokio::time::timeout(PATIENCE, rx.recv()).await;
    assert!(after.expect("the end of the calls is seen").is_none());
    drop(taken);
    for call in waiting {
        assert!(call.await.expect("a task").is_err());
    }
    caller.stop().await;
}
