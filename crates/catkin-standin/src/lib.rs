//! Small stand-ins for what the platform gives: the table service, the object store, the host list, workers and
//! executors. `docs/PLATFORM.md` has the contract that each of them keeps.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod executor;
pub mod faults;
pub mod platform;
pub mod port;
pub mod proxy;
pub mod table;
pub mod worker;

use catkin_http::{Body, server};
use catkin_store::hosts::{Host, Kind, State};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::net::SocketAddr;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// A stand-in that serves.
#[derive(Debug)]
pub struct Serving {
    /// Where it listens.
    pub addr: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<server::Drained>,
}

impl Serving {
    /// Stops it and joins its tasks.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }

    /// Waits for its end, which comes with the process.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

/// Serves `handler` on `addr`. Port 0 takes any free one.
///
/// # Errors
/// The address can't be listened on.
pub async fn serve<F, Fut>(addr: SocketAddr, handler: F) -> std::io::Result<Serving>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let stop = CancellationToken::new();
    let opt = server::Options {
        drain_timeout: std::time::Duration::from_millis(100),
        ..Default::default()
    };
    let task = tokio::spawn(server::serve(listener, opt, handler, stop.clone()));
    Ok(Serving { addr, stop, task })
}

/// Where hosts stand, for the host list.
#[derive(Clone, Debug, Default)]
pub struct Place {
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
    /// The rack.
    pub rack: String,
}

/// The entry of a stand-in in the host list. `service` is empty for a worker.
#[must_use]
pub fn listed(id: &str, service: &str, slots: u32, place: &Place, serving: &Serving) -> Host {
    Host {
        id: id.to_owned(),
        kind: if service.is_empty() { Kind::Worker } else { Kind::Executor },
        service: service.to_owned(),
        region: place.region.clone(),
        zone: place.zone.clone(),
        rack: place.rack.clone(),
        addr: serving.addr.to_string(),
        slots,
        state: State::Live,
    }
}

/// The largest body that a stand-in takes, in bytes.
pub const MAX_BODY: u64 = 64 << 20;
