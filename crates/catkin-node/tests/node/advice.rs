//! Which daemon asks the adviser what.

use catkin_cell::{Ask, StepRef};
use catkin_node::advice::Dispatcher;
use std::net::SocketAddr;
use std::time::Duration;

const NOW: Duration = Duration::from_secs(10);
const LONG: Duration = Duration::from_millis(900);
const SHORT: Duration = Duration::from_millis(20);

fn ask(job: u64, cost: Duration) -> AdviceRequest {
    let step = StepRef { job, occurrence: 0, step: 0 };
    AdviceRequest {
        step,
        workers: vec!["w".into()],
        cost,
        latest_start: NOW + Duration::from_secs(job),
    }
}

/// Eight daemons, this one among them.
fn askers() -> Dispatcher {
    let mut askers = Dispatcher::default();
    for port in 1..8 {
        askers.record_heartbeat(SocketAddr::from(([127, 0, 0, 1], port)), false, NOW);
    }
    askers
}

fn handed(askers: &mut Dispatcher, cost: Duration) -> usize {
    askers.dispatch(NOW).iter().filter(|(a, _)| a.cost == cost).count()
}

#[test]
fn long_questions_take_half_of_the_daemons_while_shorter_ones_wait() {
    let mut askers = askers();
    (0..10).for_each(|job| askers.push(ask(job, LONG)));
    askers.push(ask(10, SHORT));
    assert_eq!(handed(&mut askers, LONG), 4);
    assert_eq!(askers.waiting(), 6);
}

#[test]
fn long_questions_alone_leave_two_daemons_for_short_ones_to_come() {
    let mut askers = askers();
    (0..10).for_each(|job| askers.push(ask(job, LONG)));
    assert_eq!(handed(&mut askers, LONG), 6);
    askers.push(ask(10, SHORT));
    assert_eq!(handed(&mut askers, SHORT), 1);
}
