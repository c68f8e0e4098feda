//! The settings of a daemon on the users' platform, in TOML.

use crate::Error;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// All settings. `platform/settings.toml` has them with the values of a deployment to fill in.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// This daemon.
    pub daemon: Daemon,
    /// The region of each availability zone.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Where it listens.
    pub listen: Listen,
    /// The table service.
    pub table: Table,
    /// The adviser.
    #[serde(default)]
    pub adviser: Adviser,
    /// What workers and operators expect.
    #[serde(default)]
    pub bounds: Bounds,
    /// Logs.
    #[serde(default)]
    pub log: Log,
}

/// Who the daemon is.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// Its name.
    pub id: String,
    /// Its address.
    pub ip: String,
    /// Its availability zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Its share of a processor.
    #[serde(default = "default_processors")]
    pub processors: f64,
}

const fn default_processors() -> f64 {
    1.0
}

/// Where the daemon listens.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For clients.
    pub clients: String,
    /// For the balancer's question whether the daemon is ready.
    pub ready: String,
    /// For the other daemons: a port of its address.
    pub peer_port: u16,
    /// For whoever reads metrics: a port of its address, 0 for none.
    #[serde(default)]
    pub metrics_port: u16,
}

/// The table service.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// Its address.
    pub address: String,
}

/// The adviser.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adviser {
    /// Its address, empty if there is none.
    pub address: String,
}

/// What workers and operators expect. Times are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The longest lease that workers grant.
    pub lease_ms: f64,
    /// How long the members of a gang wait for each other.
    pub gang_wait_ms: f64,
    /// How long the daemon may take to stop.
    pub stop_ms: f64,
    /// How long the state of a job is remembered after its end.
    pub remember_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self { lease_ms: 6_000.0, gang_wait_ms: 3_000.0, stop_ms: 6_000.0, remember_ms: 120_000.0 }
    }
}

/// Logs.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// What is logged, as `tracing` filters have it.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { filter: "info".into() }
    }
}

/// A number of milliseconds of the settings.
#[must_use]
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}

/// Reads settings.
///
/// # Errors
/// They can't be used; the report names file, line and key.
pub fn parse(file: &str, text: &str) -> Result<Settings, Report<Error>> {
    let s: Settings =
        toml::from_str(text).change_context(Error::Settings).attach_with(|| file.to_owned())?;
    for (key, value) in [
        ("daemon.id", &s.daemon.id),
        ("daemon.ip", &s.daemon.ip),
        ("listen.clients", &s.listen.clients),
        ("listen.ready", &s.listen.ready),
        ("table.address", &s.table.address),
    ] {
        if value.is_empty() {
            return Err(Report::new(Error::Settings).attach(format!("{file}: {key} is empty")));
        }
    }
    Ok(s)
}
