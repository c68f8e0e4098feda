//! The stored form of progress: its size, and rows of and for earlier versions.

use crate::owner::step;
use catkin_cell::action::{StoredJob, Write};
use catkin_cell::job::{MAX_TASKS, Schedule};
use catkin_cell::progress::{CrashCount, Crashes, Failures, Progress, StepProgress};
use catkin_cell::{Cell, Job, Options};
use catkin_types::WorkerId;
use serde::Deserialize;
use std::time::Duration;

/// The largest value of a row of the table service.
const MAX_ROW_BYTES: usize = 65_536;

fn encoded(progress: &Progress) -> String {
    serde_json::to_string(progress).expect("progress can be encoded")
}

fn decoded(text: &str) -> Progress {
    serde_json::from_str(text).expect("progress can be decoded")
}

fn workers(n: u32) -> Vec<WorkerId> {
    (0..n).map(|n| format!("worker-{n:09}")).collect()
}

/// A step whose tasks have by turns ended and failed.
fn half_failed(count: u32) -> StepProgress {
    let failure = |index| Failures { index, times: 1 + index % 2, run: 20 + index % 4 };
    StepProgress {
        done: (0..count).step_by(2).collect(),
        failed: (0..count).skip(1).step_by(2).map(failure).collect(),
        run: 30,
        on: workers(count.min(350)),
        ..StepProgress::default()
    }
}

/// The progress of a job that was accepted became larger than a row can be.
#[test]
fn progress_of_thousands_of_tasks_of_which_half_failed_fits_a_row() {
    for (steps, tasks) in [(1, 5_000), (50, 100), (500, 1)] {
        let steps = vec![half_failed(tasks); steps];
        let len = encoded(&Progress { steps }).len();
        assert!(len <= MAX_ROW_BYTES, "{len} bytes with steps of {tasks} tasks");
    }
}

#[test]
fn progress_is_the_same_after_it_was_stored() {
    let complete = StepProgress { complete: true, ..StepProgress::default() };
    let stop_gap = StepProgress { run: 3, on: workers(2), ..StepProgress::default() };
    let steps = vec![complete.clone(), complete, half_failed(9), StepProgress::default(), stop_gap];
    let progress = Progress { steps };
    assert_eq!(decoded(&encoded(&progress)), progress);
    assert_eq!(
        encoded(&Progress { steps: progress.steps[..3].to_vec() }),
        "{\"steps\":[2,{\"done\":\"0,2,4,6,8\",\"failed\":[[2,21,\"1,5\"],[2,23,\"3,7\"]],\"run\":30,\"on\":\"0-8\"}],\
         \"workers\":[\"worker-000000000\",\"worker-000000001\",\"worker-000000002\",\"worker-000000003\",\
         \"worker-000000004\",\"worker-000000005\",\"worker-000000006\",\"worker-000000007\",\"worker-000000008\"]}"
    );
}

#[test]
fn rows_of_earlier_versions_can_be_read() {
    let row = r#"{"steps":[{"done":[0,1]},{"done":[1],"failed":[{"index":0,"times":2,"run":5}],"run":6,"on":["a","b"]},{}]}"#;
    let failed = vec![Failures { index: 0, times: 2, run: 5 }];
    let on = vec!["a".to_owned(), "b".to_owned()];
    let first = StepProgress { done: vec![0, 1], ..StepProgress::default() };
    let second = StepProgress { done: vec![1], failed, run: 6, on, ..StepProgress::default() };
    assert_eq!(decoded(row).steps, [first, second, StepProgress::default()]);
    assert_eq!(decoded("{}"), Progress::default());
}

#[test]
fn a_row_that_can_not_be_understood_is_not_read() {
    for row in [
        r#"{"steps":[{"done":"3-1"}]}"#,
        r#"{"steps":[{"done":"0-4294967295"}]}"#,
        r#"{"steps":[4294967295]}"#,
        r#"{"steps":[{"on":"0"}]}"#,
        r#"{"steps":[{"unknown":1}]}"#,
        r#"{"unknown":1}"#,
    ] {
        assert!(serde_json::from_str::<Progress>(row).is_err(), "{row}");
    }
}

#[test]
fn a_job_whose_progress_might_not_fit_a_row_is_not_valid() {
    let job = |steps: usize, count| Job { steps: vec![step(count, 1, 1); steps], ..Job::default() };
    let tasks = u32::try_from(MAX_TASKS).expect("the bound is small");
    for (steps, count) in [(1, tasks), (50, 100), (500, 1)] {
        assert_eq!(job(steps, count).validate(), Ok(()), "{steps} steps of {count} tasks");
    }
    assert!(job(700, 1).validate().is_err());
    assert!(job(2, tasks).validate().is_err());
}

/// The progress of a job with many occurrences grew with each of them.
#[test]
fn occurrences_wait_until_the_row_has_room_for_their_progress() {
    let mut cell = Cell::new(Options::default(), 1, Duration::ZERO);
    let schedule = Some(Schedule { first_ms: 1, interval_ms: 1, count: 1_000 });
    let job = Job { steps: vec![step(100, 1, 1)], schedule, ..Job::default() };
    cell.add(1, StoredJob { job, ..StoredJob::default() }, Duration::ZERO, Duration::ZERO);
    cell.begin_occurrences(1_000);
    let open = cell.occurrences(1).expect("the job is known");
    assert!((1..1_000).contains(&open), "{open}");
    let steps = vec![half_failed(100); open];
    assert!(encoded(&Progress { steps }).len() <= MAX_ROW_BYTES);
}

/// Progress as earlier versions read it.
#[derive(Default, Deserialize)]
#[serde(default)]
struct EarlierProgress {
    steps: Vec<EarlierStep>,
}

#[derive(Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
struct EarlierStep {
    done: Vec<u32>,
    failed: Vec<Failures>,
    run: u32,
    on: Vec<WorkerId>,
}

// A daemon of an earlier version that took over could not read the rows, and started tasks again that had ended.
#[test]
fn earlier_versions_can_read_the_progress_of_jobs_that_are_not_large() {
    let mut cell = Cell::new(Options::default(), 1, Duration::ZERO);
    let job = Job { steps: vec![step(2, 1, 1), step(3, 1, 1)], ..Job::default() };
    let ended = StepProgress { done: vec![0, 1], ..StepProgress::default() };
    let failed = vec![Failures { index: 0, times: 1, run: 2 }];
    let open =
        StepProgress { done: vec![2], failed, run: 2, on: workers(1), ..StepProgress::default() };
    let progress = Progress { steps: vec![ended, open] };
    cell.add(1, StoredJob { job, progress }, Duration::ZERO, Duration::ZERO);
    // The worker is gone, which is written once the task can't run there any more.
    cell.tick(Duration::from_mins(1), &mut Vec::new());
    let writes = cell.take_writes(|_| true, usize::MAX);
    let [Write::Progress(1, written)] = writes.as_slice() else { panic!("{writes:?}") };
    let read: EarlierProgress =
        serde_json::from_str(&encoded(written)).expect("the row can be read");
    let failed = vec![Failures { index: 0, times: 1, run: 2 }];
    let open = EarlierStep { done: vec![2], failed, run: 2, ..EarlierStep::default() };
    assert_eq!(read.steps, [EarlierStep { done: vec![0, 1], ..EarlierStep::default() }, open]);
    assert_eq!(decoded(&encoded(written)).steps[1], written.steps[1]);
}

/// The failures of a step as the version before the count of crashes reads them.
#[derive(Debug, PartialEq, Deserialize)]
#[serde(untagged)]
enum EarlierFailures {
    Group(u32, u32, String),
    Task(Failures),
}

/// A step in which two tasks have failed, and workers crashed under every task.
fn crashed(count: u32) -> StepProgress {
    let crashes = |index| Crashes {
        index,
        count: CrashCount { blamed: index % 4, beside: (index / 4 + 1) % 4 + 1 },
    };
    StepProgress { crashed: (0..count).map(crashes).collect(), ..half_failed(count) }
}

#[test]
fn crashes_are_the_same_after_they_were_stored() {
    for steps in [vec![crashed(6)], vec![crashed(5), StepProgress::default()]] {
        let progress = Progress { steps };
        assert_eq!(decoded(&encoded(&progress)), progress);
    }
}

// Earlier versions hold jobs whose rows they can't read.
#[test]
fn earlier_versions_read_crashes_as_failures_of_no_task() {
    for count in [3, 2_000] {
        let step = crashed(count);
        let row = encoded(&Progress { steps: vec![step.clone()] });
        let row: serde_json::Value = serde_json::from_str(&row).expect("the row is valid");
        let failed = row["steps"][0]["failed"].clone();
        let read: Vec<EarlierFailures> = serde_json::from_value(failed).expect("it can be read");
        let none = EarlierFailures::Task(Failures { index: u32::MAX, ..Failures::default() });
        let crashes = read.iter().filter(|f| **f == none).count();
        assert!(crashes > 0, "{read:?}");
        let failures = read.iter().filter(|f| **f != none).count();
        let plain = half_failed(count).failed.len();
        assert!(failures == plain || failures <= 8, "{failures} of {plain}");
    }
}

#[test]
fn crashes_under_thousands_of_tasks_fit_a_row() {
    for (steps, tasks) in [(1, 5_000), (50, 100), (500, 1)] {
        let steps = vec![crashed(tasks); steps];
        let text = encoded(&Progress { steps });
        assert!(text.len() <= MAX_ROW_BYTES, "{} bytes with steps of {tasks}", text.len());
        let stored = decoded(&text).steps.into_iter().flat_map(|s| s.crashed).count();
        assert!(stored > 0, "no crash is stored with steps of {tasks}");
    }
}
