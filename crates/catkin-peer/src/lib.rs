//! Calls between daemons: Cap'n Proto RPC on a thread of its own, reached by channels.
//!
//! The objects of the RPC library stay on one thread. Calls come in over a channel and answers go back over another,
//! so that the rest of a daemon can use as many threads as it likes.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
pub mod error;
mod server;
mod wire;

pub use client::Calls;
pub use error::Error;
pub use wire::{Counts, Traffic};

use catkin_schema::peer::{Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// The settings of the peer side of a daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this daemon.
    pub id: String,
    /// The secret that daemons show each other.
    pub token: String,
    /// How long a connection may take to come about.
    pub connect_timeout: Duration,
    /// How many calls may wait for the thread.
    pub backlog: usize,
    /// The other daemons whose traffic is counted, by address.
    pub links: Vec<(SocketAddr, Link)>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            id: String::new(),
            token: String::new(),
            connect_timeout: Duration::from_millis(500),
            backlog: 1_024,
            links: Vec::new(),
        }
    }
}

/// How far away another daemon is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, derive_more::Display)]
pub enum Link {
    /// In the same availability zone.
    #[display("zone")]
    Zone,
    /// In another availability zone of the region.
    #[display("region")]
    Region,
    /// In another region.
    #[display("between_regions")]
    BetweenRegions,
}

/// A call that came in, to be answered.
#[derive(Debug)]
pub struct Incoming {
    /// The name that the caller gave.
    pub from: String,
    /// The call.
    pub req: Request,
    /// Takes the answer.
    pub tx: oneshot::Sender<Response>,
}

/// The running peer side.
#[derive(Debug)]
pub struct Peering {
    thread: Option<std::thread::JoinHandle<()>>,
    stop: CancellationToken,
    /// Makes calls.
    pub calls: Calls,
    /// Counts bytes by link class.
    pub traffic: Arc<Traffic>,
}

impl Peering {
    /// Starts the thread. Calls that come in go to `tx`.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub fn start(
        listener: std::net::TcpListener,
        opt: Options,
        tx: mpsc::Sender<Incoming>,
    ) -> std::io::Result<Self> {
        listener.set_nonblocking(true)?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let (calls_tx, calls_rx) = mpsc::channel(opt.backlog);
        let stop = CancellationToken::new();
        let traffic = Arc::new(Traffic::default());
        let (token, counts) = (stop.clone(), Arc::clone(&traffic));
        let thread = std::thread::Builder::new().name("peer".into()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                let opt = Arc::new(opt);
                let serve = server::serve(listener, Arc::clone(&opt), tx, Arc::clone(&counts));
                let call = client::run(opt, calls_rx, counts);
                tokio::select! {
                    () = token.cancelled() => {}
                    () = async { tokio::join!(serve, call); } => {}
                }
            });
        })?;
        Ok(Self { thread: Some(thread), stop, calls: Calls::new(calls_tx), traffic })
    }

    /// Stops the thread and joins it.
    pub async fn stop(mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}
