//! HTTP exchanges with workers.

use super::Message;
use super::state::State;
use catkin_lease::message::{Reply, Request};
use catkin_types::WorkerId;
use hyper::Method;

impl State {
    /// Sends requests to workers. A request without an answer is left to the timeout of the lease state machine.
    pub(super) fn send(&mut self, sends: Vec<(WorkerId, Request)>) {
        let timeout = self.cx.lease_options().reply_timeout;
        for (worker, req) in sends {
            let Some(host) = self.hosts.get(&worker) else { continue };
            let url = format!("http://{}/v1/lease", host.addr);
            let (http, me) = (self.cx.worker_http.clone(), self.me.clone());
            self.io.spawn(async move {
                match http.json::<_, Reply>(Method::POST, &url, &req, timeout).await {
                    Ok(reply) => drop(me.send_message(Message::Reply(worker, req, reply))),
                    Err(e) => tracing::debug!("owner: request to worker {worker} failed: {e}"),
                }
            });
        }
    }

    pub(super) fn reply(&mut self, worker: &WorkerId, req: &Request, reply: &Reply) {
        let now = self.cx.now();
        if let Reply::Refused { why, .. } = reply {
            tracing::debug!("owner: worker {worker} refused request {}: {why}", req.seq());
        }
        let events = self.lease.receive(now, worker, reply);
        self.handle_events(events);
        if let Reply::Report(_) = reply {
            self.sync_worker(worker);
            self.schedule_soon();
        }
        let sends = self.lease.flush(now);
        self.send(sends);
    }
}
