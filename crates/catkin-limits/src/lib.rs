//! The table of weights and limits: rows, versions, edits and their conflicts, and the spreadsheet form.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod edit;
pub mod error;
pub mod sheet;
pub mod table;
pub mod view;

pub use edit::{Change, Edit};
pub use error::Error;
pub use table::Table;
pub use view::View;
