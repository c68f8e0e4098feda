//! `catkincartd node` on a stand-in of the users' platform, each daemon a process of its own.

#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "other tests use the rest")]
mod support;

mod check;
#[expect(dead_code, reason = "the soak uses the rest")]
mod deployment;
mod logs;
mod path;
