//! Tests of the simulated platform services.

mod port;
