//! Assignment of hosts to shards. A host stays in its shard permanently, so that the epoch that it sees only grows.

use super::{Scan, State};
use crate::rows::{self, Member, Shard, shard_id};
use catkin_lease::term::Term;
use catkin_store::hosts::{Host, Kind};
use catkin_store::{Row, Txn};
use catkin_types::ShardId;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The hosts of each shard, as far as this daemon has read them.
#[derive(Debug, Default)]
pub(super) struct Assignments {
    known: BTreeSet<String>,
    lists: BTreeMap<ShardId, (u64, Vec<Member>)>,
}

impl Assignments {
    /// Returns the hosts of a shard, empty if its list was not read.
    pub fn hosts_of_shard(&self, shard: &str) -> Vec<Host> {
        let members = self.lists.get(shard).map(|(_, l)| l.as_slice()).unwrap_or_default();
        members.iter().map(|m| m.host.clone()).collect()
    }

    fn read(&mut self, rows: &[Row]) {
        for row in rows {
            let Some(list) = rows::from_json::<Vec<Member>>(row) else { continue };
            self.known.extend(list.iter().map(|m| m.host.id.clone()));
            let shard = row.key.trim_start_matches("hosts/").to_owned();
            self.lists.insert(shard, (row.version, list));
        }
    }
}

type ShardGroup = (String, Kind, String);

const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

impl Scan {
    /// Assigns hosts that are in no shard to a shard with room, or to a new one. Covers this region and regions without
    /// a live daemon.
    pub(super) async fn assign(&self, s: &mut State, hosts: &[Host]) {
        let region = &self.cx.settings.daemon.region;
        let in_scope = |h: &&Host| h.region == *region || self.region_has_no_live_daemon(&h.region);
        let unassigned = |s: &State| -> Vec<Host> {
            hosts
                .iter()
                .filter(in_scope)
                .filter(|h| !s.assignments.known.contains(&h.id))
                .cloned()
                .collect()
        };
        let unknown = unassigned(s);
        if unknown.is_empty() {
            return;
        }
        let regions: BTreeSet<&String> = unknown.iter().map(|h| &h.region).collect();
        for region in regions {
            match self.cx.store.rows(&format!("hosts/{region}/")).await {
                Ok(rows) => s.assignments.read(&rows),
                Err(_) => return,
            }
        }
        self.begin_terms_without_owner(s).await;
        let mut groups: BTreeMap<String, (ShardGroup, Vec<Host>)> = BTreeMap::new();
        for host in unassigned(s) {
            let name = shard_id(&host.region, &host.zone, host.kind, &host.service, 0);
            let group = (host.zone.clone(), host.kind, host.service.clone());
            groups.entry(name).or_insert_with(|| (group, Vec::new())).1.push(host);
        }
        for (first, (group, hosts)) in groups {
            let region = hosts.first().map(|h| h.region.clone()).unwrap_or_default();
            if self.preferred_owner(&first, &region) == self.cx.id() && !self.cx.draining() {
                self.assign_group(s, &region, &group, hosts).await;
            }
        }
    }

    /// Begins the first term of shards without a row. Their list was written by a daemon that stopped before it wrote
    /// the row.
    async fn begin_terms_without_owner(&self, s: &mut State) {
        let directory = self.cx.directory.borrow().clone();
        let without_entry: Vec<(ShardId, Host)> = s
            .assignments
            .lists
            .iter()
            .filter(|(id, _)| !directory.contains_key(*id))
            .filter_map(|(id, (_, list))| Some((id.clone(), list.first()?.host.clone())))
            .collect();
        for (id, host) in without_entry {
            if self.preferred_owner(&id, &host.region) == self.cx.id() && !self.cx.draining() {
                let term = Term::successor(None, self.cx.id(), &self.cx.lease_options());
                let shard =
                    Shard { term, region: host.region, kind: host.kind, service: host.service };
                self.begin_term(s, &id, shard, 0, None).await;
            }
        }
    }

    /// Returns whether no peer of the region can take shards, so that other daemons act for the region.
    pub(super) fn region_has_no_live_daemon(&self, region: &str) -> bool {
        let now = self.cx.now();
        !self.cx.peers().any(|p| p.region == region && self.cx.liveness.can_own_shards(&p.id, now))
    }

    async fn assign_group(
        &self,
        s: &mut State,
        region: &str,
        group: &ShardGroup,
        mut hosts: Vec<Host>,
    ) {
        let max = usize::try_from(self.cx.settings.shards.max_workers.get()).unwrap_or(usize::MAX);
        let (zone, kind, service) = group;
        for n in 0.. {
            if hosts.is_empty() {
                return;
            }
            let id = shard_id(region, zone, *kind, service, n);
            let (version, mut list) = s.assignments.lists.get(&id).cloned().unwrap_or_default();
            let room = max.saturating_sub(list.len()).min(hosts.len());
            if room == 0 {
                continue;
            }
            list.extend(hosts.drain(..room).map(|host| Member { host, vacant: false }));
            if !self.write_members(s, &id, version, list, region, *kind, service).await {
                return;
            }
        }
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the row's key and version, and the fields of the shard"
    )]
    async fn write_members(
        &self,
        s: &mut State,
        id: &ShardId,
        version: u64,
        list: Vec<Member>,
        region: &str,
        kind: Kind,
        service: &str,
    ) -> bool {
        let key = format!("hosts/{id}");
        let txn = Txn::default().check(&key, version).put(&key, rows::to_json(&list));
        let Ok(version) = self.cx.store.commit(txn, COMMIT_TIMEOUT).await else { return false };
        tracing::info!("scan: wrote the host list of shard {id}: {} hosts", list.len());
        s.assignments.known.extend(list.iter().map(|m| m.host.id.clone()));
        s.assignments.lists.insert(id.clone(), (version, list));
        if !self.cx.directory.borrow().contains_key(id) {
            let term = Term::successor(None, self.cx.id(), &self.cx.lease_options());
            let (region, service) = (region.to_owned(), service.to_owned());
            self.begin_term(s, id, Shard { term, region, kind, service }, 0, None).await;
        }
        true
    }
}
