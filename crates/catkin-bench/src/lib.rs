//! Demand that measurements are made with, simple baselines, and tables.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod baseline;
pub mod demand;
pub mod table;
