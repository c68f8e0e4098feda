//! Tests of the behaviour that is required of a worker.

use catkin_lease::message::{Command, Ending, Refusal, Reply, Request, Start};
use catkin_lease::worker::Worker;
use catkin_types::{Resources, TaskId};
use std::time::Duration;

const LEASE_LENGTH: Duration = Duration::from_secs(10);
const T: TaskId = TaskId { job: 1, index: 0 };

fn at(s: u64) -> Duration {
    Duration::from_secs(s)
}

fn claimed() -> Worker {
    let mut w = Worker::new(5, LEASE_LENGTH, Resources::new(4, 4, 0));
    let claim = Request::Claim { epoch: 3, incarnation: 5, seq: 1 };
    assert!(matches!(w.handle(at(1), &claim), Reply::Report(_)));
    w
}

fn start(seq: u64, stamp: u64, cpu: u64) -> Request {
    let s = Start { task: T, size: Resources::new(cpu, 1, 0).into(), program: String::new() };
    Request::Command(Command {
        epoch: 3,
        incarnation: 5,
        seq,
        stamp: at(stamp),
        starts: vec![s],
        ..Command::default()
    })
}

fn refusal(r: &Reply) -> Option<Refusal> {
    match r {
        Reply::Refused { why, .. } => Some(*why),
        _ => None,
    }
}

#[test]
fn a_start_with_a_stamp_older_than_a_lease_is_refused() {
    let mut w = claimed();
    assert_eq!(refusal(&w.handle(at(11), &start(2, 1, 1))), Some(Refusal::Stamp));
    assert!(w.tasks().is_empty());
}

#[test]
fn a_lease_ends_one_length_after_the_stamp() {
    let mut w = claimed();
    w.handle(at(9), &start(2, 1, 1));
    w.lapse(at(10));
    assert_eq!(w.tasks().len(), 1);
    w.lapse(at(11));
    assert!(w.tasks().is_empty());
}

#[test]
fn a_claim_extends_no_lease() {
    let mut w = claimed();
    w.handle(at(2), &start(2, 1, 1));
    w.handle(at(10), &Request::Claim { epoch: 4, incarnation: 5, seq: 1 });
    w.lapse(at(11));
    assert!(w.tasks().is_empty());
}

#[test]
fn lower_epochs_and_repeated_numbers_are_refused() {
    let mut w = claimed();
    w.handle(at(2), &start(2, 1, 1));
    assert_eq!(refusal(&w.handle(at(2), &start(2, 1, 1))), Some(Refusal::Seq));
    w.handle(at(3), &Request::Claim { epoch: 4, incarnation: 5, seq: 1 });
    assert_eq!(refusal(&w.handle(at(3), &start(9, 3, 1))), Some(Refusal::Epoch(4)));
}

#[test]
fn a_start_that_does_not_fit_is_declined_and_missing_in_the_list() {
    let mut w = claimed();
    let Reply::Report(r) = w.handle(at(2), &start(2, 1, 5)) else {
        panic!("the worker refused the command")
    };
    assert_eq!(r.running, Some(vec![]));
    assert_eq!(w.declined(), 1);
}

#[test]
fn an_end_is_reported_until_it_is_acknowledged() {
    let mut w = claimed();
    w.handle(at(2), &start(2, 1, 1));
    w.finish(T, Ending::Ok);
    let renew = |seq, acks| {
        Request::Command(Command {
            epoch: 3,
            incarnation: 5,
            seq,
            stamp: at(2),
            acks,
            ..Command::default()
        })
    };
    let ended = |r: Reply| match r {
        Reply::Report(r) => r.ended.len(),
        _ => panic!("the worker refused the command"),
    };
    assert_eq!(ended(w.handle(at(3), &renew(3, vec![]))), 1);
    assert_eq!(ended(w.handle(at(3), &renew(4, vec![T]))), 0);
}
