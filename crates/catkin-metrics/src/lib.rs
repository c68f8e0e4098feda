//! Metric instruments, exported in the text format of Prometheus.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod error;

pub use error::Error;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// The content type of the export.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// Names and values of the labels of one time series.
pub type Labels<'a> = &'a [(&'static str, &'a str)];

/// Creates the instruments of a process and exports their values.
#[derive(Debug)]
pub struct Instruments {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
}

/// A counter of events. The exported name ends in `_total`.
#[derive(Clone, Debug)]
pub struct Counter(opentelemetry::metrics::Counter<u64>);

/// A histogram of durations, in seconds.
#[derive(Clone, Debug)]
pub struct Histogram(opentelemetry::metrics::Histogram<f64>);

impl Instruments {
    /// Sets up the exporter. `name` becomes the label `otel_scope_name` of each time series.
    ///
    /// # Errors
    /// Fails if the Prometheus exporter can't be registered.
    pub fn new(name: &'static str) -> Result<Self, Error> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .map_err(|e| Error::Exporter(e.to_string()))?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(name);
        Ok(Self { registry, provider, meter })
    }

    /// Creates a counter.
    #[must_use]
    pub fn counter(&self, name: &'static str) -> Counter {
        Counter(self.meter.u64_counter(name).build())
    }

    /// Creates a histogram of durations. `bounds` are the upper bounds of its buckets, in seconds.
    #[must_use]
    pub fn histogram(&self, name: &'static str, bounds: &[f64]) -> Histogram {
        Histogram(self.meter.f64_histogram(name).with_boundaries(bounds.to_vec()).build())
    }

    /// Registers a gauge whose value is read from `f` at each export.
    pub fn gauge(
        &self,
        name: &'static str,
        labels: Labels<'_>,
        f: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let labels = key_values(labels);
        let callback = move |o: &dyn AsyncInstrument<u64>| o.observe(f(), &labels);
        let _ = self.meter.u64_observable_gauge(name).with_callback(callback).build();
    }

    /// Returns the current values of all instruments in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            tracing::error!("metrics: encoding failed, the export is incomplete: {e}");
        }
        String::from_utf8_lossy(&buf).into_owned()
    }

    /// Shuts down the meter provider. A failure is only logged.
    pub fn shutdown(&self) {
        if let Err(e) = self.provider.shutdown() {
            tracing::debug!("metrics: shutdown of the meter provider failed: {e}");
        }
    }
}

impl Counter {
    /// Adds 1 to the time series with these labels.
    pub fn add(&self, labels: Labels<'_>) {
        self.0.add(1, &key_values(labels));
    }
}

impl Histogram {
    /// Records one duration in the time series with these labels.
    pub fn record(&self, time: Duration, labels: Labels<'_>) {
        self.0.record(time.as_secs_f64(), &key_values(labels));
    }
}

fn key_values(labels: Labels<'_>) -> Vec<KeyValue> {
    labels.iter().map(|(k, v)| KeyValue::new(*k, (*v).to_owned())).collect()
}
