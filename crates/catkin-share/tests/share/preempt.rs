//! Which tasks give way.

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

const WORTH: Duration = Duration::from_mins(1);

#[test]
fn those_that_lose_least_go_first_and_no_more_than_needed() {
    let all =
        [candidate(0, "batch", 4, 100), candidate(1, "batch", 4, 10), candidate(3, "batch", 4, 50)];
    let need = Resources::new(8, 1, 0);
    let chosen = select_victims(&need, &all, &excess(100), WORTH);
    assert_eq!(chosen, [(TaskId::new(1, 1), Action::Stop), (TaskId::new(1, 3), Action::Stop)]);
}

#[test]
fn long_work_is_saved_first() {
    let all = [candidate(0, "batch", 8, 100)];
    let chosen = select_victims(&Resources::new(8, 1, 0), &all, &excess(100), WORTH);
    assert_eq!(chosen, [(TaskId::new(1, 0), Action::Checkpoint)]);
}

#[test]
fn rows_within_their_share_lose_nothing_and_half_a_rescue_is_none() {
    let all = [candidate(1, "owed", 8, 1), candidate(3, "batch", 4, 1)];
    assert!(select_victims(&Resources::new(8, 1, 0), &all, &excess(100), WORTH).is_empty());
    let all = [candidate(3, "batch", 8, 1)];
    assert!(select_victims(&Resources::new(8, 1, 0), &all, &excess(4), WORTH).is_empty());
}
