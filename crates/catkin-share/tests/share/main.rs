//! Tests of shares, grants, order and preemption.

mod fair_share;
mod grant;
mod order;
mod preempt;
mod reservation;
