//! Every workload through every daemon, all as separate processes; the whole session is held by a golden file.

#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod support;

mod access;
mod bad_input;
mod normalise;
mod session;
