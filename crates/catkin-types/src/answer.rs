//! The outcome that a caller is told.

use crate::Code;
use serde::{Deserialize, Serialize};

/// What is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran, and the answer is whole.
    #[display("done")]
    Done,
    /// It did not run and will not. A repeat is safe.
    #[display("not run")]
    #[serde(rename = "not run")]
    NotRun,
    /// It may or may not have run.
    #[display("unknown")]
    Unknown,
}

/// The body of every answer that is not the target's own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The number of the result code.
    pub code: u16,
    /// What is known of the request.
    pub outcome: Outcome,
    /// One sentence.
    pub message: String,
    /// The id under which the logs have the request.
    pub request_id: String,
}

impl Answer {
    /// An answer with `code` and its outcome.
    #[must_use]
    pub fn new(code: Code, message: impl Into<String>, request_id: impl Into<String>) -> Self {
        Self {
            code: code.number(),
            outcome: code.outcome(),
            message: message.into(),
            request_id: request_id.into(),
        }
    }
}
