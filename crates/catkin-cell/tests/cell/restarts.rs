//! Restarts of workers whose calls of before may still arrive.

use crate::fixture::{FIRST_INCARNATION, Fixture, entry};
use crate::owner::step;
use catkin_cell::Progress;
use catkin_cell::action::StoredJob;
use catkin_cell::job::Job;
use catkin_cell::progress::StepProgress;
use std::time::Duration;

#[test]
fn task_started_twice_if_a_worker_restarts_during_a_takeover() {
    let mut f = Fixture::new(2);
    // An earlier owner recorded a start on a third worker, which has not answered yet.
    f.cell.update_workers(vec![entry(2, FIRST_INCARNATION)], true, f.now);
    let started = StepProgress { run: 1, on: vec!["w2".into()], ..StepProgress::default() };
    let job = Job {
        queue: "batch".into(),
        service: "s".into(),
        steps: vec![step(1, 1_000, 1_000)],
        ..Job::default()
    };
    let stored = StoredJob { job, progress: Progress { steps: vec![started] } };
    f.cell.add(1, stored, Duration::ZERO, f.now);
    // The order of the earlier owner may still reach the next incarnation, which knows no epoch.
    f.cell.update_workers(vec![entry(2, FIRST_INCARNATION + 1)], true, f.now);
    f.run(Duration::from_secs(1));
    assert!(f.take_starts().is_empty());
    f.report(2, FIRST_INCARNATION + 1, &[]);
    f.tick();
    assert_eq!(f.take_starts().len(), 1);
}
