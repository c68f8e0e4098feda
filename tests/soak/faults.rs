//! Fault injection: signals to daemons, and faults of the store, the workers, and the links from daemons to the store.

use crate::deployment::Deployment;
use catkin_platform_standin::store::Mode;
use catkin_platform_standin::worker;
use catkin_standin::proxy::ConnectionFault;
use rand::RngExt;
use rand::rngs::StdRng;
use std::time::Duration;
use tokio::time::Instant;

/// Range of the pause between two faults. A fault lasts until a later step ends it, so faults overlap.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 100..1_200;

/// Injects the random faults of a seed.
pub struct FaultInjector<'a> {
    rng: &'a mut StdRng,
    /// Daemons that were sent `STOP`.
    paused: Vec<usize>,
}

impl<'a> FaultInjector<'a> {
    pub fn new(rng: &'a mut StdRng) -> Self {
        Self { rng, paused: Vec::new() }
    }

    fn random_index(&mut self, n: usize) -> usize {
        self.rng.random_range(0..n)
    }

    fn random_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.random_range(300..3_000))
    }

    /// Injects one fault after another for `duration`.
    pub async fn inject_for(&mut self, d: &mut Deployment, duration: Duration) {
        let deadline = Instant::now() + duration;
        while Instant::now() < deadline {
            self.inject_one(d);
            let pause = Duration::from_millis(self.rng.random_range(FAULT_INTERVAL_MS));
            tokio::time::sleep(pause).await;
        }
    }

    fn inject_one(&mut self, d: &mut Deployment) {
        let node_index = self.random_index(d.nodes.len());
        let worker_index = self.random_index(d.platform.workers.len());
        match self.random_index(12) {
            0 => d.nodes[node_index].kill(),
            1 => d.nodes.iter_mut().for_each(crate::deployment::Node::kill),
            2 | 3 => Self::restart_killed(d),
            4 => self.pause(d, node_index),
            5 => self.resume_paused(d),
            6 => {
                let delayed = Mode::DelayWrites(self.random_delay());
                let modes = [Mode::Busy, Mode::Hang, Mode::DropResponses, delayed, Mode::Serve];
                d.platform.store.set_mode(modes[self.random_index(modes.len())]);
            }
            7 => d.platform.store.set_mode(Mode::Serve),
            8 => d.platform.store.compact(),
            9 => {
                let delay =
                    ConnectionFault::Delay(Duration::from_millis(self.rng.random_range(20..400)));
                let link_faults = [
                    delay,
                    ConnectionFault::NoRequests,
                    ConnectionFault::NoResponses,
                    ConnectionFault::NoTraffic,
                    ConnectionFault::Reset,
                    ConnectionFault::None,
                ];
                d.links[node_index].set_fault(link_faults[self.random_index(link_faults.len())]);
            }
            10 => {
                let delayed = worker::Mode::DelayOrders(self.random_delay());
                let modes = [worker::Mode::Hang, delayed, worker::Mode::Serve];
                d.platform.workers[worker_index].set_mode(modes[self.random_index(modes.len())]);
            }
            _ => d.platform.workers[worker_index].crash(),
        }
    }

    fn restart_killed(d: &mut Deployment) {
        d.nodes.iter_mut().filter(|n| n.process.is_none()).for_each(|n| n.spawn(false));
    }

    fn pause(&mut self, d: &mut Deployment, node_index: usize) {
        if let Some(process) = &d.nodes[node_index].process {
            process.signal("STOP");
            self.paused.push(node_index);
        }
    }

    fn resume_paused(&mut self, d: &mut Deployment) {
        for node_index in self.paused.drain(..) {
            if let Some(process) = &d.nodes[node_index].process {
                process.signal("CONT");
            }
        }
    }

    /// Ends every fault: resumes and restarts daemons, and clears the faults of the platform and the links.
    pub fn clear_all(&mut self, d: &mut Deployment) {
        self.resume_paused(d);
        Self::restart_killed(d);
        d.platform.store.set_mode(Mode::Serve);
        d.links.iter().for_each(|l| l.set_fault(ConnectionFault::None));
        d.platform.workers.iter().for_each(|w| w.set_mode(worker::Mode::Serve));
    }
}
