//! Tests of the stand-ins.

mod port;
