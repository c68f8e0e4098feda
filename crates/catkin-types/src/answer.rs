//! The outcome of a request and the answer body that reports it to the caller.

use crate::Code;
use serde::{Deserialize, Serialize};

/// Whether a request ran, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// The request ran, and the answer is complete.
    #[display("done")]
    Done,
    /// The request did not run and will not run. It is safe to send it again.
    #[display("not run")]
    #[serde(rename = "not run")]
    NotRun,
    /// The request may or may not have run.
    #[display("unknown")]
    Unknown,
}

/// The body of every answer that does not come from the target itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// The number of a [`Code`].
    pub code: u16,
    /// The outcome that belongs to `code`.
    pub outcome: Outcome,
    /// One sentence for the caller.
    pub message: String,
    /// The id of the request in the log lines.
    pub request_id: String,
}

impl Answer {
    /// Returns an answer with `code` and the outcome that belongs to it.
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
