//! Tests of the durable row of a shard.

use catkin_lease::Options;
use catkin_lease::term::Term;
use std::time::Duration;

fn options(autonomy_s: u64) -> Options {
    let s = Duration::from_secs;
    Options { length: s(10), autonomy: s(autonomy_s), drift_ppm: 0, ..Options::default() }
}

#[test]
fn a_first_term_is_settled() {
    let t = Term::successor(None, "a", &options(60));
    assert_eq!((t.epoch, t.settled), (1, true));
}

#[test]
fn a_successor_waits_for_autonomy_and_lease() {
    let t = Term::successor(None, "a", &options(60));
    assert_eq!(t.settle_delay(&options(60)), Duration::from_secs(70));
}

#[test]
fn after_a_settled_release_a_successor_waits_one_lease() {
    let t = Term::successor(None, "a", &options(60));
    assert_eq!(t.release(true).settle_delay(&options(60)), Duration::from_secs(10));
    assert_eq!(t.release(false).settle_delay(&options(60)), Duration::from_secs(70));
}

#[test]
fn the_longest_autonomy_applies_until_a_term_is_settled() {
    let a = Term::successor(None, "a", &options(3_600));
    let b = Term::successor(Some(&a), "b", &options(5));
    assert_eq!(b.settle_delay(&options(5)), Duration::from_secs(3_610));
    assert_eq!(b.settle(&options(5)).settle_delay(&options(5)), Duration::from_secs(15));
}
