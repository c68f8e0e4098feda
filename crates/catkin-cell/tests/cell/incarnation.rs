//! Workers that state an earlier start than the one that is known of them.

use crate::extremes::START;
use catkin_cell::worker::{EndReason, TaskEnd, WorkerInfo, WorkerReport};
use catkin_cell::{Cell, Options, StepRef};
use catkin_types::{Incarnation, Resources};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

/// Lists the only worker with this incarnation.
fn list(cell: &mut Cell, incarnation: Incarnation, now: Duration) {
    let worker = WorkerInfo {
        id: "w0".into(),
        service: "s".into(),
        incarnation,
        capacity: Resources::new(4_000, 4_000, 0),
        ..WorkerInfo::default()
    };
    cell.update_workers(vec![worker], true, now);
}

/// Handles a report of this incarnation, and returns whether it was taken note of: whether its end is acknowledged.
fn is_heeded(cell: &mut Cell, incarnation: Incarnation, sent: Duration, now: Duration) -> bool {
    let worker = cell.worker_indices().next().expect("a worker is listed");
    let number = now.as_secs();
    let task = StepRef { job: 9, occurrence: 0, step: 0 }.task(0);
    let reason = EndReason::Stopped;
    let end = TaskEnd { number, task, run: 1, reason, checkpoint: String::new() };
    let ended = vec![end];
    let report = WorkerReport { clock_ms: number, incarnation, ended, ..WorkerReport::default() };
    cell.handle_report(worker, sent, &report, now, &mut Vec::new());
    cell.poll_params(worker, now).acknowledged == number
}

fn cell() -> Cell {
    Cell::new(Options::default(), 1, START)
}

#[test]
fn a_worker_whose_entry_states_a_start_that_never_was_is_heard() {
    let mut cell = cell();
    list(&mut cell, 1_000_000, START);
    assert!(is_heeded(&mut cell, 5, START + SECOND, START + SECOND));
    // The entry changes in another field.
    list(&mut cell, 1_000_000, START + SECOND * 2);
    assert!(is_heeded(&mut cell, 5, START + SECOND, START + SECOND * 3));
}

#[test]
fn a_worker_that_restarts_after_its_clock_went_back_is_heard() {
    let mut cell = cell();
    list(&mut cell, 100, START);
    assert!(is_heeded(&mut cell, 100, START + SECOND, START + SECOND));
    list(&mut cell, 40, START + SECOND * 2);
    assert!(is_heeded(&mut cell, 40, START + SECOND * 3, START + SECOND * 3));
    assert!(!is_heeded(&mut cell, 100, START + SECOND * 2, START + SECOND * 4));
    assert!(is_heeded(&mut cell, 40, START + SECOND * 5, START + SECOND * 5));
}

#[test]
fn a_late_answer_of_an_earlier_incarnation_is_ignored() {
    let mut cell = cell();
    list(&mut cell, 1, START);
    assert!(is_heeded(&mut cell, 1, START + SECOND, START + SECOND));
    list(&mut cell, 2, START + SECOND * 2);
    assert!(!is_heeded(&mut cell, 1, START + SECOND * 2, START + SECOND * 3));
    assert!(is_heeded(&mut cell, 2, START + SECOND * 4, START + SECOND * 4));
}
