//! Conversion of messages to the plain types.

use super::{Acquire, Advise, Aggregate, Heartbeat, Permit, Refused, Release, Request, Response};
use crate::peer_capnp::{aggregate, beat, refused, request, response, ticket};
use capnp::Error;
use catkin_types::Resources;
use std::time::Duration;

impl Request {
    /// Reads a request from a message.
    ///
    /// # Errors
    /// Returns an error if the message is malformed or of a kind that this version does not know.
    pub fn decode(r: request::Reader<'_>) -> Result<Self, Error> {
        Ok(match r.which()? {
            request::Beat(x) => Self::Heartbeat(Heartbeat::decode(x?)?),
            request::PushLimits(json) => Self::PushLimits(json?.to_vec()),
            request::PullLimits(version) => Self::PullLimits(version),
            request::Acquire(x) => {
                let x = x?;
                Self::Acquire(Acquire {
                    shard: x.get_shard()?.to_string()?,
                    row: x.get_row()?.to_string()?,
                    request_id: x.get_request_id()?.to_string()?,
                    wait: Duration::from_millis(x.get_wait_ms()),
                })
            }
            request::Release(x) => {
                let x = x?;
                let shard = x.get_shard()?.to_string()?;
                Self::Release(Release { shard, id: x.get_id(), healthy: x.get_healthy() })
            }
            request::Offer(x) => {
                let x = x?;
                let shard = x.get_shard()?.to_string()?;
                Self::Offer { shard, job: x.get_job() }
            }
            request::Cancel(x) => {
                let x = x?;
                let jobs = x.get_jobs()?.iter().collect();
                Self::Cancel { shard: x.get_shard()?.to_string()?, jobs }
            }
            request::JobStatus(job) => Self::JobStatus(job),
            request::Explain(job) => Self::Explain(job),
            request::Look(()) => Self::ShardsChanged,
            request::Store(x) => {
                let x = x?;
                Self::Store { job: x.get_job(), body: x.get_body()?.to_vec() }
            }
            request::Withdraw(job) => Self::StoreCancellation(job),
            request::Waiting(queue) => Self::CountWaiting(queue?.to_string()?),
            request::Advise(x) => {
                let x = x?;
                let text = |w: capnp::Result<capnp::text::Reader<'_>>| Ok(w?.to_string()?);
                Self::Advise(Advise {
                    job: x.get_job(),
                    occurrence: x.get_occurrence(),
                    step: x.get_step(),
                    workers: x.get_workers()?.iter().map(text).collect::<Result<_, Error>>()?,
                    wait: Duration::from_millis(x.get_wait_ms()),
                })
            }
            request::Workers(shard) => Self::Workers(shard?.to_string()?),
        })
    }
}

impl Response {
    /// Reads a response from a message.
    ///
    /// # Errors
    /// Returns an error if the message is malformed or of a kind that this version does not know.
    pub fn decode(r: response::Reader<'_>) -> Result<Self, Error> {
        Ok(match r.which()? {
            response::Beat(x) => Self::Heartbeat(Heartbeat::decode(x?)?),
            response::Version(version) => Self::Version(version),
            response::Limits(json) => Self::Limits(json?.to_vec()),
            response::Permit(x) => {
                let x = x?;
                Self::Permit(Permit {
                    id: x.get_id(),
                    target: x.get_target()?.to_string()?,
                    expires: Duration::from_millis(x.get_expires_ms()),
                })
            }
            response::Done(()) => Self::Done,
            response::Refused(x) => Self::Refused(Refused::decode(x?)?),
            response::Text(json) => Self::Json(json?.to_vec()),
            response::Count(n) => Self::Count(n),
            response::Advice(rows) => {
                let ticket = |t: ticket::Reader<'_>| -> Result<_, Error> {
                    Ok((t.get_worker()?.to_string()?, t.get_text()?.to_string()?))
                };
                Self::Advice(rows?.iter().map(ticket).collect::<Result<_, _>>()?)
            }
        })
    }
}

impl Heartbeat {
    fn decode(r: beat::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            daemon: r.get_daemon()?.to_string()?,
            incarnation: r.get_incarnation(),
            limits_version: r.get_limits_version(),
            draining: r.get_draining(),
            shards: r.get_shards()?.iter().map(Aggregate::decode).collect::<Result<_, _>>()?,
            address: r.get_address()?.to_string()?,
            leads: r.get_leads(),
            processors_milli: r.get_processors_milli(),
            table_latency_ms: r.get_table_latency_ms(),
        })
    }
}

impl Aggregate {
    fn decode(r: aggregate::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            shard: r.get_shard()?.to_string()?,
            epoch: r.get_epoch(),
            free: Resources::new(
                r.get_free_cpu_milli(),
                r.get_free_memory_mib(),
                r.get_free_accelerators(),
            ),
            waiting: r.get_waiting(),
            largest: Resources::new(
                r.get_largest_cpu_milli(),
                r.get_largest_memory_mib(),
                r.get_largest_accelerators(),
            ),
        })
    }
}

impl Refused {
    fn decode(r: refused::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            code: r.get_code(),
            retry_after: Duration::from_millis(r.get_retry_after_ms()),
            message: r.get_message()?.to_string()?,
        })
    }
}
