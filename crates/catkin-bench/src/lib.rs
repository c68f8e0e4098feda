//! Generated demand, baseline policies and result tables for the benchmarks.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod baseline;
pub mod demand;
pub mod load;
pub mod table;
