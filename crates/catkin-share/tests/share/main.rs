//! Tests of shares, grants, order, preemption and reservations.

mod fair_share;
mod grant;
mod order;
mod preempt;
mod reservation;
