//! Tests of the HTTP client.

mod paced;
