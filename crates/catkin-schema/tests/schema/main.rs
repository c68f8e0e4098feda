//! Tests of the messages between daemons and of the settings.

mod peer;
mod settings;
