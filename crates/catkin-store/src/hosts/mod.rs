//! The platform's list of live and leaving hosts. It lags, so that it is a hint and never a proof.

use crate::error::Error;
use catkin_http::Client;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a host is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// It runs tasks under leases.
    Worker,
    /// It answers requests of a service.
    Executor,
}

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// It is there.
    Live,
    /// It is to get no new work.
    Leaving,
}

/// A host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name.
    pub id: String,
    /// What it is for.
    pub kind: Kind,
    /// The service that an executor answers for.
    #[serde(default)]
    pub service: String,
    /// The region.
    pub region: String,
    /// The availability zone.
    pub zone: String,
    /// The rack.
    pub rack: String,
    /// Address and port.
    pub addr: String,
    /// How many requests an executor takes at once.
    #[serde(default)]
    pub slots: u32,
    /// Whether it is leaving.
    pub state: State,
}

/// Reads the list of one region.
///
/// # Errors
/// [`Error::Down`] or [`Error::Malformed`].
pub async fn list(
    http: &Client,
    url: &str,
    region: &str,
    timeout: Duration,
) -> Result<Vec<Host>, Error> {
    Ok(http.get(&format!("{url}/v1/hosts?region={region}"), timeout).await?)
}
