//! Every workload through every daemon, all as separate processes. Golden files record the sessions.

#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "the rest is used by other tests")]
mod support;

mod access;
mod bad_input;
mod normalise;
mod session;
