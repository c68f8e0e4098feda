//! Simulated platform services for tests and local deployments: the table service, the object store, the host list,
//! workers and executors. `docs/PLATFORM.md` specifies the contract that each of them implements.
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

/// A running HTTP server of a simulated service.
#[derive(Debug)]
pub struct ServerHandle {
    /// The bound address, with the port that was chosen if port 0 was requested.
    pub addr: SocketAddr,
    stop: CancellationToken,
    task: JoinHandle<server::Drained>,
}

impl ServerHandle {
    /// Stops the server and waits until its task has ended.
    pub async fn stop(self) {
        self.stop.cancel();
        let _ = self.task.await;
    }

    /// Waits for the end of the server, which runs until the process exits.
    pub async fn join(self) {
        let _ = self.task.await;
    }
}

/// Serves `handler` on `addr`. Port 0 selects any free port.
///
/// # Errors
/// Fails if the address cannot be bound.
pub async fn serve<F, Fut>(addr: SocketAddr, handler: F) -> std::io::Result<ServerHandle>
where
    F: Fn(Request<Incoming>) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = Response<Body>> + Send + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let stop = CancellationToken::new();
    let options = server::Options {
        drain_timeout: std::time::Duration::from_millis(100),
        ..Default::default()
    };
    let task = tokio::spawn(server::serve(listener, options, handler, stop.clone()));
    Ok(ServerHandle { addr, stop, task })
}

/// The location of a host, as stated in the host list.
#[derive(Clone, Debug, Default)]
pub struct HostLocation {
    /// Name of the region.
    pub region: String,
    /// Name of the availability zone.
    pub zone: String,
    /// Name of the rack. May be empty for an executor.
    pub rack: String,
}

/// Returns the host list entry of a simulated worker or executor. It is a worker if `service` is empty. `slots` is the
/// number of requests that an executor runs concurrently, and 0 for a worker.
#[must_use]
pub fn host_entry(
    id: &str,
    service: &str,
    slots: u32,
    location: &HostLocation,
    handle: &ServerHandle,
) -> Host {
    Host {
        id: id.to_owned(),
        kind: if service.is_empty() { Kind::Worker } else { Kind::Executor },
        service: service.to_owned(),
        region: location.region.clone(),
        zone: location.zone.clone(),
        rack: location.rack.clone(),
        addr: handle.addr.to_string(),
        slots,
        state: State::Live,
    }
}

/// The largest request body that a simulated service accepts, in bytes.
pub const MAX_BODY_BYTES: u64 = 64 << 20;
