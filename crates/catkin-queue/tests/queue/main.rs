//! Tests of the queue's admission, bounds and order.

mod budget;
mod order;
