//! Tests of the owner of a cell.

mod advice;
mod faults;
mod owner;
mod takeover;
mod worker;
mod world;
