//! Tests of shares, grants, order and preemption.

mod fill;
mod grant;
mod hold;
mod order;
mod preempt;
