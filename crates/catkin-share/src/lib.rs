//! Who gets what: weighted max-min shares, grants of a limit to shards, the order of rows, and preemption.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod fill;
pub mod grant;
pub mod hold;
pub mod order;
pub mod preempt;
