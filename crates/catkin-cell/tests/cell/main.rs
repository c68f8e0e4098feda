//! Tests of the owner of a cell.

mod faults;
mod owner;
mod worker;
mod world;
