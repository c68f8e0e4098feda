//! The client: calls to other daemons.

use crate::Options;
use crate::error::Error;
use crate::wire::{CountedStream, Traffic, classify};
use capnp::message::ReaderOptions;
use capnp_rpc::rpc_twoparty_capnp::Side;
use capnp_rpc::{RpcSystem, twoparty};
use catkin_schema::peer::{Request, Response};
use catkin_schema::peer_capnp::door::enter_results;
use catkin_schema::peer_capnp::{door, peer};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio_util::compat::{TokioAsyncReadCompatExt, TokioAsyncWriteCompatExt};

/// A call that is queued for the RPC thread.
#[derive(Debug)]
pub(crate) struct Outgoing {
    to: SocketAddr,
    req: Request,
    timeout: Duration,
    tx: oneshot::Sender<Result<Response, Error>>,
}

/// Makes calls from any thread.
#[derive(Clone, Debug)]
pub struct PeerClient {
    tx: mpsc::Sender<Outgoing>,
}

impl PeerClient {
    pub(crate) fn new(tx: mpsc::Sender<Outgoing>) -> Self {
        Self { tx }
    }

    /// Calls the daemon at `to`, over an open connection if there is one.
    ///
    /// # Errors
    /// [`Error::NotSent`] or [`Error::Refused`] if the call certainly had no effect, [`Error::Lost`] otherwise, also
    /// after `timeout`.
    pub async fn call(
        &self,
        to: SocketAddr,
        req: Request,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let (tx, rx) = oneshot::channel();
        let outgoing = Outgoing { to, req, timeout, tx };
        if self.tx.try_send(outgoing).is_err() {
            return Err(Error::NotSent("too many calls wait".into()));
        }
        rx.await.unwrap_or_else(|_| Err(Error::Lost("the peer side stopped".into())))
    }
}

type Sessions = Rc<RefCell<HashMap<SocketAddr, peer::Client>>>;

pub(crate) async fn run(
    opt: Arc<Options>,
    mut rx: mpsc::Receiver<Outgoing>,
    traffic: Arc<Traffic>,
) {
    let sessions = Sessions::default();
    let mut calls = JoinSet::new();
    while let Some(queued) = rx.recv().await {
        while calls.try_join_next().is_some() {}
        let (opt, sessions, traffic) =
            (Arc::clone(&opt), Rc::clone(&sessions), Arc::clone(&traffic));
        calls.spawn_local(async move {
            let call = call(&opt, &sessions, &traffic, queued.to, &queued.req);
            let res = tokio::time::timeout(queued.timeout, call).await.unwrap_or_else(|_| {
                // The connection may be dead without an error, so the next call opens another one.
                sessions.borrow_mut().remove(&queued.to);
                Err(Error::Lost(format!("no answer within {} ms", queued.timeout.as_millis())))
            });
            let _ = queued.tx.send(res);
        });
    }
    while calls.join_next().await.is_some() {}
}

async fn call(
    opt: &Options,
    sessions: &Sessions,
    traffic: &Traffic,
    to: SocketAddr,
    req: &Request,
) -> Result<Response, Error> {
    let existing = sessions.borrow().get(&to).cloned();
    let session = match existing {
        Some(session) => session,
        None => open_session(opt, sessions, traffic, to).await?,
    };
    let mut message = session.call_request();
    req.encode(message.get().init_req());
    let lost = |e: capnp::Error| Error::Lost(e.to_string());
    let answer =
        message.send().promise.await.inspect_err(|_| drop(sessions.borrow_mut().remove(&to)));
    let answer = answer.map_err(lost)?;
    Response::decode(answer.get().map_err(lost)?.get_res().map_err(lost)?).map_err(lost)
}

/// Connects and authenticates with the token. The session is kept for further calls.
async fn open_session(
    opt: &Options,
    sessions: &Sessions,
    traffic: &Traffic,
    to: SocketAddr,
) -> Result<peer::Client, Error> {
    let connect = tokio::time::timeout(opt.connect_timeout, TcpStream::connect(to));
    let not_sent = |e: &dyn std::fmt::Display| Error::NotSent(e.to_string());
    let stream = connect.await.map_err(|e| not_sent(&e))?.map_err(|e| match e.kind() {
        std::io::ErrorKind::ConnectionRefused => Error::Refused(e.to_string()),
        _ => not_sent(&e),
    })?;
    let counts = traffic.for_link(classify(opt, to));
    let (r, w) = tokio::io::split(CountedStream::new(stream, counts));
    let network = twoparty::VatNetwork::new(
        r.compat(),
        w.compat_write(),
        Side::Client,
        ReaderOptions::default(),
    );
    let mut system = RpcSystem::new(Box::new(network), None);
    let handshake: door::Client = system.bootstrap(Side::Server);
    // The connection is closed when its last session is dropped, or when the thread ends.
    tokio::task::spawn_local(async move {
        if let Err(e) = system.await {
            tracing::debug!("peer: connection ended: {e}");
        }
    });
    let mut message = handshake.enter_request();
    message.get().set_from(&opt.id);
    message.get().set_token(opt.token.as_bytes());
    let answer = message.send().promise.await.map_err(|e| not_sent(&e))?;
    let session =
        answer.get().and_then(enter_results::Reader::get_peer).map_err(|e| not_sent(&e))?;
    sessions.borrow_mut().insert(to, session.clone());
    Ok(session)
}
