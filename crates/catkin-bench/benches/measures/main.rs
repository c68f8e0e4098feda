//! Prints every figure of docs/MEASURES.md that is made without running daemons, as tables with seeds.

#![allow(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "figures of short runs are far below 2^52"
)]

mod faults;
mod flood;
mod lease;
mod permits;
mod placement;
mod shares;

/// Each figure is made with each of these.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    println!("seeds {SEEDS:?}; figures are least / median / greatest over them");
    placement::speed();
    placement::tightness();
    placement::wrong_sizes();
    placement::accelerators();
    shares::shares();
    flood::floods();
    flood::waits();
    permits::permits();
    faults::bad_workers();
    faults::cancellations();
    lease::slopes();
}
