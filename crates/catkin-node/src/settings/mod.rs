//! The settings of a daemon on the users' platform, in TOML.

use crate::Error;
use error_stack::{Report, ResultExt};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::time::Duration;

/// The settings file. `platform/settings.toml` is a template with the values of a deployment to fill in.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of this daemon.
    pub daemon: Daemon,
    /// The region of each availability zone.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// The addresses and ports where it listens.
    pub listen: Listen,
    /// The table service, which stores jobs, workers and the configuration.
    pub table: Table,
    /// The adviser. No adviser if absent.
    #[serde(default)]
    pub adviser: Adviser,
    /// Time limits that workers and operators rely on.
    #[serde(default)]
    pub bounds: Bounds,
    /// What is logged.
    #[serde(default)]
    pub log: Log,
}

/// The identity and placement of a daemon.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Daemon {
    /// The name of the daemon, unique in the deployment.
    pub id: String,
    /// The IP address where other daemons reach it.
    pub ip: String,
    /// The availability zone of its host.
    pub zone: String,
    /// The region of its host.
    pub region: String,
    /// The processor time that it may use, in cores; 1.0 if absent.
    #[serde(default = "default_processors")]
    pub processors: f64,
}

const fn default_processors() -> f64 {
    1.0
}

/// The listening addresses and ports of a daemon.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// The address for clients, as `ip:port`.
    pub clients: String,
    /// The address for readiness checks of the load balancer, as `ip:port`.
    pub ready: String,
    /// The port on [`Daemon::ip`] for calls of other daemons.
    pub peer_port: u16,
    /// The port on [`Daemon::ip`] for the metrics page; 0 for none.
    #[serde(default)]
    pub metrics_port: u16,
}

/// How the table service is reached.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Table {
    /// The address of the service, as `host:port`.
    pub address: String,
}

/// How the adviser is reached.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adviser {
    /// The address of the adviser, as `host:port`; empty if there is none.
    pub address: String,
}

/// Time limits that workers and operators rely on, in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Bounds {
    /// The longest lease that workers grant.
    pub lease_ms: f64,
    /// How long the tasks of a gang may wait for each other at the workers.
    pub gang_wait_ms: f64,
    /// How long the daemon may take to stop after a signal.
    pub stop_ms: f64,
    /// How long after its acknowledgement a change of the configuration may take to be in force.
    pub config_ms: f64,
    /// How long the owner keeps the state of a job in memory after its end.
    pub remember_ms: f64,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lease_ms: 6_000.0,
            gang_wait_ms: 3_000.0,
            stop_ms: 6_000.0,
            config_ms: 4_000.0,
            remember_ms: 120_000.0,
        }
    }
}

/// The settings of the log.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Log {
    /// The log filter, in the syntax of `tracing` filters; `info` if absent.
    pub filter: String,
}

impl Default for Log {
    fn default() -> Self {
        Self { filter: "info".into() }
    }
}

/// Converts milliseconds of the settings. Returns zero for a value that is negative or not finite.
#[must_use]
pub fn duration_from_ms(ms: f64) -> Duration {
    Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
}

/// Parses settings. `file` is the name that error reports give.
///
/// # Errors
/// Malformed TOML, an unknown or missing key, or an empty required value. The report names the file and the key, and
/// the line of an error in the text.
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
