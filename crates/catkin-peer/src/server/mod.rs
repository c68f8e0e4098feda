//! The server: calls from other daemons.

use crate::wire::{CountedStream, Traffic, classify};
use crate::{Incoming, Options};
use capnp::Error;
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use catkin_schema::peer::Request;
use catkin_schema::peer_capnp::{door, peer};
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpListener;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// The bootstrap object of a connection. It returns a [`Session`] to a caller that presents the right token.
///
/// The RPC library does not free the objects of a connection that ends with a call in progress. Both objects therefore
/// hold a weak sender, so that the channel closes when the server stops.
struct Handshake {
    opt: Arc<Options>,
    tx: mpsc::WeakSender<Incoming>,
}

impl door::Server for Handshake {
    async fn enter(
        self: Rc<Self>,
        params: door::EnterParams,
        mut results: door::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let from = params.get_from()?.to_string()?;
        if !constant_time_eq(params.get_token()?, self.opt.token.as_bytes()) {
            tracing::warn!("peer: rejected a connection from {from}: wrong token");
            return Err(Error::failed("the token is wrong".into()));
        }
        let session = Session { from, tx: self.tx.clone() };
        results.get().set_peer(capnp_rpc::new_client(session));
        Ok(())
    }
}

/// Compares two secrets in a time that does not depend on where they differ.
fn constant_time_eq(a: &[u8], b: &[u8]) -> bool {
    subtle::ConstantTimeEq::ct_eq(a, b).into()
}

/// The object through which an authenticated caller makes calls.
struct Session {
    from: String,
    tx: mpsc::WeakSender<Incoming>,
}

impl peer::Server for Session {
    async fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), Error> {
        let req = Request::decode(params.get()?.get_req()?)?;
        let (tx, rx) = oneshot::channel();
        let incoming = Incoming { from: self.from.clone(), req, tx };
        let stopping = |what: &str| Error::disconnected(format!("the daemon is stopping: {what}"));
        // Does not wait for space in the channel: if the connection ends, the RPC library does not free the call, and
        // the wait would never end.
        self.tx.upgrade().ok_or_else(|| stopping("not taken"))?.try_send(incoming).map_err(
            |e| match e {
                TrySendError::Full(_) => Error::overloaded("too many calls wait".into()),
                TrySendError::Closed(_) => stopping("not taken"),
            },
        )?;
        let res = rx.await.map_err(|_| stopping("no answer"))?;
        res.encode(results.get().init_res());
        Ok(())
    }
}

pub(crate) async fn serve(
    listener: TcpListener,
    opt: Arc<Options>,
    tx: mpsc::Sender<Incoming>,
    traffic: Arc<Traffic>,
) {
    let mut connections = JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let Ok((stream, addr)) = listener.accept().await else { continue };
        let counts = traffic.for_link(classify(&opt, addr));
        let (r, w) = tokio::io::split(CountedStream::new(stream, counts));
        let network = twoparty::VatNetwork::new(
            r.compat(),
            w.compat_write(),
            Side::Server,
            ReaderOptions::default(),
        );
        let handshake: door::Client =
            capnp_rpc::new_client(Handshake { opt: Arc::clone(&opt), tx: tx.downgrade() });
        let system = RpcSystem::new(Box::new(network), Some(handshake.client));
        connections.spawn_local(async move {
            if let Err(e) = system.await {
                tracing::debug!("peer: connection ended: {e}");
            }
        });
    }
}
