//! Ids, resources, limits rows and result codes shared by every other crate.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod answer;
pub mod code;
pub mod id;
pub mod resources;
pub mod row;

pub use answer::Answer;
pub use code::Code;
pub use id::{
    Borrower, DaemonId, Epoch, FencingToken, Incarnation, JobId, Region, RowName, ShardId, TaskId,
    WorkerId, Zone,
};
pub use resources::Resources;
pub use row::Row;
