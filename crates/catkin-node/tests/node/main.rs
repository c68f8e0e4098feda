//! Tests of parts of a daemon without a running platform: dispatch of advice requests, rows of jobs, and settings.

mod advice;
mod jobs;
mod settings;
