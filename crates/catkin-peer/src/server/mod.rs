//! The side that is called.

use crate::wire::{Counted, Traffic, classify};
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

/// The first object that a caller meets. It gives the second to who knows the token.
///
/// The RPC library does not free the objects of a connection that ends with a call in progress. They hold the channel
/// weakly, so that it closes when the server stops.
struct Door {
    opt: Arc<Options>,
    tx: mpsc::WeakSender<Incoming>,
}

impl door::Server for Door {
    async fn enter(
        self: Rc<Self>,
        params: door::EnterParams,
        mut results: door::EnterResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let from = params.get_from()?.to_string()?;
        if !same(params.get_token()?, self.opt.token.as_bytes()) {
            tracing::warn!("peer: wrong token from {from}");
            return Err(Error::failed("the token is wrong".into()));
        }
        let room = Room { from, tx: self.tx.clone() };
        results.get().set_peer(capnp_rpc::new_client(room));
        Ok(())
    }
}

/// Whether two secrets are the same, in a time that does not depend on where they differ.
fn same(a: &[u8], b: &[u8]) -> bool {
    subtle::ConstantTimeEq::ct_eq(a, b).into()
}

struct Room {
    from: String,
    tx: mpsc::WeakSender<Incoming>,
}

impl peer::Server for Room {
    async fn call(
        self: Rc<Self>,
        params: peer::CallParams,
        mut results: peer::CallResults,
    ) -> Result<(), Error> {
        let req = Request::decode(params.get()?.get_req()?)?;
        let (tx, rx) = oneshot::channel();
        let incoming = Incoming { from: self.from.clone(), req, tx };
        let gone = |what: &str| Error::disconnected(format!("the daemon is stopping: {what}"));
        // No wait for a place: a call that is freed with its connection never ends.
        self.tx.upgrade().ok_or_else(|| gone("not taken"))?.try_send(incoming).map_err(
            |e| match e {
                TrySendError::Full(_) => Error::overloaded("too many calls wait".into()),
                TrySendError::Closed(_) => gone("not taken"),
            },
        )?;
        let res = rx.await.map_err(|_| gone("no answer"))?;
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
        let counts = traffic.of(classify(&opt, addr));
        let (r, w) = tokio::io::split(Counted::new(stream, counts));
        let network = twoparty::VatNetwork::new(
            r.compat(),
            w.compat_write(),
            Side::Server,
            ReaderOptions::default(),
        );
        let door: door::Client =
            capnp_rpc::new_client(Door { opt: Arc::clone(&opt), tx: tx.downgrade() });
        let system = RpcSystem::new(Box::new(network), Some(door.client));
        connections.spawn_local(async move {
            if let Err(e) = system.await {
                tracing::debug!("peer: connection ended: {e}");
            }
        });
    }
}
