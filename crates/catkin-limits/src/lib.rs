//! The table of weights and limits: rows, versions, edits with conflict detection, and its CSV format.
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
