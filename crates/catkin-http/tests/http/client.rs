//! Tests of the client and the connections that it keeps.

use bytes::Bytes;
use catkin_http::body::paced::Pace;
use catkin_http::client::Options;
use catkin_http::{Client, Error, body};
use futures::future::join_all;
use hyper::{Method, Request};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Barrier;
use tokio::task::JoinSet;

/// How long a request waits that gets no answer.
const SILENCE: Duration = Duration::from_millis(50);
/// How long a request waits whose answer comes at once.
const ANSWER: Duration = Duration::from_secs(10);
/// Requests in progress at a time, each over a connection of its own.
const AT_A_TIME: usize = 4;
const PACE: Pace = Pace { stall: SILENCE, min_rate: 1 };
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";

/// The paths that a [`Server`] answers.
const AT_ONCE: &str = "/";
/// Once there are [`AT_A_TIME`] such requests.
const TOGETHER: &str = "/together";
/// The connection is closed after the answer.
const LAST: &str = "/last";
/// Half of the body does not come.
const HALF: &str = "/half";

/// A server whose open connections can go silent, while new ones work.
struct Server {
    addr: SocketAddr,
    state: Arc<State>,
    _task: JoinSet<()>,
}

struct State {
    accepted: AtomicUsize,
    /// Connections up to this number get no answer any more.
    silent: AtomicUsize,
    /// Set once a client has closed a connection.
    closed: AtomicBool,
    together: Barrier,
}

impl Server {
    async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("no free port");
        let addr = listener.local_addr().expect("a listener has an address");
        let state = Arc::new(State {
            accepted: AtomicUsize::new(0),
            silent: AtomicUsize::new(0),
            closed: AtomicBool::new(false),
            together: Barrier::new(AT_A_TIME),
        });
        let mut task = JoinSet::new();
        task.spawn(accept(listener, Arc::clone(&state)));
        Self { addr, state, _task: task }
    }

    fn accepted(&self) -> usize {
        self.state.accepted.load(Ordering::SeqCst)
    }

    fn silence_open_connections(&self) {
        self.state.silent.store(self.accepted(), Ordering::SeqCst);
    }

    async fn exchange(&self, client: &Client, path: &str, timeout: Duration) -> Result<(), Error> {
        let url = format!("http://{}{path}", self.addr);
        client.exchange(Method::GET, &url, Bytes::new(), timeout).await.map(|answer| {
            assert_eq!(answer, (200, Bytes::from_static(b"ok")));
        })
    }

    /// Opens [`AT_A_TIME`] connections, which are unused then.
    async fn open_connections(&self, client: &Client) {
        let requests = (0..AT_A_TIME).map(|_| self.exchange(client, TOGETHER, ANSWER));
        assert!(join_all(requests).await.iter().all(Result::is_ok));
        assert_eq!(self.accepted(), AT_A_TIME);
    }
}

async fn accept(listener: TcpListener, state: Arc<State>) {
    let mut connections = JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let number = state.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        connections.spawn(serve(stream, number, Arc::clone(&state)));
    }
}

async fn serve(mut stream: TcpStream, number: usize, state: Arc<State>) {
    let mut buf = Vec::new();
    loop {
        if stream.read_buf(&mut buf).await.unwrap_or(0) == 0 {
            state.closed.store(true, Ordering::SeqCst);
            return;
        }
        if !buf.ends_with(b"\r\n\r\n") || number <= state.silent.load(Ordering::SeqCst) {
            continue;
        }
        let head = String::from_utf8_lossy(&std::mem::take(&mut buf)).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        if path == TOGETHER {
            state.together.wait().await;
        }
        let body: &[u8] = if path == HALF { b"o" } else { b"ok" };
        let answered = stream.write_all(&[HEAD, body].concat()).await;
        if answered.is_err() || path == LAST {
            return;
        }
    }
}

// A daemon had several connections to the store when they went silent, and its next calls went over one after the other:
// it learned of a new configuration 9 s late.
#[tokio::test]
async fn request_repeated_over_other_silent_connections() {
    let (server, client) = (Server::start().await, Client::default());
    server.open_connections(&client).await;
    server.silence_open_connections();
    let unanswered = server.exchange(&client, AT_ONCE, SILENCE).await;
    assert!(matches!(unanswered, Err(Error::Lost(_))), "{unanswered:?}");
    assert_eq!(server.exchange(&client, AT_ONCE, ANSWER).await, Ok(()));
    assert_eq!(server.accepted(), AT_A_TIME + 1);
}

/// The same for requests whose response is read in pieces, or by the caller.
#[tokio::test]
async fn request_repeated_over_other_silent_connections_after_one_that_was_not_read_whole() {
    let (server, client) = (Server::start().await, Client::default());
    server.open_connections(&client).await;
    server.silence_open_connections();
    let url = format!("http://{}{AT_ONCE}", server.addr);
    let req = Request::get(&url).body(Bytes::new()).expect("a valid request");
    let unanswered = client.fetch(req, SILENCE, PACE, u64::MAX, |_, _| {}).await;
    assert!(matches!(unanswered, Err(Error::Lost(_))), "{unanswered:?}");
    let req = Request::get(&url).body(body::empty()).expect("a valid request");
    assert!(client.send(req, ANSWER).await.is_ok());
}

/// An answer that stands still shows it as well.
#[tokio::test]
async fn request_repeated_over_other_silent_connections_after_half_an_answer() {
    let (server, client) = (Server::start().await, Client::default());
    for read_in_pieces in [false, true] {
        let requests = (0..AT_A_TIME).map(|_| server.exchange(&client, TOGETHER, ANSWER));
        assert!(join_all(requests).await.iter().all(Result::is_ok));
        let half = if read_in_pieces {
            let url = format!("http://{}{HALF}", server.addr);
            let req = Request::get(&url).body(Bytes::new()).expect("a valid request");
            client.fetch(req, ANSWER, PACE, u64::MAX, |_, _| {}).await.map(|_| ())
        } else {
            server.exchange(&client, HALF, SILENCE).await
        };
        assert!(matches!(half, Err(Error::Lost(_))), "{half:?}");
        server.silence_open_connections();
        assert_eq!(server.exchange(&client, AT_ONCE, ANSWER).await, Ok(()));
    }
}

#[tokio::test]
async fn a_connection_is_used_again() {
    let (server, client) = (Server::start().await, Client::default());
    for _ in 0..10 {
        assert_eq!(server.exchange(&client, AT_ONCE, ANSWER).await, Ok(()));
        let url = format!("http://{}{AT_ONCE}", server.addr);
        let req = Request::get(&url).body(Bytes::new()).expect("a valid request");
        assert!(client.fetch(req, ANSWER, PACE, u64::MAX, |_, _| {}).await.is_ok());
    }
    assert_eq!(server.accepted(), 1);
}

#[tokio::test]
async fn a_request_after_the_server_has_closed_the_connection_is_answered() {
    let (server, client) = (Server::start().await, Client::default());
    for _ in 0..10 {
        assert_eq!(server.exchange(&client, LAST, ANSWER).await, Ok(()));
    }
    assert_eq!(server.accepted(), 10);
}

#[tokio::test]
async fn unused_connections_beyond_the_limit_are_closed() {
    let opt = Options { max_idle_per_host: 1, ..Options::default() };
    let (server, client) = (Server::start().await, Client::new(opt));
    server.open_connections(&client).await;
    let closed = async {
        while !server.state.closed.load(Ordering::SeqCst) {
            tokio::task::yield_now().await;
        }
    };
    tokio::time::timeout(ANSWER, closed).await.expect("no connection is closed");
    assert_eq!(server.exchange(&client, AT_ONCE, ANSWER).await, Ok(()));
    assert_eq!(server.accepted(), AT_A_TIME);
}

#[tokio::test]
async fn a_request_to_a_port_without_a_listener_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("no free port");
    let url = format!("http://{}/", listener.local_addr().expect("a listener has an address"));
    drop(listener);
    let refused = Client::default().exchange(Method::GET, &url, Bytes::new(), ANSWER).await;
    assert!(matches!(refused, Err(Error::NotSent(_))), "{refused:?}");
}
