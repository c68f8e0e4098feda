//! Bad workers and bad jobs.

use catkin_place::health::{HealthTracker, Options, WorkerHealth};
use std::time::Duration;

const NOW: Duration = Duration::from_secs(1);

fn fleet(n: usize) -> HealthTracker {
    let mut f = HealthTracker::new(Options::default());
    (0..n).for_each(|i| f.add(&format!("w{i}")));
    f
}

#[test]
fn a_worker_that_fails_everything_is_out_after_few_losses_and_tried_again_later() {
    let mut f = fleet(40);
    let mut losses = 0;
    for job in 0..100 {
        for i in 1..40 {
            f.record_end(&format!("w{i}"), job, true, NOW);
        }
        if f.worker_health("w0", NOW) == WorkerHealth::Healthy {
            f.record_end(&"w0".into(), job, false, NOW);
            losses += 1;
        }
    }
    assert!(losses <= 3, "{losses}");
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
fn a_job_that_fails_everywhere_blames_no_worker() {
    let mut f = fleet(20);
    for i in 0..20 {
        for _ in 0..5 {
            f.record_end(&format!("w{i}"), 7, false, NOW);
        }
    }
    assert!(f.is_job_faulty(7));
    let out =
        (0..20).filter(|i| f.worker_health(&format!("w{i}"), NOW) != WorkerHealth::Healthy).count();
    assert_eq!(out, 0);
}

#[test]
fn no_more_than_the_fraction_is_ever_quarantined() {
    bolero::check!().with_type::<Vec<(u8, u8, bool)>>().for_each(|ends| {
        let mut f = fleet(20);
        for (w, job, ok) in ends {
            f.record_end(&format!("w{}", w % 20), u64::from(*job), *ok, NOW);
            let out = (0..20)
                .filter(|i| f.worker_health(&format!("w{i}"), NOW) != WorkerHealth::Healthy)
                .count();
            assert!(out <= 2, "{out}");
        }
    });
}
