//! Tests of the quarantine of faulty workers and the detection of faulty jobs.

use catkin_place::health::{HealthTracker, Options, WorkerHealth};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn tracker(n: usize) -> HealthTracker {
    let mut f = HealthTracker::new(Options::default());
    (0..n).for_each(|i| f.add(&format!("w{i}")));
    f
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_after_few_failures_and_later_put_on_probation() {
    let mut f = tracker(40);
    let mut failures = 0;
    for job in 0..100 {
        for i in 1..40 {
            f.record_end(&format!("w{i}"), job, true, NOW);
        }
        if f.worker_health("w0", NOW) == WorkerHealth::Healthy {
            f.record_end(&"w0".into(), job, false, NOW);
            failures += 1;
        }
    }
    assert!(failures <= 3, "{failures}");
    assert_eq!(f.worker_health("w0", NOW), WorkerHealth::Quarantined);
    let later = NOW + Options::default().quarantine;
    assert_eq!(f.worker_health("w0", later), WorkerHealth::Probation);
    f.record_end(&"w0".into(), 100, false, later);
    assert_eq!(f.worker_health("w0", later), WorkerHealth::Quarantined);
    let later = later + Options::default().quarantine;
    f.record_end(&"w0".into(), 101, true, later);
    assert_eq!(f.worker_health("w0", later), WorkerHealth::Healthy);
}

#[test]
fn a_job_that_fails_everywhere_quarantines_no_worker() {
    let mut f = tracker(20);
    for i in 0..20 {
        for _ in 0..5 {
            f.record_end(&format!("w{i}"), 7, false, NOW);
        }
    }
    assert!(f.is_job_faulty(7));
    let quarantined =
        (0..20).filter(|i| f.worker_health(&format!("w{i}"), NOW) != WorkerHealth::Healthy).count();
    assert_eq!(quarantined, 0);
}

#[test]
fn at_most_the_configured_fraction_is_quarantined() {
    bolero::check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|ends| {
        let mut f = tracker(20);
        for (w, job, ok) in ends {
            f.record_end(&format!("w{}", w % 20), u64::from(*job), *ok, NOW);
            let quarantined = (0..20)
                .filter(|i| f.worker_health(&format!("w{i}"), NOW) != WorkerHealth::Healthy)
                .count();
            assert!(quarantined <= 2, "{quarantined}");
        }
    });
}
