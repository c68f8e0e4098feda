//! Tests of the owner of a cell.

mod advice;
mod faults;
mod fixture;
mod liveness;
mod owner;
mod progress;
mod queued_advice;
mod refused;
mod takeover;
mod worker;
mod world;
