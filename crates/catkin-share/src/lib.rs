//! Fair sharing: weighted max-min shares, grants of a limit to shards, the order of rows, preemption and reservations.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod fair_share;
pub mod grant;
pub mod order;
pub mod preempt;
pub mod reservation;
