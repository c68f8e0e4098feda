//! Tests of the owner of a cell.

mod advice;
mod extremes;
mod faults;
mod owner;
mod worker;
mod world;
