//! The page of metrics.

use catkin_metrics::Instruments;
use std::time::Duration;

#[test]
fn the_page_has_counts_times_and_values_with_their_labels() {
    let all = Instruments::new("test").expect("instruments");
    let (answers, wait) = (all.counter("answers"), all.histogram("wait_seconds", &[0.1, 1.0]));
    all.observe("open", &[("kind", "jobs")], || 7);
    answers.add(&[("code", "200")]);
    answers.add(&[("code", "200")]);
    wait.record(Duration::from_millis(500), &[("phase", "store")]);
    let page = all.page();
    let line = |starts: &str| {
        let found = page.lines().find(|l| l.starts_with(starts));
        found.unwrap_or_else(|| panic!("no {starts} in\n{page}")).to_owned()
    };
    assert!(line("answers_total{code=\"200\"").ends_with(" 2"));
    assert!(line("open{kind=\"jobs\"").ends_with(" 7"));
    assert!(
        line("wait_seconds_bucket{phase=\"store\",otel_scope_name=\"test\",le=\"0.1\"}")
            .ends_with(" 0")
    );
    assert!(
        line("wait_seconds_bucket{phase=\"store\",otel_scope_name=\"test\",le=\"1\"}")
            .ends_with(" 1")
    );
}
