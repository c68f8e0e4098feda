//! Conversion of the plain types to messages.

use super::{Aggregate, Heartbeat, Refused, Request, Response, millis};
use crate::peer_capnp::{aggregate, beat, refused, request, response};

impl Request {
    /// Writes the request into an empty message.
    pub fn encode(&self, b: request::Builder<'_>) {
        let mut b = b;
        match self {
            Self::Heartbeat(x) => x.encode(b.init_beat()),
            Self::PushLimits(json) => b.set_push_limits(json),
            Self::PullLimits(version) => b.set_pull_limits(*version),
            Self::Acquire(x) => {
                let mut b = b.init_acquire();
                b.set_shard(&x.shard);
                b.set_row(&x.row);
                b.set_request_id(&x.request_id);
                b.set_wait_ms(millis(x.wait));
            }
            Self::Release(x) => {
                let mut b = b.init_release();
                b.set_shard(&x.shard);
                b.set_id(x.id);
                b.set_healthy(x.healthy);
            }
            Self::Offer { shard, job } => {
                let mut b = b.init_offer();
                b.set_shard(shard);
                b.set_job(*job);
            }
            Self::Cancel { shard, jobs } => {
                let mut b = b.init_cancel();
                b.set_shard(shard);
                let mut list = b.init_jobs(len(jobs));
                (0..).zip(jobs).for_each(|(i, job)| list.set(i, *job));
            }
            Self::JobStatus(job) => b.set_job_status(*job),
            Self::Explain(job) => b.set_explain(*job),
            Self::Workers(shard) => b.set_workers(shard),
            Self::ShardsChanged => b.set_look(()),
            Self::Store { job, body } => {
                let mut b = b.init_store();
                b.set_job(*job);
                b.set_body(body);
            }
            Self::StoreCancellation(job) => b.set_withdraw(*job),
            Self::CountWaiting(queue) => b.set_waiting(queue),
            Self::Advise(x) => {
                let mut b = b.init_advise();
                b.set_job(x.job);
                b.set_occurrence(x.occurrence);
                b.set_step(x.step);
                b.set_wait_ms(millis(x.wait));
                let mut list = b.init_workers(len(&x.workers));
                (0..).zip(&x.workers).for_each(|(i, w)| list.set(i, w));
            }
        }
    }
}

impl Response {
    /// Writes the response into an empty message.
    pub fn encode(&self, b: response::Builder<'_>) {
        let mut b = b;
        match self {
            Self::Heartbeat(x) => x.encode(b.init_beat()),
            Self::Version(version) => b.set_version(*version),
            Self::Limits(json) => b.set_limits(json),
            Self::Permit(x) => {
                let mut b = b.init_permit();
                b.set_id(x.id);
                b.set_target(&x.target);
                b.set_expires_ms(millis(x.expires));
            }
            Self::Done => b.set_done(()),
            Self::Refused(x) => x.encode(b.init_refused()),
            Self::Json(json) => b.set_text(json),
            Self::Count(n) => b.set_count(*n),
            Self::Advice(rows) => {
                let mut list = b.init_advice(len(rows));
                for (i, (worker, text)) in (0..).zip(rows) {
                    let mut ticket = list.reborrow().get(i);
                    ticket.set_worker(worker);
                    ticket.set_text(text);
                }
            }
        }
    }
}

impl Heartbeat {
    fn encode(&self, mut b: beat::Builder<'_>) {
        b.set_daemon(&self.daemon);
        b.set_incarnation(self.incarnation);
        b.set_limits_version(self.limits_version);
        b.set_draining(self.draining);
        b.set_address(&self.address);
        b.set_leads(self.leads);
        b.set_processors_milli(self.processors_milli);
        b.set_table_latency_ms(self.table_latency_ms);
        let mut list = b.init_shards(len(&self.shards));
        (0..).zip(&self.shards).for_each(|(i, s)| s.encode(list.reborrow().get(i)));
    }
}

impl Aggregate {
    fn encode(&self, mut b: aggregate::Builder<'_>) {
        b.set_shard(&self.shard);
        b.set_epoch(self.epoch);
        b.set_free_cpu_milli(self.free.cpu_milli);
        b.set_free_memory_mib(self.free.memory_mib);
        b.set_free_accelerators(self.free.accelerators);
        b.set_waiting(self.waiting);
        b.set_largest_cpu_milli(self.largest.cpu_milli);
        b.set_largest_memory_mib(self.largest.memory_mib);
        b.set_largest_accelerators(self.largest.accelerators);
    }
}

impl Refused {
    fn encode(&self, mut b: refused::Builder<'_>) {
        b.set_code(self.code);
        b.set_retry_after_ms(millis(self.retry_after));
        b.set_message(&self.message);
    }
}

fn len<T>(list: &[T]) -> u32 {
    u32::try_from(list.len()).unwrap_or(u32::MAX)
}
