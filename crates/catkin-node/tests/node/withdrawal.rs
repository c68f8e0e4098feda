//! Writes that accept a job, beside its cancellation, in any order: gates and an owner send them, answers are lost, parties
//! end, and the table service carries calls out late.

use catkin_cell::{Job, State};
use catkin_node::gate::outcome::{WriteOutcome, outcome_of_conflict};
use catkin_node::table::record::{Cancellation, JobRecord};
use catkin_node::table::{
    ENDED, End, Head, JOBS, accept_changes, batch_changes, decode, head_key, job_key, part_of,
};
use catkin_platform::store::{Key, Row, Transaction};
use catkin_types::JobId;
use std::collections::BTreeMap;

const ID: JobId = 8;
const NOW_MS: u64 = 1_000;

/// The rows of a table service, by key, each with its version; and calls that it has not carried out yet.
#[derive(Default)]
struct Table {
    rows: BTreeMap<Key, (Vec<u8>, u64)>,
    version: u64,
    open_calls: Vec<Transaction>,
}

impl Table {
    fn version_of(&self, key: &Key) -> u64 {
        self.rows.get(key).map_or(0, |(_, version)| *version)
    }

    fn row(&self, key: &Key) -> Row {
        let value = self.rows.get(key).map(|(value, _)| value.clone());
        Row { key: key.key.clone(), part: String::new(), version: self.version_of(key), value }
    }

    /// Carries a call out. Returns the rows that it expects in certain versions if one of them has another.
    fn commit(&mut self, changes: Transaction) -> Result<(), Vec<Row>> {
        let holds = |(key, version): &(Key, u64)| self.version_of(key) == *version;
        if !changes.expected_versions.iter().all(holds) {
            return Err(changes.expected_versions.iter().map(|(key, _)| self.row(key)).collect());
        }
        self.version += 1;
        for (key, value) in changes.put {
            self.rows.insert(key, (value, self.version));
        }
        for key in changes.remove {
            self.rows.remove(&key);
        }
        Ok(())
    }

    fn record(&self) -> JobRecord {
        let row = self.row(&job_key(JOBS, ID));
        if let Some(job) = row.value.as_ref().and_then(|_| decode(&row)) {
            return JobRecord::Open { job, version: row.version };
        }
        let end = self.row(&job_key(ENDED, ID));
        let end = end.value.as_ref().and_then(|_| decode::<End>(&end));
        end.map_or(JobRecord::Missing, JobRecord::from)
    }

    /// Whether the tasks of the job may start.
    fn may_run(&self) -> bool {
        matches!(self.record(), JobRecord::Open { job, .. } if !job.cancelled)
    }
}

/// What becomes of a call, by a random number.
fn send(table: &mut Table, fate: u8, changes: Transaction) -> Option<Result<(), Vec<Row>>> {
    match fate % 4 {
        0 | 1 => Some(table.commit(changes)),
        2 => {
            let _ = table.commit(changes);
            None
        }
        _ => {
            table.open_calls.push(changes);
            None
        }
    }
}

fn batch(table: &Table) -> Transaction {
    let key = head_key(part_of(ID));
    let head = Head { epoch: 1, writes: table.version + 1 };
    let mut changes = batch_changes(part_of(ID), table.version_of(&key), head, &[], NOW_MS);
    let accept = accept_changes(ID, &Job::default());
    changes.expected_versions.extend(accept.expected_versions);
    changes.put.extend(accept.put);
    changes
}

/// Plays the events. Each is a kind and the fate of the call that it sends. Returns what went wrong.
fn play(events: &[(u8, u8)]) -> Option<&'static str> {
    let mut table = Table::default();
    // A cancellation between its read and its write.
    let mut reads: Vec<JobRecord> = Vec::new();
    let mut acknowledged = false;
    for (kind, fate) in events {
        match kind % 6 {
            0 => {
                let changes = accept_changes(ID, &Job::default());
                let answer = send(&mut table, *fate, changes);
                let accepted = match answer {
                    Some(Ok(())) => true,
                    Some(Err(rows)) => outcome_of_conflict(&rows, true) == WriteOutcome::Durable,
                    None => false,
                };
                if accepted && acknowledged && table.record() == JobRecord::Withdrawn {
                    return Some("a withdrawn job is answered as accepted");
                }
            }
            1 => {
                let changes = batch(&table);
                let _ = send(&mut table, *fate, changes);
            }
            2 => reads.push(table.record()),
            3 => {
                let Some(record) = reads.pop() else { continue };
                match record.cancellation(ID, NOW_MS) {
                    Cancellation::Marked | Cancellation::Ended | Cancellation::Withdrawn => {
                        acknowledged = true;
                    }
                    Cancellation::Mark(changes) | Cancellation::Withdraw(changes) => {
                        acknowledged |= send(&mut table, *fate, changes) == Some(Ok(()));
                    }
                }
            }
            4 if !table.open_calls.is_empty() => {
                let n = usize::from(*fate) % table.open_calls.len();
                let changes = table.open_calls.swap_remove(n);
                let _ = table.commit(changes);
            }
            _ => {
                // The owner ends a cancelled job.
                if matches!(table.record(), JobRecord::Open { job, .. } if job.cancelled) {
                    let key = head_key(part_of(ID));
                    let head = Head { epoch: 1, writes: table.version + 1 };
                    let writes = [catkin_cell::Write::Ended(ID, State::Cancelled)];
                    let version = table.version_of(&key);
                    let changes = batch_changes(part_of(ID), version, head, &writes, NOW_MS);
                    let _ = send(&mut table, *fate, changes);
                }
            }
        }
        if acknowledged && table.may_run() {
            return Some("a job may run whose cancellation was acknowledged");
        }
    }
    None
}

/// A job ran whose client had been told on cancelling that it does not exist (UNASKED).
#[test]
fn a_job_whose_cancelling_was_answered_never_runs_whatever_writes_were_open() {
    bolero::check!()
        .with_generator(bolero::generator::produce::<Vec<(u8, u8)>>().with().len(0_usize..40))
        .for_each(|events: &Vec<(u8, u8)>| assert_eq!(play(events), None, "{events:?}"));
}

#[test]
fn a_withdrawn_job_is_reported_as_never_stored_and_an_ended_one_as_known() {
    let mut table = Table::default();
    let Cancellation::Withdraw(changes) = table.record().cancellation(ID, NOW_MS) else {
        panic!("a job without rows is withdrawn");
    };
    assert_eq!(table.commit(changes), Ok(()));
    assert_eq!(table.record(), JobRecord::Withdrawn);
    let rows = table.commit(accept_changes(ID, &Job::default())).expect_err("it is not accepted");
    assert_eq!(outcome_of_conflict(&rows, true), WriteOutcome::NoSuchJob);
    assert_eq!(outcome_of_conflict(&rows, false), WriteOutcome::NoSuchJob);
}

/// Rows of ends that earlier versions wrote lack the field, and earlier versions ignore it.
#[test]
fn the_end_of_an_accepted_job_is_written_as_by_earlier_versions() {
    let end = End { state: State::Cancelled, at_ms: 7, withdrawn: false };
    let text = serde_json::to_string(&end).expect("it can be written");
    assert_eq!(text, r#"{"state":"Cancelled","at_ms":7}"#);
    assert_eq!(serde_json::from_str::<End>(&text).expect("it can be read"), end);
}
