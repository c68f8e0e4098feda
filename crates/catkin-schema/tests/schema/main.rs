//! Tests of messages and settings.

mod peer;
mod settings;
