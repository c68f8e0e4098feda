//! The platform's list of live and leaving hosts. It lags, so that it is a hint and never a proof.

use crate::error::Error;
use catkin_http::Client;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
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

/// A list and the tag that it came with.
#[derive(Clone, Debug, Default)]
struct Tagged {
    tag: Option<String>,
    hosts: Vec<Host>,
}

/// The lists that were read last, by region.
#[derive(Debug, Default)]
pub struct Cache {
    lists: Mutex<BTreeMap<String, Tagged>>,
}

impl Cache {
    fn get(&self, region: &str) -> Option<Tagged> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner).get(region).cloned()
    }

    fn put(&self, region: &str, list: Tagged) {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.insert(region.to_owned(), list);
    }
}

/// Reads the list of one region. One that has not changed does not travel again.
///
/// # Errors
/// [`Error::Down`] or [`Error::Malformed`].
pub async fn list(
    http: &Client,
    url: &str,
    region: &str,
    cache: &Cache,
    timeout: Duration,
) -> Result<Vec<Host>, Error> {
    let url = format!("{url}/v1/hosts?region={region}");
    let known = cache.get(region).unwrap_or_default();
    let Some((tag, hosts)) =
        http.get_if_changed::<Vec<Host>>(&url, known.tag.as_deref(), timeout).await?
    else {
        return Ok(known.hosts);
    };
    cache.put(region, Tagged { tag, hosts: hosts.clone() });
    Ok(hosts)
}
