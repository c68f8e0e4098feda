//! Tests of calls between daemons.

mod stop;
