//! Errors of tables, edits and sheets.

use catkin_types::{Code, RowName};

/// A row that changed after the version that an edit is based on.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Conflict {
    /// The name of the row.
    pub row: RowName,
    /// The version that changed the row last.
    pub changed_in: u64,
}

/// The reason why a table, an edit or a sheet is rejected.
#[derive(Clone, Debug, PartialEq, derive_more::Display, derive_more::Error)]
pub enum Error {
    /// Rows of the edit changed after the version that it is based on.
    #[display("{} rows changed since the version that the edit was made from", _0.len())]
    Conflict(#[error(not(source))] Vec<Conflict>),
    /// A value of a row is invalid.
    #[display("row {row}: {problem}")]
    InvalidRow {
        /// The name of the row.
        row: RowName,
        /// What is wrong, and the permitted values.
        problem: String,
    },
    /// The sheet can't be parsed.
    #[display("line {line}: {problem}")]
    InvalidSheet {
        /// The line number, starting at 1.
        line: u64,
        /// What is wrong, such as the CSV parser's message.
        problem: String,
    },
}

impl Error {
    /// Returns the result code for the caller.
    #[must_use]
    pub fn code(&self) -> Code {
        match self {
            Self::Conflict(_) => Code::CONFLICT,
            Self::InvalidRow { .. } => Code::BAD_ROW,
            Self::InvalidSheet { .. } => Code::BAD_REQUEST,
        }
    }
}
