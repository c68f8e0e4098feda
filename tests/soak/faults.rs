//! Faults from outside: signals, the store, workers, and the links between daemons and the store.

use crate::deployment::Deployment;
use catkin_platform_standin::store::Mode;
use catkin_platform_standin::worker;
use catkin_standin::proxy::Harm;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::Instant;

/// The pause between two faults: they overlap.
const PAUSE_MS: std::ops::Range<u64> = 100..1_200;

/// Injects the faults of a seed.
pub struct Faults<'a> {
    rng: &'a mut StdRng,
    paused: Vec<usize>,
}

impl<'a> Faults<'a> {
    pub fn new(rng: &'a mut StdRng) -> Self {
        Self { rng, paused: Vec::new() }
    }

    fn pick(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    fn seconds(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(300..3_000))
    }

    pub async fn inject(&mut self, d: &mut Deployment, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            self.one(d);
            let pause = Duration::from_millis(self.rng.random_range(PAUSE_MS));
            tokio::time::sleep(pause).await;
        }
    }

    fn one(&mut self, d: &mut Deployment) {
        let node = self.pick(d.nodes.len());
        let hit = self.pick(d.platform.workers.len());
        match self.pick(12) {
            0 => d.nodes[node].kill(),
            1 => d.nodes.iter_mut().for_each(crate::deployment::Node::kill),
            2 | 3 => Self::restart(d),
            4 => self.pause(d, node),
            5 => self.wake(d),
            6 => {
                let late = Mode::DelayWrites(self.seconds());
                let modes = [Mode::Busy, Mode::Hang, Mode::DropResponses, late, Mode::Serve];
                d.platform.store.set_mode(modes[self.pick(modes.len())]);
            }
            7 => d.platform.store.set_mode(Mode::Serve),
            8 => d.platform.store.compact(),
            9 => {
                let delay = Harm::Delay(Duration::from_millis(self.rng.random_range(20..400)));
                let harms = [
                    delay,
                    Harm::NoRequests,
                    Harm::NoAnswers,
                    Harm::Silent,
                    Harm::Reset,
                    Harm::None,
                ];
                d.links[node].set(harms[self.pick(harms.len())]);
            }
            10 => {
                let late = worker::Mode::DelayOrders(self.seconds());
                let modes = [worker::Mode::Hang, late, worker::Mode::Serve];
                d.platform.workers[hit].set_mode(modes[self.pick(modes.len())]);
            }
            _ => d.platform.workers[hit].crash(),
        }
    }

    fn restart(d: &mut Deployment) {
        d.nodes.iter_mut().filter(|n| n.process.is_none()).for_each(|n| n.spawn(false));
    }

    fn pause(&mut self, d: &mut Deployment, node: usize) {
        if let Some(process) = &d.nodes[node].process {
            process.signal("STOP");
            self.paused.push(node);
        }
    }

    fn wake(&mut self, d: &mut Deployment) {
        for node in self.paused.drain(..) {
            if let Some(process) = &d.nodes[node].process {
                process.signal("CONT");
            }
        }
    }

    /// Ends every fault.
    pub fn heal(&mut self, d: &mut Deployment) {
        self.wake(d);
        Self::restart(d);
        d.platform.store.set_mode(Mode::Serve);
        d.links.iter().for_each(|l| l.set(Harm::None));
        d.platform.workers.iter().for_each(|w| w.set_mode(worker::Mode::Serve));
    }
}
