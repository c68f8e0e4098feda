//! What a daemon holds never goes back.

use catkin_limits::{Table, View};
use std::sync::Arc;

fn highest_after(versions: &[u8], offer: impl Fn(&mut View, Arc<Table>)) -> bool {
    let mut view = View::default();
    let mut highest = 0;
    versions.iter().all(|v| {
        highest = highest.max(u64::from(*v));
        offer(&mut view, Arc::new(Table { version: u64::from(*v), ..Table::default() }));
        view.version() == highest
    })
}

#[test]
fn pushes_in_any_order_never_revert() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|versions| {
        let offer = |view: &mut View, t| {
            view.offer(t);
        };
        assert!(highest_after(versions, offer));
    });
}

/// A view that takes whatever came last fails the same check.
#[test]
fn a_view_that_takes_the_last_push_reverts() {
    let naive = |view: &mut View, t: Arc<Table>| {
        *view = View::default();
        view.offer(t);
    };
    assert!(!highest_after(&[3, 2], naive));
}
