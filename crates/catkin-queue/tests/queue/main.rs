//! Tests of admission and order.

mod budget;
mod order;
