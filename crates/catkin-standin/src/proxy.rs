//! A loopback proxy that harms the connections through it.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::{JoinHandle, JoinSet};

/// How much is passed on at once, in bytes.
const CHUNK: usize = 16 * 1_024;

/// What is done to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Harm {
    /// Nothing.
    #[default]
    None,
    /// Each piece comes so much later.
    Delay(Duration),
    /// Nothing passes from the caller to the callee.
    NoRequests,
    /// Nothing passes from the callee to the caller.
    NoAnswers,
    /// Connections go silent for good, new ones too while this lasts.
    Silent,
    /// Connections are closed at once.
    Reset,
}

/// A running proxy.
#[derive(Debug)]
pub struct Proxy {
    addr: SocketAddr,
    harm: watch::Sender<Harm>,
    task: JoinHandle<()>,
}

impl Proxy {
    /// Starts a proxy to `to`.
    ///
    /// # Errors
    /// There is no port.
    pub async fn start(to: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let harm = watch::Sender::new(Harm::None);
        let task = tokio::spawn(run(listener, to, harm.subscribe()));
        Ok(Self { addr, harm, task })
    }

    /// Where it listens.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Does this from now on.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn run(listener: TcpListener, to: SocketAddr, harm: watch::Receiver<Harm>) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((caller, _)) = listener.accept().await else { continue };
        connections.spawn(connection(caller, to, harm.clone()));
    }
}

async fn connection(near: TcpStream, to: SocketAddr, harm: watch::Receiver<Harm>) {
    if *harm.borrow() == Harm::Reset {
        return;
    }
    // A callee that is not there is seen by the caller as a connection that ends.
    let Ok(far) = TcpStream::connect(to).await else { return };
    let (from_near, to_near) = near.into_split();
    let (from_far, to_far) = far.into_split();
    let harm = Arc::new(harm);
    tokio::select! {
        () = pass(from_near, to_far, &harm, Harm::NoRequests) => {}
        () = pass(from_far, to_near, &harm, Harm::NoAnswers) => {}
        () = reset(harm.as_ref().clone()) => {}
    }
}

/// Ends when connections are to be closed.
async fn reset(mut harm: watch::Receiver<Harm>) {
    if harm.wait_for(|h| *h == Harm::Reset).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Passes bytes on in one direction. What is swallowed is lost to this connection: it stays silent.
async fn pass(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    harm: &watch::Receiver<Harm>,
    cut: Harm,
) {
    let mut buf = vec![0; CHUNK];
    let mut silent = false;
    loop {
        let Ok(n @ 1..) = from.read(&mut buf).await else { return };
        let now = *harm.borrow();
        silent |= now == Harm::Silent || now == cut;
        if silent {
            continue;
        }
        if let Harm::Delay(by) = now {
            tokio::time::sleep(by).await;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return;
        }
    }
}
