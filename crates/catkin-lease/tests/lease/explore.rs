//! A breadth-first search over every interleaving of a small world. With any one protocol rule removed it has to find a
//! counterexample, and none with all rules in place.

use crate::world::{Flaw, OWNERS, Packet, WORKERS, World};
use catkin_lease::Options;
use catkin_lease::message::Request;
use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

const MAX_PACKETS: usize = 2;
const TICK_MS: u64 = 1_000;

/// How many times each kind of event may still happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Budget {
    ticks: u8,
    takeovers: u8,
    restarts: u8,
    duplicates: u8,
    stops: u8,
    lost_answers: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Step {
    Tick,
    TakeOver(usize),
    Poll(usize),
    Stop(usize),
    Exchange(usize),
    LoseAnswer(usize),
    Duplicate(usize),
    Drop(usize),
    Restart(usize),
}

type Node = (World, Budget);

fn options(autonomy_s: u64) -> Options {
    let s = Duration::from_secs;
    Options {
        length: s(3),
        autonomy: s(autonomy_s),
        drift_ppm: 0,
        renew_interval: s(1),
        busy_interval: s(1),
        reply_timeout: s(1),
    }
}

/// The situation in which a search begins.
#[derive(Clone, Copy, Debug)]
struct Scenario {
    /// The first owner's start command has not arrived yet.
    start_in_flight: bool,
    /// The first owner can no longer reach the table.
    partitioned: bool,
    /// How long an owner may act without confirmation, in seconds.
    autonomy_s: u64,
    /// The workers that the second owner has claimed, if it has taken over.
    successor: Option<&'static [usize]>,
}

const SINGLE_OWNER: Scenario =
    Scenario { start_in_flight: false, partitioned: true, autonomy_s: 1, successor: None };

/// Returns a world in which the first owner has claimed both workers and has started the tasks on the first one.
fn initial_world(flaw: Flaw, tasks: u32, scenario: Scenario) -> World {
    let mut w = World::new(options(scenario.autonomy_s), flaw, tasks);
    w.take_over(0);
    let ready = |w: &World| w.requests.iter().any(starts_tasks);
    for _ in 0..8 {
        w.poll(0);
        if ready(&w) {
            break;
        }
        while !w.requests.is_empty() {
            w.deliver_request(0, false);
            w.deliver_reply(0);
        }
        w.now += 1;
    }
    w.requests.retain(starts_tasks);
    assert_eq!(w.requests.len(), 1, "the first owner sends one command that starts the tasks");
    if !scenario.start_in_flight {
        w.deliver_request(0, false);
        w.deliver_reply(0);
    }
    if let Some(claimed) = scenario.successor {
        w.take_over(1);
        w.exchange(1, claimed);
    }
    w.partitioned[0] = scenario.partitioned;
    w.now = w.now / TICK_MS * TICK_MS + TICK_MS;
    w
}

fn starts_tasks(p: &Packet) -> bool {
    matches!(&p.req, Request::Command(c) if !c.starts.is_empty())
}

fn enabled(n: &Node) -> Vec<Step> {
    let (w, b) = n;
    let mut steps = Vec::new();
    if b.ticks > 0 {
        steps.push(Step::Tick);
    }
    for i in 0..OWNERS {
        if w.owners[i].is_none() {
            if b.takeovers > 0 {
                steps.push(Step::TakeOver(i));
            }
            continue;
        }
        if w.requests.len() < MAX_PACKETS {
            steps.push(Step::Poll(i));
        }
        if b.stops > 0 {
            steps.push(Step::Stop(i));
        }
    }
    for k in 0..w.requests.len() {
        steps.push(Step::Exchange(k));
        if b.lost_answers > 0 {
            steps.push(Step::LoseAnswer(k));
        }
        if b.duplicates > 0 {
            steps.push(Step::Duplicate(k));
        }
        if w.requests.len() == MAX_PACKETS {
            steps.push(Step::Drop(k));
        }
    }
    if b.restarts > 0 {
        steps.extend((0..WORKERS).map(Step::Restart));
    }
    steps
}

fn apply(n: &Node, step: Step) -> Node {
    let (mut w, mut b) = n.clone();
    match step {
        Step::Tick => {
            b.ticks -= 1;
            w.advance(TICK_MS);
        }
        Step::TakeOver(i) => {
            b.takeovers -= 1;
            w.take_over(i);
        }
        Step::Poll(i) => w.poll(i),
        Step::Stop(i) => {
            b.stops -= 1;
            w.stop_all(i);
        }
        Step::Exchange(k) => {
            w.deliver_request(k, false);
            w.deliver_reply(0);
        }
        Step::LoseAnswer(k) => {
            b.lost_answers -= 1;
            w.deliver_request(k, false);
            w.replies.clear();
        }
        Step::Duplicate(k) => {
            b.duplicates -= 1;
            w.deliver_request(k, true);
            w.deliver_reply(0);
        }
        Step::Drop(k) => drop(w.requests.remove(k)),
        Step::Restart(k) => {
            b.restarts -= 1;
            w.restart(k);
        }
    }
    w.requests.sort();
    (w, b)
}

fn state_hash(n: &Node) -> u64 {
    let mut h = DefaultHasher::new();
    n.hash(&mut h);
    h.finish()
}

struct Search {
    states: usize,
    depth: usize,
    violation: Option<(String, Vec<Step>)>,
}

/// Visits every state within `depth` steps in breadth-first order, up to about `limit` states.
fn search(first: Node, depth: usize, limit: usize) -> Search {
    let mut seen = HashSet::from([state_hash(&first)]);
    let mut parents: Vec<(usize, Step)> = vec![(0, Step::Tick)];
    let mut frontier = vec![(0_usize, first)];
    for level in 0..depth {
        let mut next = Vec::new();
        for (id, node) in &frontier {
            for step in enabled(node) {
                let child = apply(node, step);
                if !seen.insert(state_hash(&child)) {
                    continue;
                }
                parents.push((*id, step));
                let child_id = parents.len() - 1;
                if let Some(message) = child.0.violation() {
                    let trace = trace(&parents, child_id);
                    return Search {
                        states: seen.len(),
                        depth: level + 1,
                        violation: Some((message, trace)),
                    };
                }
                next.push((child_id, child));
            }
            if seen.len() >= limit {
                return Search { states: seen.len(), depth: level, violation: None };
            }
        }
        frontier = next;
    }
    Search { states: seen.len(), depth, violation: None }
}

fn trace(parents: &[(usize, Step)], mut id: usize) -> Vec<Step> {
    let mut steps = Vec::new();
    while id != 0 {
        steps.push(parents[id].1);
        id = parents[id].0;
    }
    steps.reverse();
    steps
}

const NO_FAULTS: Budget =
    Budget { ticks: 0, takeovers: 0, restarts: 0, duplicates: 0, stops: 0, lost_answers: 0 };

/// Returns the scenario and the faults in which a violation occurs without the rule that `flaw` removes.
fn counterexample_setup(flaw: Flaw) -> (Scenario, Budget) {
    let partly_claimed = Scenario { successor: Some(&[1]), ..SINGLE_OWNER };
    let delayed = Scenario { start_in_flight: true, ..partly_claimed };
    match flaw {
        Flaw::ClaimUnconfirmed => {
            let fully_claimed =
                Scenario { autonomy_s: 4, successor: Some(&[0, 1]), ..SINGLE_OWNER };
            (fully_claimed, Budget { ticks: 1, restarts: 1, ..NO_FAULTS })
        }
        Flaw::NoSeqCheck => {
            let scenario = Scenario { start_in_flight: true, ..SINGLE_OWNER };
            (scenario, Budget { ticks: 1, duplicates: 1, stops: 1, ..NO_FAULTS })
        }
        Flaw::NoEpochCheck => {
            let fully_claimed =
                Scenario { start_in_flight: true, successor: Some(&[0, 1]), ..SINGLE_OWNER };
            (fully_claimed, Budget { ticks: 1, ..NO_FAULTS })
        }
        Flaw::NoStampCheck => (delayed, Budget { ticks: 4, ..NO_FAULTS }),
        Flaw::ShortSettle => {
            (Scenario { autonomy_s: 3, ..partly_claimed }, Budget { ticks: 3, ..NO_FAULTS })
        }
        _ => (partly_claimed, Budget { ticks: 4, ..NO_FAULTS }),
    }
}

const FLAWS: [Flaw; 7] = [
    Flaw::UnboundedAutonomy,
    Flaw::NoStampCheck,
    Flaw::NoEpochCheck,
    Flaw::ClaimUnconfirmed,
    Flaw::NoSeqCheck,
    Flaw::NoSettling,
    Flaw::ShortSettle,
];
const MAX_DEPTH: usize = 24;
const MAX_STATES: usize = 300_000;

#[test]
fn each_removed_rule_has_a_counterexample() {
    for flaw in FLAWS {
        let (scenario, b) = counterexample_setup(flaw);
        let found = search((initial_world(flaw, 1, scenario), b), MAX_DEPTH, 4 * MAX_STATES);
        let Some((message, steps)) = found.violation else {
            panic!("{flaw:?}: no violation in {} states, depth {}", found.states, found.depth)
        };
        println!("{flaw:?}: {message} after {} states: {steps:?}", found.states);
    }
}

#[test]
fn no_task_runs_in_two_places_in_the_setups_of_the_counterexamples() {
    for flaw in FLAWS {
        let (scenario, b) = counterexample_setup(flaw);
        let found = search((initial_world(Flaw::None, 1, scenario), b), MAX_DEPTH, MAX_STATES);
        println!("as for {flaw:?}: {} states, depth {}", found.states, found.depth);
        assert_eq!(found.violation, None);
    }
}

#[test]
fn no_task_runs_in_two_places_with_all_faults_at_once() {
    let successors: [Option<&'static [usize]>; 4] = [None, Some(&[]), Some(&[1]), Some(&[0, 1])];
    let scenarios = [false, true].into_iter().flat_map(|f| successors.map(|s| (f, s)));
    for (tasks, partitioned) in [(1, false), (1, true), (2, true)] {
        for (start_in_flight, successor) in scenarios.clone() {
            let takeovers = u8::from(successor.is_none());
            let b = Budget {
                ticks: 6,
                takeovers,
                restarts: 1,
                duplicates: 1,
                stops: 1,
                lost_answers: 1,
            };
            let scenario = Scenario {
                start_in_flight,
                partitioned,
                autonomy_s: 1 + 2 * u64::from(partitioned),
                successor,
            };
            let found =
                search((initial_world(Flaw::None, tasks, scenario), b), MAX_DEPTH, MAX_STATES / 8);
            println!("{tasks} tasks, {scenario:?}: {} states, depth {}", found.states, found.depth);
            assert_eq!(found.violation, None);
        }
    }
}
