//! Tests of the owner of a cell.

mod advice;
mod faults;
mod fixture;
mod liveness;
mod owner;
mod quiet;
mod restarts;
mod worker;
mod world;
