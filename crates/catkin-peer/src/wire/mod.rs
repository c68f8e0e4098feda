//! Connections that count the bytes sent and received by link class.

use crate::{Link, Options};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes over the links of one class.
#[derive(Debug, Default)]
pub struct Counts {
    /// Bytes written to the connections, with the framing of the RPC.
    pub sent: AtomicU64,
    /// Bytes read from the connections, with the framing of the RPC.
    pub received: AtomicU64,
}

/// Counts of bytes by link class.
#[derive(Debug, Default)]
pub struct Traffic {
    classes: Mutex<BTreeMap<Link, Arc<Counts>>>,
}

impl Traffic {
    /// Returns the counts of a link class.
    #[must_use]
    pub fn for_link(&self, link: Link) -> Arc<Counts> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(classes.entry(link).or_default())
    }
}

/// Returns the class of the link to `addr`. The address of a caller matches by its IP address only, as its port is
/// ephemeral.
pub(crate) fn classify(opt: &Options, addr: SocketAddr) -> Link {
    let exact = opt.links.iter().find(|(a, _)| *a == addr);
    let same_host = |ip: IpAddr| opt.links.iter().find(move |(a, _)| a.ip() == ip);
    exact.or_else(|| same_host(addr.ip())).map_or(Link::Zone, |(_, l)| *l)
}

/// A connection that counts the bytes sent and received.
pub(crate) struct CountedStream {
    stream: TcpStream,
    counts: Arc<Counts>,
}

impl CountedStream {
    pub fn new(stream: TcpStream, counts: Arc<Counts>) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, counts }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        let n = (buf.filled().len() - before) as u64;
        self.counts.received.fetch_add(n, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &polled {
            self.counts.sent.fetch_add(*n as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
