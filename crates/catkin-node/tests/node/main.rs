//! Tests of parts of a daemon without a running platform: dispatch of advice requests, rows of jobs, takeovers, refusals,
//! what a daemon knows of the table service, and settings.

mod advice;
mod availability;
mod candidate;
mod clock;
mod earlier;
mod jobs;
mod latency;
mod owner;
mod refusal;
mod settings;
mod silent;
mod term;
mod watch;
mod withdrawal;
mod worker_entries;
