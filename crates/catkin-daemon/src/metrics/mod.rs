//! Metrics, and the page from which they are scraped. `docs/OPERATIONS.md` has the names.

use crate::Error;
use error_stack::{Report, ResultExt};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Histogram, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// The instruments of a daemon.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
    wait: Histogram<f64>,
    answers: Counter<u64>,
    placements: Counter<u64>,
    lost: Counter<u64>,
    takeovers: Counter<u64>,
}

/// The bounds of the waiting-time buckets, in seconds.
const WAIT_BOUNDS: [f64; 14] =
    [0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 6.9, 30.0];

impl Metrics {
    /// Sets the instruments up.
    ///
    /// # Errors
    /// The exporter refused its registry.
    pub fn new() -> Result<Self, Report<Error>> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .change_context(Error::Metrics)?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("catkincart");
        let wait = meter
            .f64_histogram("catkin_wait_seconds")
            .with_boundaries(WAIT_BOUNDS.to_vec())
            .build();
        let counter = |name: &'static str| meter.u64_counter(name).build();
        Ok(Self {
            wait,
            answers: counter("catkin_answers"),
            placements: counter("catkin_placements"),
            lost: counter("catkin_tasks_lost"),
            takeovers: counter("catkin_takeovers"),
            registry,
            provider,
            meter,
        })
    }

    /// Notes how long work of a row waited before it started.
    pub fn waited(&self, row: &str, wait: Duration) {
        self.wait.record(wait.as_secs_f64(), &[KeyValue::new("row", row.to_owned())]);
    }

    /// Notes an answer to a caller.
    pub fn answered(&self, row: &str, code: u16) {
        let labels = [KeyValue::new("row", row.to_owned()), KeyValue::new("code", i64::from(code))];
        self.answers.add(1, &labels);
    }

    /// Notes the start of a task.
    pub fn placed(&self, row: &str) {
        self.placements.add(1, &[KeyValue::new("row", row.to_owned())]);
    }

    /// Notes a task that has to run again.
    pub fn task_lost(&self, row: &str) {
        self.lost.add(1, &[KeyValue::new("row", row.to_owned())]);
    }

    /// Notes that a shard was taken over.
    pub fn takeover(&self) {
        self.takeovers.add(1, &[]);
    }

    /// A counter whose value is asked for when the page is read.
    pub fn observe(
        &self,
        name: &'static str,
        label: Option<(&'static str, String)>,
        f: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let labels: Vec<KeyValue> = label.into_iter().map(|(k, v)| KeyValue::new(k, v)).collect();
        let callback =
            move |o: &dyn opentelemetry::metrics::AsyncInstrument<u64>| o.observe(f(), &labels);
        let _ = self.meter.u64_observable_gauge(name).with_callback(callback).build();
    }

    /// The page.
    #[must_use]
    pub fn page(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::error!("metrics: page failed: {e}");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Ends the export.
    pub fn shutdown(&self) {
        let _ = self.provider.shutdown();
    }
}
