//! Failures after which a step that fits was never started again.

use crate::fixture::Fixture;
use crate::owner::step;
use catkin_cell::Task;
use catkin_cell::worker::Reply;

#[test]
fn orders_to_stop_in_random_order() {
    let mut f = Fixture::new(1);
    f.accept(1, "batch", vec![step(8, 100, 1_000)]);
    f.tick();
    let starts = f.take_starts();
    assert_eq!(starts.len(), 8);
    f.reply(&starts, Reply::Unknown);
    f.tick();
    f.report(0, crate::fixture::FIRST_INCARNATION, &[]);
    let stopped: Vec<Task> = f.take_stops().iter().map(|s| s.task).collect();
    assert_eq!(stopped, starts.iter().map(|s| s.task).collect::<Vec<_>>());
}
