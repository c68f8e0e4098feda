//! Tests of the selection of tasks to preempt.

use catkin_share::preempt::{Action, Candidate, select_victims};
use catkin_types::{Resources, TaskId};
use std::collections::BTreeMap;
use std::time::Duration;

fn candidate(i: u32, row: &str, cpu: u64, unsaved: u64) -> Candidate {
    Candidate {
        task: TaskId::new(1, i),
        row: row.into(),
        size: Resources::new(cpu, 1, 0),
        unsaved: Duration::from_secs(unsaved),
        can_checkpoint: i.is_multiple_of(2),
    }
}

fn excess(cpu: u64) -> BTreeMap<String, Resources> {
    BTreeMap::from([("batch".to_owned(), Resources::new(cpu, 100, 0))])
}

const MIN_UNSAVED_FOR_CHECKPOINT: Duration = Duration::from_mins(1);

#[test]
fn tasks_with_the_least_unsaved_work_are_stopped_first_and_only_as_needed() {
    let all =
        [candidate(0, "batch", 4, 100), candidate(1, "batch", 4, 10), candidate(3, "batch", 4, 50)];
    let need = Resources::new(8, 1, 0);
    let chosen = select_victims(&need, &all, &excess(100), MIN_UNSAVED_FOR_CHECKPOINT);
    assert_eq!(chosen, [(TaskId::new(1, 1), Action::Stop), (TaskId::new(1, 3), Action::Stop)]);
}

#[test]
fn long_unsaved_work_is_checkpointed() {
    let all = [candidate(0, "batch", 8, 100)];
    let chosen =
        select_victims(&Resources::new(8, 1, 0), &all, &excess(100), MIN_UNSAVED_FOR_CHECKPOINT);
    assert_eq!(chosen, [(TaskId::new(1, 0), Action::Checkpoint)]);
}

#[test]
fn rows_within_their_share_lose_nothing_and_insufficient_preemption_is_not_begun() {
    let all = [candidate(1, "owed", 8, 1), candidate(3, "batch", 4, 1)];
    assert!(
        select_victims(&Resources::new(8, 1, 0), &all, &excess(100), MIN_UNSAVED_FOR_CHECKPOINT)
            .is_empty()
    );
    let all = [candidate(3, "batch", 8, 1)];
    assert!(
        select_victims(&Resources::new(8, 1, 0), &all, &excess(4), MIN_UNSAVED_FOR_CHECKPOINT)
            .is_empty()
    );
}
