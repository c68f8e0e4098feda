//! `catkincartd node` against a stand-in of the users' platform; each daemon is a separate process.

#[path = "../support/mod.rs"]
#[expect(dead_code, reason = "the rest is used by other tests")]
mod support;

mod cancelled;
mod check;
mod crashes;
mod deployment;
mod incarnations;
mod load;
mod logs;
mod odd_entries;
mod odd_jobs;
mod path;
mod refused;
mod restart;
mod silent;
mod silent_connections;
mod slow_link;
mod unnotified;
mod unreadable;
