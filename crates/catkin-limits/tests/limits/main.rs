//! Tests of the table of weights and limits.

mod edit;
mod sheet;
mod view;
