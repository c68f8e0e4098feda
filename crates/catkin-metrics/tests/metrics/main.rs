//! The exported text.

use catkin_metrics::Instruments;
use std::time::Duration;

#[test]
fn the_export_has_counters_histograms_and_gauges_with_their_labels() {
    let instruments = Instruments::new("test").expect("set up the exporter");
    let (answers, wait) =
        (instruments.counter("answers"), instruments.histogram("wait_seconds", &[0.1, 1.0]));
    instruments.gauge("open", &[("kind", "jobs")], || 7);
    answers.add(&[("code", "200")]);
    answers.add(&[("code", "200")]);
    wait.record(Duration::from_millis(500), &[("phase", "store")]);
    let text = instruments.render();
    let line = |prefix: &str| {
        let found = text.lines().find(|l| l.starts_with(prefix));
        found.unwrap_or_else(|| panic!("no {prefix} in\n{text}")).to_owned()
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
