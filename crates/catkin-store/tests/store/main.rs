//! Tests of the platform's client.

mod batch;
mod commit;
