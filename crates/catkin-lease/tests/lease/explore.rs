//! A breadth-first search over every interleaving of a small world, and a counterexample for each rule left out.

use crate::world::{Flaw, OWNERS, Packet, WORKERS, World};
use catkin_lease::Options;
use catkin_lease::message::Request;
use std::collections::HashSet;
use std::collections::hash_map::DefaultHasher;
use std::hash::{Hash, Hasher};
use std::time::Duration;

const MAX_PACKETS: usize = 2;
const TICK_MS: u64 = 1_000;

/// What may still happen.
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

/// Where a search begins.
#[derive(Clone, Copy, Debug)]
struct Scene {
    /// The first owner's start command is still on its way.
    start_in_flight: bool,
    /// The first owner can't reach the table any more.
    cut: bool,
    /// How long an owner acts without confirmation, in seconds.
    autonomy_s: u64,
    /// The workers that a second owner has claimed, if it took over.
    successor: Option<&'static [usize]>,
}

const ALONE: Scene = Scene { start_in_flight: false, cut: true, autonomy_s: 1, successor: None };

/// The first owner has claimed both workers and starts the tasks on the first.
fn start(flaw: Flaw, tasks: u32, scene: Scene) -> World {
    let mut w = World::new(options(scene.autonomy_s), flaw, tasks);
    w.take_over(0);
    let ready = |w: &World| w.net.iter().any(starts);
    for _ in 0..8 {
        w.poll(0);
        if ready(&w) {
            break;
        }
        while !w.net.is_empty() {
            w.deliver(0, false);
            w.answer(0);
        }
        w.now += 1;
    }
    w.net.retain(starts);
    assert_eq!(w.net.len(), 1, "the prefix starts the tasks");
    if !scene.start_in_flight {
        w.deliver(0, false);
        w.answer(0);
    }
    if let Some(claimed) = scene.successor {
        w.take_over(1);
        w.converse(1, claimed);
    }
    w.cut[0] = scene.cut;
    w.now = w.now / TICK_MS * TICK_MS + TICK_MS;
    w
}

fn starts(p: &Packet) -> bool {
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
        if w.net.len() < MAX_PACKETS {
            steps.push(Step::Poll(i));
        }
        if b.stops > 0 {
            steps.push(Step::Stop(i));
        }
    }
    for k in 0..w.net.len() {
        steps.push(Step::Exchange(k));
        if b.lost_answers > 0 {
            steps.push(Step::LoseAnswer(k));
        }
        if b.duplicates > 0 {
            steps.push(Step::Duplicate(k));
        }
        if w.net.len() == MAX_PACKETS {
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
            w.deliver(k, false);
            w.answer(0);
        }
        Step::LoseAnswer(k) => {
            b.lost_answers -= 1;
            w.deliver(k, false);
            w.returns.clear();
        }
        Step::Duplicate(k) => {
            b.duplicates -= 1;
            w.deliver(k, true);
            w.answer(0);
        }
        Step::Drop(k) => drop(w.net.remove(k)),
        Step::Restart(k) => {
            b.restarts -= 1;
            w.restart(k);
        }
    }
    w.net.sort();
    (w, b)
}

fn key(n: &Node) -> u64 {
    let mut h = DefaultHasher::new();
    n.hash(&mut h);
    h.finish()
}

struct Search {
    states: usize,
    depth: usize,
    violation: Option<(String, Vec<Step>)>,
}

/// Visits every state within `depth` steps, or `limit` states.
fn search(first: Node, depth: usize, limit: usize) -> Search {
    let mut seen = HashSet::from([key(&first)]);
    let mut parents: Vec<(usize, Step)> = vec![(0, Step::Tick)];
    let mut frontier = vec![(0_usize, first)];
    for level in 0..depth {
        let mut next = Vec::new();
        for (id, node) in &frontier {
            for step in enabled(node) {
                let child = apply(node, step);
                if !seen.insert(key(&child)) {
                    continue;
                }
                parents.push((*id, step));
                let child_id = parents.len() - 1;
                if let Some(what) = child.0.violation() {
                    let trace = trace(&parents, child_id);
                    return Search {
                        states: seen.len(),
                        depth: level + 1,
                        violation: Some((what, trace)),
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

const NONE: Budget =
    Budget { ticks: 0, takeovers: 0, restarts: 0, duplicates: 0, stops: 0, lost_answers: 0 };

/// The scene and the faults in which leaving out the rule breaks the promise.
fn setting(flaw: Flaw) -> (Scene, Budget) {
    let unheard = Scene { successor: Some(&[1]), ..ALONE };
    let delayed = Scene { start_in_flight: true, ..unheard };
    match flaw {
        Flaw::ClaimUnconfirmed => {
            let both = Scene { autonomy_s: 4, successor: Some(&[0, 1]), ..ALONE };
            (both, Budget { ticks: 1, restarts: 1, ..NONE })
        }
        Flaw::NoSeq => {
            let scene = Scene { start_in_flight: true, ..ALONE };
            (scene, Budget { ticks: 1, duplicates: 1, stops: 1, ..NONE })
        }
        Flaw::NoEpoch => {
            let both = Scene { start_in_flight: true, successor: Some(&[0, 1]), ..ALONE };
            (both, Budget { ticks: 1, ..NONE })
        }
        Flaw::FreshStamp => (delayed, Budget { ticks: 4, ..NONE }),
        Flaw::ShortSettle => (Scene { autonomy_s: 3, ..unheard }, Budget { ticks: 3, ..NONE }),
        _ => (unheard, Budget { ticks: 4, ..NONE }),
    }
}

const FLAWS: [Flaw; 7] = [
    Flaw::EndlessAutonomy,
    Flaw::FreshStamp,
    Flaw::NoEpoch,
    Flaw::ClaimUnconfirmed,
    Flaw::NoSeq,
    Flaw::UnrecordedStart,
    Flaw::ShortSettle,
];
const DEPTH: usize = 24;
const STATES: usize = 300_000;

#[test]
fn each_rule_left_out_has_a_counterexample() {
    for flaw in FLAWS {
        let (scene, b) = setting(flaw);
        let found = search((start(flaw, 1, scene), b), DEPTH, 4 * STATES);
        let Some((what, steps)) = found.violation else {
            panic!("{flaw:?}: none in {} states, depth {}", found.states, found.depth)
        };
        println!("{flaw:?}: {what} after {} states: {steps:?}", found.states);
    }
}

#[test]
fn no_task_runs_in_two_places_within_the_same_budgets() {
    for flaw in FLAWS {
        let (scene, b) = setting(flaw);
        let found = search((start(Flaw::None, 1, scene), b), DEPTH, STATES);
        println!("as for {flaw:?}: {} states, depth {}", found.states, found.depth);
        assert_eq!(found.violation, None);
    }
}

#[test]
fn no_task_runs_in_two_places_with_all_faults_at_once() {
    let successors: [Option<&'static [usize]>; 4] = [None, Some(&[]), Some(&[1]), Some(&[0, 1])];
    let scenes = [false, true].into_iter().flat_map(|f| successors.map(|s| (f, s)));
    for (tasks, cut) in [(1, false), (1, true), (2, true)] {
        for (start_in_flight, successor) in scenes.clone() {
            let takeovers = u8::from(successor.is_none());
            let b = Budget {
                ticks: 6,
                takeovers,
                restarts: 1,
                duplicates: 1,
                stops: 1,
                lost_answers: 1,
            };
            let scene =
                Scene { start_in_flight, cut, autonomy_s: 1 + 2 * u64::from(cut), successor };
            let found = search((start(Flaw::None, tasks, scene), b), DEPTH, STATES / 8);
            println!("{tasks} tasks, {scene:?}: {} states, depth {}", found.states, found.depth);
            assert_eq!(found.violation, None);
        }
    }
}
