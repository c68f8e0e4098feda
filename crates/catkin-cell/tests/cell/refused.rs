//! Progress rows that the table refuses for good.

use crate::owner::step;
use crate::world::World;
use catkin_cell::State;
use std::time::Duration;

const FIRST: u64 = 1;
const SECOND: u64 = 2;

/// A job whose progress is refused reserved room again and again, for starts that could never be made.
#[test]
fn a_job_whose_progress_is_refused_starts_nothing_and_leaves_the_room_to_others() {
    let mut w = World::new(13, 1, false);
    w.refused.insert(FIRST);
    w.take_over(None);
    w.accept(FIRST, vec![step(4, 1_000, 200)]);
    w.run(Duration::from_secs(2));
    w.accept(SECOND, vec![step(4, 1_000, 200)]);
    w.run(Duration::from_secs(5));
    assert_eq!(w.violations, Vec::<String>::new());
    assert_eq!(w.ended.get(&SECOND), Some(&State::Completed), "{}", w.explain());
    assert_eq!((w.ended.get(&FIRST), w.starts), (None, 4));
    assert_eq!(w.refusals, 1, "a row is not sent again while its job does not change");
    w.cancel(FIRST);
    (0..100).for_each(|_| w.run_tick());
    assert_eq!(w.ended.get(&FIRST), Some(&State::Cancelled));
}
