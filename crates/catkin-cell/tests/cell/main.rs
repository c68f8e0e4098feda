//! Tests of the owner of a cell.

mod advice;
mod faults;
mod held;
mod owner;
mod progress;
mod refused;
mod worker;
mod world;
