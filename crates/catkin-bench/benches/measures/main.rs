//! Prints the tables of `docs/MEASURES.md` that need no running daemons.

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

/// The seeds of the runs from which each figure is computed.
const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    println!("seeds {SEEDS:?}; figures are least / median / greatest over them");
    placement::speed();
    placement::packing();
    placement::misdeclared_sizes();
    placement::accelerators();
    shares::shares();
    flood::floods();
    flood::waits();
    permits::permits();
    faults::bad_workers();
    faults::cancellations();
    lease::owner_cost();
}
