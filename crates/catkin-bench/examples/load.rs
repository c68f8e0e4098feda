//! Prints how the jobs of each class are served under a load that passes the capacity for a while, without and with a
//! takeover. The argument is the number of workers.

use catkin_bench::load::{Options, Outcome, overload, play};
use std::time::Duration;

/// The seeds.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
/// When the owner is lost.
const TAKEOVER: Duration = Duration::from_secs(16);

fn main() {
    let workers = std::env::args().nth(1).and_then(|n| n.parse().ok());
    for takeovers in [vec![], vec![TAKEOVER]] {
        let count = takeovers.len();
        let options = |seed| {
            let opt = overload(seed);
            Options { workers: workers.unwrap_or(opt.workers), takeovers: takeovers.clone(), ..opt }
        };
        let outcomes = play_all(SEEDS.map(options));
        for (seed, o) in SEEDS.zip(&outcomes) {
            println!("takeovers {count} seed {seed}: {}", describe(o));
        }
        let total: f64 = outcomes.iter().map(Outcome::worth).sum();
        println!(
            "takeovers {count}: mean {:.3}",
            total / f64::from(u32::try_from(outcomes.len()).unwrap_or(1))
        );
    }
}

/// Runs simulations, each in a thread of its own.
fn play_all(options: impl Iterator<Item = Options>) -> Vec<Outcome> {
    std::thread::scope(|s| {
        let handles: Vec<_> = options.map(|opt| s.spawn(move || play(&opt))).collect();
        handles.into_iter().map(|h| h.join().expect("the simulation ends")).collect()
    })
}

fn describe(o: &Outcome) -> String {
    let share = |n: usize| o.classes[n].earned / o.classes[n].owed;
    format!(
        "worth {:.3}; gangs {:.3}, shares {:.3}, entries {:.3}; utilization {:.2}; advice {:.0} s",
        o.worth(),
        share(0),
        share(1),
        share(2),
        o.utilization,
        o.advice_time.as_secs_f64(),
    )
}
