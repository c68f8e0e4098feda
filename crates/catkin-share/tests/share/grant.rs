//! Parts of a limit under lost, late and repeated messages.

use catkin_share::grant::{Divider, Grant, Parts, ShardShare, WHOLE};
use std::collections::BTreeMap;

const SHARDS: [&str; 4] = ["a", "b", "c", "d"];

/// A divider and shards between which messages are lost, delayed and repeated, and which fail over.
struct World {
    divider: Divider,
    shares: BTreeMap<&'static str, ShardShare>,
    told: Vec<Grant>,
    acks: Vec<(String, u64)>,
    /// Whether the divider counts a message as taken when it sends it.
    hasty: bool,
}

impl World {
    fn new(hasty: bool) -> Self {
        let shares = SHARDS.map(|s| (s, ShardShare::default())).into();
        Self { divider: Divider::default(), shares, told: Vec::new(), acks: Vec::new(), hasty }
    }

    fn step(&mut self, op: u8, arg: u8) {
        let pick = |n: usize| usize::from(arg) % n.max(1);
        match op % 5 {
            0 => {
                let want =
                    |i: usize| f64::from(arg.rotate_left(2 * u32::try_from(i).unwrap_or(0)) % 4);
                let wanted =
                    SHARDS.iter().enumerate().map(|(i, s)| ((*s).to_owned(), want(i))).collect();
                let told = self.divider.divide(&wanted);
                if self.hasty {
                    for t in &told {
                        self.divider.acknowledge(&t.shard, t.seq);
                    }
                }
                self.told.extend(told);
            }
            1 | 2 if !self.told.is_empty() => {
                let told = self.told[pick(self.told.len())].clone();
                let share = self.shares.get_mut(told.shard.as_str()).expect("a shard");
                let seq = share.apply(&told);
                self.acks.push((told.shard, seq));
            }
            3 if !self.acks.is_empty() => {
                let (shard, seq) = self.acks[pick(self.acks.len())].clone();
                self.divider.acknowledge(&shard, seq);
            }
            4 if !self.told.is_empty() => drop(self.told.swap_remove(pick(self.told.len()))),
            _ => {}
        }
    }

    fn believed(&self) -> Parts {
        self.shares.values().map(ShardShare::parts).sum()
    }
}

#[test]
fn the_sum_of_parts_is_never_above_the_whole() {
    bolero::check!().with_type::<Vec<(u8, u8)>>().for_each(|ops| {
        let mut w = World::new(false);
        for (op, arg) in ops {
            w.step(*op, *arg);
            assert!(w.believed() <= WHOLE && w.divider.held() <= WHOLE);
        }
    });
}

#[test]
fn a_divider_that_does_not_wait_for_decreases_passes_the_whole() {
    let mut w = World::new(true);
    // All to the first, which takes it; then all to the second, while the first has not heard of its decrease.
    w.step(0, 0b0000_0001);
    w.step(1, 0);
    w.told.clear();
    w.step(0, 0b0100_0000);
    w.step(0, 0b0100_0000);
    let second = w.told.iter().find(|t| t.parts > 0).cloned().expect("an increase");
    w.shares.get_mut(second.shard.as_str()).expect("a shard").apply(&second);
    assert!(w.believed() > WHOLE);
}

#[test]
fn a_lone_shard_gets_the_whole() {
    let mut d = Divider::default();
    let told = d.divide(&BTreeMap::from([("a".to_owned(), 1.0)]));
    let mut share = ShardShare::default();
    share.apply(&told[0]);
    assert_eq!(share.portion_of(12), 12);
}
