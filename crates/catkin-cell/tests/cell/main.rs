//! Tests of the owner of a cell.

mod advice;
mod any_values;
mod extremes;
mod faults;
mod incarnation;
mod owner;
mod worker;
mod world;
