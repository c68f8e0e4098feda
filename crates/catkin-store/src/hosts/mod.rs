//! The platform's list of live and leaving hosts. The list lags behind the hosts, so it is a hint and not a proof.

use crate::error::Error;
use catkin_http::Client;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// The role of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Runs tasks under leases.
    Worker,
    /// Answers requests of a service.
    Executor,
}

/// The state of a host, as set by the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// In use.
    Live,
    /// About to be removed: must get no new work.
    Leaving,
}

/// An entry of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Unique name of the host.
    pub id: String,
    /// Whether it is a worker or an executor.
    pub kind: Kind,
    /// The service of an executor. Empty for a worker.
    #[serde(default)]
    pub service: String,
    /// Name of its region.
    pub region: String,
    /// Name of its availability zone.
    pub zone: String,
    /// Name of its rack.
    pub rack: String,
    /// Address and port at which it takes requests.
    pub addr: String,
    /// How many requests an executor takes at once. 0 if absent.
    #[serde(default)]
    pub slots: u32,
    /// Whether it may get new work.
    pub state: State,
}

/// A list and the entity tag of the answer that contained it.
#[derive(Clone, Debug, Default)]
struct TaggedList {
    etag: Option<String>,
    hosts: Vec<Host>,
}

/// The list last read of each region.
#[derive(Debug, Default)]
pub struct Cache {
    lists: Mutex<BTreeMap<String, TaggedList>>,
}

impl Cache {
    fn get(&self, region: &str) -> Option<TaggedList> {
        self.lists.lock().unwrap_or_else(PoisonError::into_inner).get(region).cloned()
    }

    fn put(&self, region: &str, list: TaggedList) {
        let mut lists = self.lists.lock().unwrap_or_else(PoisonError::into_inner);
        lists.insert(region.to_owned(), list);
    }
}

/// Reads the list of one region. Returns the cached list if the platform answers that it has not changed.
///
/// # Errors
/// [`Error::Unavailable`] without an answer of success, [`Error::Malformed`] if the answer can't be decoded.
pub async fn list(
    http: &Client,
    url: &str,
    region: &str,
    cache: &Cache,
    timeout: Duration,
) -> Result<Vec<Host>, Error> {
    let url = format!("{url}/v1/hosts?region={region}");
    let cached = cache.get(region).unwrap_or_default();
    let Some((etag, hosts)) =
        http.get_if_changed::<Vec<Host>>(&url, cached.etag.as_deref(), timeout).await?
    else {
        return Ok(cached.hosts);
    };
    cache.put(region, TaggedList { etag, hosts: hosts.clone() });
    Ok(hosts)
}
