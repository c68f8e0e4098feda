//! Tests of shares, grants, order and preemption.

mod fill;
mod grant;
mod order;
mod preempt;
