//! Tests of the division of a limit under lost, late and repeated messages.

use catkin_share::grant::{Divider, Grant, Parts, ShardShare, WHOLE};
use std::collections::BTreeMap;

const SHARDS: [&str; 4] = ["a", "b", "c", "d"];

/// A divider and shards, between which messages are lost, delayed and repeated.
struct World {
    divider: Divider,
    shares: BTreeMap<&'static str, ShardShare>,
    grants: Vec<Grant>,
    acks: Vec<(String, u64)>,
    /// Whether the divider takes a grant for acknowledged when it sends it.
    assumes_delivery: bool,
}

impl World {
    fn new(assumes_delivery: bool) -> Self {
        let shares = SHARDS.map(|s| (s, ShardShare::default())).into();
        Self {
            divider: Divider::default(),
            shares,
            grants: Vec::new(),
            acks: Vec::new(),
            assumes_delivery,
        }
    }

    fn step(&mut self, op: u8, arg: u8) {
        let pick = |n: usize| usize::from(arg) % n.max(1);
        match op % 5 {
            0 => {
                let want =
                    |i: usize| f64::from(arg.rotate_left(2 * u32::try_from(i).unwrap_or(0)) % 4);
                let wanted =
                    SHARDS.iter().enumerate().map(|(i, s)| ((*s).to_owned(), want(i))).collect();
                let grants = self.divider.divide(&wanted);
                if self.assumes_delivery {
                    for t in &grants {
                        self.divider.acknowledge(&t.shard, t.seq);
                    }
                }
                self.grants.extend(grants);
            }
            1 | 2 if !self.grants.is_empty() => {
                let grant = self.grants[pick(self.grants.len())].clone();
                let share = self.shares.get_mut(grant.shard.as_str()).expect("the shard exists");
                let seq = share.apply(&grant);
                self.acks.push((grant.shard, seq));
            }
            3 if !self.acks.is_empty() => {
                let (shard, seq) = self.acks[pick(self.acks.len())].clone();
                self.divider.acknowledge(&shard, seq);
            }
            4 if !self.grants.is_empty() => drop(self.grants.swap_remove(pick(self.grants.len()))),
            _ => {}
        }
    }

    fn total_parts(&self) -> Parts {
        self.shares.values().map(ShardShare::parts).sum()
    }
}

#[test]
fn the_sum_of_parts_is_never_above_the_whole() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|ops| {
        let mut w = World::new(false);
        for (op, arg) in ops {
            w.step(*op, *arg);
            assert!(w.total_parts() <= WHOLE && w.divider.held() <= WHOLE);
        }
    });
}

#[test]
fn a_divider_that_does_not_wait_for_acknowledged_decreases_exceeds_the_whole() {
    let mut w = World::new(true);
    // The first shard gets and applies the whole limit. Then the second gets all of it before the first has received
    // its decrease.
    w.step(0, 0b0000_0001);
    w.step(1, 0);
    w.grants.clear();
    w.step(0, 0b0100_0000);
    w.step(0, 0b0100_0000);
    let second =
        w.grants.iter().find(|t| t.parts > 0).cloned().expect("the divider grants an increase");
    w.shares.get_mut(second.shard.as_str()).expect("the shard exists").apply(&second);
    assert!(w.total_parts() > WHOLE);
}

#[test]
fn a_single_shard_gets_the_whole() {
    let mut d = Divider::default();
    let grants = d.divide(&BTreeMap::from([("a".to_owned(), 1.0)]));
    let mut share = ShardShare::default();
    share.apply(&grants[0]);
    assert_eq!(share.portion_of(12), 12);
}
