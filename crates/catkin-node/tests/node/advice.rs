//! Dispatch of advice requests to daemons.

use catkin_cell::{AdviceRequest, StepRef};
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

/// Returns a dispatcher for eight daemons, this one included.
fn dispatcher() -> Dispatcher {
    let mut dispatcher = Dispatcher::default();
    for port in 1..8 {
        dispatcher.record_heartbeat(SocketAddr::from(([127, 0, 0, 1], port)), false, NOW);
    }
    dispatcher
}

fn count_dispatched(dispatcher: &mut Dispatcher, cost: Duration) -> usize {
    dispatcher.dispatch(NOW, Some).iter().filter(|(a, _)| a.cost == cost).count()
}

#[test]
fn long_requests_use_half_of_the_daemons_while_shorter_ones_wait() {
    let mut dispatcher = dispatcher();
    (0..10).for_each(|job| dispatcher.push(ask(job, LONG), NOW));
    dispatcher.push(ask(10, SHORT), NOW);
    assert_eq!(count_dispatched(&mut dispatcher, LONG), 4);
    assert_eq!(dispatcher.waiting(), 6);
}

#[test]
fn long_requests_alone_leave_two_daemons_for_later_short_requests() {
    let mut dispatcher = dispatcher();
    (0..10).for_each(|job| dispatcher.push(ask(job, LONG), NOW));
    assert_eq!(count_dispatched(&mut dispatcher, LONG), 6);
    dispatcher.push(ask(10, SHORT), NOW);
    assert_eq!(count_dispatched(&mut dispatcher, SHORT), 1);
}

// Late requests were sent in the order of their cost alone: the longest one waited while shorter ones kept coming.
#[test]
fn a_long_late_request_is_sent_though_shorter_ones_keep_coming() {
    let mut dispatcher = Dispatcher::default();
    let late = |job, cost| AdviceRequest { latest_start: Duration::ZERO, ..ask(job, cost) };
    dispatcher.push(late(0, LONG), NOW);
    for round in 1..40 {
        let now = NOW + LONG * round;
        dispatcher.push(late(u64::from(round), LONG / 2), now);
        let sent = dispatcher.dispatch(now, Some);
        if sent.iter().any(|(a, _)| a.step.job == 0) {
            return;
        }
        for (a, by) in sent {
            dispatcher.complete(&a, by, true, now);
        }
    }
    panic!("the request was passed over for {:?}", dispatcher.longest_wait(NOW + LONG * 40));
}
