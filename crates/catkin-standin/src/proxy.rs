//! A loopback TCP proxy that injects faults into the connections through it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
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
    task: JoinHandle<()>,
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
        let task = tokio::spawn(accept_connections(listener, target, fault.subscribe()));
        Ok(Self { addr, fault, task })
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
) {
    let mut connections = JoinSet::new();
    let link = Arc::new(Link::default());
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((incoming, _)) = listener.accept().await else { continue };
        connections.spawn(proxy_connection(incoming, target, fault.clone(), Arc::clone(&link)));
    }
}

async fn proxy_connection(
    client: TcpStream,
    target: SocketAddr,
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
    tokio::select! {
        () = forward(client_reader, server_writer, &fault, None) => {}
        () = forward(server_reader, client_writer, &fault, Some(&link)) => {}
        () = wait_for_reset(fault.as_ref().clone()) => {}
    }
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
    link: Option<&Link>,
) {
    let blocking_fault =
        if link.is_some() { ConnectionFault::NoResponses } else { ConnectionFault::NoRequests };
    let mut buf = vec![0; BUFFER_BYTES];
    let mut blocked = false;
    loop {
        let Ok(n @ 1..) = reader.read(&mut buf).await else { return };
        let current = *fault.borrow();
        blocked |= current == ConnectionFault::NoTraffic || current == blocking_fault;
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
