//! A loopback TCP proxy that injects faults into the connections through it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::Instant;

/// The largest amount of data that is forwarded at once.
const BUFFER_BYTES: usize = 16 * 1_024;

/// A fault of the connections through a proxy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ConnectionFault {
    /// Data is forwarded unchanged.
    #[default]
    None,
    /// Each chunk of data is forwarded after this delay.
    Delay(Duration),
    /// Data from the server to the clients shares a link with this rate, in bytes a second.
    SlowLink(u64),
    /// Data from the client to the server is discarded. A connection that lost data stays blocked in this direction,
    /// even after the fault is cleared.
    NoRequests,
    /// Data from the server to the client is discarded. A connection that lost data stays blocked in this direction,
    /// even after the fault is cleared.
    NoResponses,
    /// Data in both directions is discarded, on new connections too. A connection that lost data stays blocked, even
    /// after the fault is cleared.
    NoTraffic,
    /// Open connections are closed at once, and new ones when they are accepted.
    Reset,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    fault: watch::Sender<ConnectionFault>,
    counts: Arc<Counts>,
    task: JoinHandle<()>,
}

/// The connections through a proxy, numbered from 1 in the order in which they were accepted.
#[derive(Debug, Default)]
struct Counts {
    accepted: AtomicUsize,
    open: AtomicUsize,
    /// The last connection over which nothing is forwarded any more; 0 if there is none.
    last_silent: AtomicUsize,
}

impl Proxy {
    /// Starts a proxy to `target`.
    ///
    /// # Errors
    /// Fails if no loopback port can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let fault = watch::Sender::new(ConnectionFault::None);
        let counts = Arc::<Counts>::default();
        let connections =
            accept_connections(listener, target, fault.subscribe(), Arc::clone(&counts));
        Ok(Self { addr, fault, counts, task: tokio::spawn(connections) })
    }

    /// The address at which the proxy accepts connections.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Replaces the active fault.
    pub fn set_fault(&self, fault: ConnectionFault) {
        self.fault.send_replace(fault);
    }

    /// The number of open connections.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.counts.open.load(Ordering::SeqCst)
    }

    /// Discards all further data of the connections that are open now. They stay open, and new ones work.
    pub fn silence_open_connections(&self) {
        let accepted = self.counts.accepted.load(Ordering::SeqCst);
        self.counts.last_silent.store(accepted, Ordering::SeqCst);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections(
    listener: TcpListener,
    target: SocketAddr,
    fault: watch::Receiver<ConnectionFault>,
    counts: Arc<Counts>,
) {
    let mut connections = JoinSet::new();
    let link = Arc::new(Link::default());
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((incoming, _)) = listener.accept().await else { continue };
        let number = counts.accepted.fetch_add(1, Ordering::SeqCst) + 1;
        let connection = proxy_connection(
            incoming,
            target,
            number,
            Arc::clone(&counts),
            fault.clone(),
            Arc::clone(&link),
        );
        connections.spawn(connection);
    }
}

async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
    number: usize,
    counts: Arc<Counts>,
    fault: watch::Receiver<ConnectionFault>,
    link: Arc<Link>,
) {
    if *fault.borrow() == ConnectionFault::Reset {
        return;
    }
    // If the server cannot be reached, the client's connection is closed.
    let Ok(server) = TcpStream::connect(target).await else { return };
    let (client_reader, client_writer) = client.into_split();
    let (server_reader, server_writer) = server.into_split();
    let fault = Arc::new(fault);
    let is_silent = || number <= counts.last_silent.load(Ordering::SeqCst);
    counts.open.fetch_add(1, Ordering::SeqCst);
    tokio::select! {
        () = forward(client_reader, server_writer, &fault, &is_silent, None) => {}
        () = forward(server_reader, client_writer, &fault, &is_silent, Some(&link)) => {}
        () = wait_for_reset(fault.as_ref().clone()) => {}
    }
    counts.open.fetch_sub(1, Ordering::SeqCst);
}

/// Returns once the active fault is [`ConnectionFault::Reset`].
async fn wait_for_reset(mut fault: watch::Receiver<ConnectionFault>) {
    if fault.wait_for(|f| *f == ConnectionFault::Reset).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// The link over which the data of all connections comes from the server, one piece after the other.
#[derive(Debug, Default)]
struct Link {
    free_at: Mutex<Option<Instant>>,
}

impl Link {
    /// Waits until this many bytes have passed the link.
    async fn pass(&self, bytes: usize, bytes_per_s: u64) {
        let time = Duration::from_micros(bytes as u64 * 1_000_000 / bytes_per_s);
        let passed = {
            let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
            let now = Instant::now();
            let passed = free_at.map_or(now, |at| at.max(now)) + time;
            *free_at = Some(passed);
            passed
        };
        tokio::time::sleep_until(passed).await;
    }
}

/// Forwards data in one direction until the connection ends: from the server if there is a `link`, to it otherwise. Once
/// data has been discarded, this direction stays blocked, since the byte stream is no longer complete.
async fn forward(
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    fault: &watch::Receiver<ConnectionFault>,
    is_silent: &(impl Fn() -> bool + Sync),
    link: Option<&Link>,
) {
    let blocking_fault =
        if link.is_some() { ConnectionFault::NoResponses } else { ConnectionFault::NoRequests };
    let mut buf = vec![0; BUFFER_BYTES];
    let mut blocked = false;
    loop {
        let Ok(n @ 1..) = reader.read(&mut buf).await else { return };
        let current = *fault.borrow();
        let is_blocking = current == ConnectionFault::NoTraffic || current == blocking_fault;
        blocked |= is_blocking || is_silent();
        if blocked {
            continue;
        }
        match (current, link) {
            (ConnectionFault::Delay(delay), _) => tokio::time::sleep(delay).await,
            (ConnectionFault::SlowLink(rate), Some(link)) => link.pass(n, rate).await,
            _ => {}
        }
        if writer.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
