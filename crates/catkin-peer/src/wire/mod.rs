//! Connections whose bytes are counted.

use crate::{Link, Options};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of one class of links.
#[derive(Debug, Default)]
pub struct Counts {
    /// Bytes sent.
    pub sent: AtomicU64,
    /// Bytes received.
    pub received: AtomicU64,
}

/// Bytes by class of link.
#[derive(Debug, Default)]
pub struct Traffic {
    classes: Mutex<BTreeMap<Link, Arc<Counts>>>,
}

impl Traffic {
    /// The counts of a class.
    #[must_use]
    pub fn of(&self, link: Link) -> Arc<Counts> {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        Arc::clone(classes.entry(link).or_default())
    }
}

/// The class of the link to `addr`. A caller is known by its IP address only, as its port is a passing one.
pub(crate) fn classify(opt: &Options, addr: SocketAddr) -> Link {
    let exact = opt.links.iter().find(|(a, _)| *a == addr);
    let same_host = |ip: IpAddr| opt.links.iter().find(move |(a, _)| a.ip() == ip);
    exact.or_else(|| same_host(addr.ip())).map_or(Link::Zone, |(_, l)| *l)
}

/// A connection whose bytes are counted.
pub(crate) struct Counted {
    stream: TcpStream,
    counts: Arc<Counts>,
}

impl Counted {
    pub fn new(stream: TcpStream, counts: Arc<Counts>) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, counts }
    }
}

impl AsyncRead for Counted {
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

impl AsyncWrite for Counted {
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
