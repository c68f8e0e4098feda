//! Instruments, and the page from which they are read.
#![forbid(unsafe_code)]
#![deny(missing_docs)]

pub mod error;

pub use error::Error;

use opentelemetry::KeyValue;
use opentelemetry::metrics::{AsyncInstrument, Meter, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};
use std::time::Duration;

/// The content type of the page.
pub const CONTENT_TYPE: &str = "text/plain; version=0.0.4";

/// The labels of one value.
pub type Labels<'a> = &'a [(&'static str, &'a str)];

/// The instruments of a process.
#[derive(Debug)]
pub struct Instruments {
    registry: Registry,
    provider: SdkMeterProvider,
    meter: Meter,
}

/// Counts what happened.
#[derive(Clone, Debug)]
pub struct Counter(opentelemetry::metrics::Counter<u64>);

/// Spreads times over buckets.
#[derive(Clone, Debug)]
pub struct Histogram(opentelemetry::metrics::Histogram<f64>);

impl Instruments {
    /// Sets up the instruments of the program `name`.
    ///
    /// # Errors
    /// The exporter refused its registry.
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

    /// A counter.
    #[must_use]
    pub fn counter(&self, name: &'static str) -> Counter {
        Counter(self.meter.u64_counter(name).build())
    }

    /// A histogram of times with these bounds, in seconds.
    #[must_use]
    pub fn histogram(&self, name: &'static str, bounds: &[f64]) -> Histogram {
        Histogram(self.meter.f64_histogram(name).with_boundaries(bounds.to_vec()).build())
    }

    /// A value that is asked for when the page is read.
    pub fn observe(
        &self,
        name: &'static str,
        labels: Labels<'_>,
        f: impl Fn() -> u64 + Send + Sync + 'static,
    ) {
        let labels = key_values(labels);
        let callback = move |o: &dyn AsyncInstrument<u64>| o.observe(f(), &labels);
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
        if let Err(e) = self.provider.shutdown() {
            tracing::debug!("metrics: not shut down: {e}");
        }
    }
}

impl Counter {
    /// Counts one more.
    pub fn add(&self, labels: Labels<'_>) {
        self.0.add(1, &key_values(labels));
    }
}

impl Histogram {
    /// Notes a time.
    pub fn record(&self, time: Duration, labels: Labels<'_>) {
        self.0.record(time.as_secs_f64(), &key_values(labels));
    }
}

fn key_values(labels: Labels<'_>) -> Vec<KeyValue> {
    labels.iter().map(|(k, v)| KeyValue::new(*k, (*v).to_owned())).collect()
}
