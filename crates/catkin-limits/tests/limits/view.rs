//! Tests that a daemon's copy of the table never reverts to an earlier version.

use catkin_limits::{Table, View};
use std::sync::Arc;

fn always_holds_highest(versions: &[u8], push: impl Fn(&mut View, Arc<Table>)) -> bool {
    let mut view = View::default();
    let mut highest = 0;
    versions.iter().all(|v| {
        highest = highest.max(u64::from(*v));
        push(&mut view, Arc::new(Table { version: u64::from(*v), ..Table::default() }));
        view.version() == highest
    })
}

#[test]
fn pushes_in_any_order_never_revert_the_view() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|versions| {
        let push = |view: &mut View, t| {
            view.replace_if_newer(t);
        };
        assert!(always_holds_highest(versions, push));
    });
}

/// A view that always takes the last pushed table fails the same check, so the check can detect a revert.
#[test]
fn view_that_accepts_any_push_reverts() {
    let accept_any = |view: &mut View, t: Arc<Table>| {
        *view = View::default();
        view.replace_if_newer(t);
    };
    assert!(!always_holds_highest(&[3, 2], accept_any));
}
