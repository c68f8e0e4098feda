//! Calls between daemons: Cap'n Proto RPC on a dedicated thread, used through channels.
//!
//! The objects of the RPC library can't leave their thread. Calls and answers cross it over channels, so that the rest
//! of a daemon can run on any number of threads.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod client;
pub mod error;
mod server;
mod wire;

pub use client::PeerClient;
pub use error::Error;
pub use wire::{Counts, Traffic};

use catkin_schema::peer::{Request, Response};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// The settings of the RPC client and server of a daemon.
#[derive(Clone, Debug)]
pub struct Options {
    /// The name of this daemon. The daemons that it calls get it as [`Incoming::from`].
    pub id: String,
    /// The shared secret by which daemons authenticate their calls.
    pub token: String,
    /// Time limit for opening a connection.
    pub connect_timeout: Duration,
    /// The most outgoing calls that wait for the thread. Further ones fail with [`Error::NotSent`].
    pub backlog: usize,
    /// The class of the link to each other daemon, by address. Other addresses count as [`Link::Zone`].
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

/// The class of the network link to another daemon, by distance.
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

/// A call from another daemon.
#[derive(Debug)]
pub struct Incoming {
    /// The name that the caller stated. The shared secret does not prove it.
    pub from: String,
    /// What the caller asks for.
    pub req: Request,
    /// Sends the answer. If it is dropped, the call fails.
    pub tx: oneshot::Sender<Response>,
}

/// The running RPC client and server of a daemon.
#[derive(Debug)]
pub struct Peering {
    thread: Option<std::thread::JoinHandle<()>>,
    stop: CancellationToken,
    /// Makes calls to other daemons.
    pub calls: PeerClient,
    /// Bytes sent and received by link class.
    pub traffic: Arc<Traffic>,
}

impl Peering {
    /// Starts the thread. Calls from other daemons are sent to `tx`.
    ///
    /// # Errors
    /// Fails if `listener` can't be made non-blocking, or the thread can't be started.
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
        let (stop_token, counts) = (stop.clone(), Arc::clone(&traffic));
        let thread = std::thread::Builder::new().name("peer".into()).spawn(move || {
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async move {
                let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
                let opt = Arc::new(opt);
                let serve = server::serve(listener, Arc::clone(&opt), tx, Arc::clone(&counts));
                let call = client::run(opt, calls_rx, counts);
                tokio::select! {
                    () = stop_token.cancelled() => {}
                    () = async { tokio::join!(serve, call); } => {}
                }
            });
        })?;
        Ok(Self { thread: Some(thread), stop, calls: PeerClient::new(calls_tx), traffic })
    }

    /// Stops the thread and joins it. Calls in progress fail.
    pub async fn stop(mut self) {
        self.stop.cancel();
        if let Some(thread) = self.thread.take() {
            let _ = tokio::task::spawn_blocking(move || thread.join()).await;
        }
    }
}
