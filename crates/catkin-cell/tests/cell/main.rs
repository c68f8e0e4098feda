//! Tests of the owner of a cell.

mod advice;
mod faults;
mod fixture;
mod liveness;
mod owner;
mod queued_advice;
mod takeover;
mod worker;
mod world;
