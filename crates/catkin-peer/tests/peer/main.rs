//! Tests of the calls between daemons.

mod stop;
