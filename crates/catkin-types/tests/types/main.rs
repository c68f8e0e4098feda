//! Tests of ids, resources and result codes.

mod code;
mod id;
mod resources;
