//! Tests of the client of the platform's services.

mod batch;
mod commit;
