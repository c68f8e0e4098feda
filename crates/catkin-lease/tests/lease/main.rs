//! Tests of the lease state machines.

mod explore;
mod interleave;
mod owner;
mod term;
mod worker;
mod world;
