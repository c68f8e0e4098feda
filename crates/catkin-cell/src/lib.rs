//! Decisions of the owner of a cell: which task starts on which worker, and what is known of each.
//!
//! Pure logic: events and the current time go in, [`Action`]s come out. There is no I/O, no clock and no randomness.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod action;
pub mod cell;
pub mod event;
pub mod fence;
pub mod job;
pub mod progress;
pub mod queue;
pub mod step;
pub mod task;
pub mod worker;

pub use action::{Action, AdviceRequest, Start, Stop, Write};
pub use cell::{Cell, Options};
pub use event::Event;
pub use job::{Job, State};
pub use progress::Progress;
pub use queue::Queue;
pub use task::{StepRef, Task};
