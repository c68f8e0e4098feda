//! The cases. Each returns whether the rule held, or `None` if it could not run.

pub mod restarts;
pub mod silent;
