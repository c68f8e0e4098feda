//! Why a table or an edit is refused.

use catkin_types::{Code, RowName};

/// A row that changed after the version that an edit was made from.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Conflict {
    /// The row.
    pub row: RowName,
    /// The version in which it changed.
    pub changed_in: u64,
}

/// The reason for a refusal.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// Rows changed in between.
    #[display("{} rows changed since the version that the edit was made from", _0.len())]
    Conflict(#[error(not(source))] Vec<Conflict>),
    /// A value is out of range.
    #[display("row {row}: {what}")]
    BadRow {
        /// The row.
        row: RowName,
        /// What is wrong, and what would be right.
        what: String,
    },
    /// The sheet can't be read.
    #[display("line {line}: {what}")]
    BadSheet {
        /// The line, counted from 1.
        line: u64,
        /// What is wrong.
        what: String,
    },
}

impl Error {
    /// The result code.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Conflict(_) => Code::CONFLICT,
            Self::BadRow { .. } => Code::BAD_ROW,
            Self::BadSheet { .. } => Code::BAD_REQUEST,
        }
    }
}
