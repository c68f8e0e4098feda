//! Jobs that were submitted twice, ended between two attempts, or changed while a new owner read the table.

use catkin_cell::job::Step;
use catkin_cell::{Job, State};
use catkin_node::gate::outcome::{WriteOutcome, outcome_of_conflict};
use catkin_node::table::{End, accepted_since, to_json};
use catkin_platform::store::Row;

fn row(part: &str, key: &str, version: u64, value: Option<Vec<u8>>) -> Row {
    Row { key: key.into(), part: part.into(), version, value }
}

fn job() -> Vec<u8> {
    to_json(&Job { steps: vec![Step { count: 1, ..Step::default() }], ..Job::default() })
}

fn end() -> Vec<u8> {
    to_json(&End { state: State::Completed, at_ms: 5, withdrawn: false })
}

#[test]
fn an_ended_job_is_not_reported_as_newly_accepted_after_a_lost_answer() {
    let ended = [row("1", "a", 0, None), row("1", "a", 9, Some(end()))];
    assert_eq!(outcome_of_conflict(&ended, true), WriteOutcome::AlreadyDone);
    let open = [row("1", "a", 7, Some(job())), row("1", "a", 0, None)];
    assert_eq!(outcome_of_conflict(&open, true), WriteOutcome::Durable);
    assert_eq!(outcome_of_conflict(&open, false), WriteOutcome::AlreadyDone);
}

#[test]
fn a_new_owner_adds_only_jobs_that_were_accepted_after_it_read_their_part() {
    let rows = vec![
        row("0", "early", 90, Some(job())),
        // Accepted and ended by the previous owner, after part 0 was read and before part 1 was read.
        row("1", "gone", 101, Some(job())),
        row("1", "gone", 105, None),
        row("1", "old", 109, Some(job())),
        row("0", "new", 102, Some(job())),
        row("1", "new-too", 111, Some(job())),
        // Accepted and ended before the changes were read.
        row("0", "short", 112, Some(job())),
        row("0", "short", 113, None),
    ];
    let added: Vec<String> =
        accepted_since(rows, &[100, 110, 110, 110]).into_iter().map(|r| r.key).collect();
    assert_eq!(added, ["new", "new-too"]);
}
