//! Fair shares of the rows, and this shard's shares of their limits.

use super::state::{State, WaitingTask};
use crate::quota::{ShareUpdates, has_limit};
use crate::rows::{Ack, Acks};
use catkin_share::fair_share::{RowDemand, shares};
use catkin_types::resources::ratio;
use catkin_types::{Resources, Row, RowName};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// How long computed fair shares are used before they are computed anew.
const FAIR_SHARES_INTERVAL: Duration = Duration::from_millis(200);

impl State {
    /// Computes the fair shares anew if they are out of date or a row with waiting tasks has none.
    pub(super) fn refresh_fair_shares(
        &mut self,
        total: &Resources,
        now: Duration,
        row: impl Fn(&str) -> Option<Row>,
    ) {
        let unknown = |(n, l): (&RowName, &VecDeque<WaitingTask>)| {
            !l.is_empty() && !self.share.contains_key(n)
        };
        if now >= self.share_until || self.queues.iter().any(unknown) {
            self.share = Arc::new(self.compute_fair_shares(total, row));
            self.share_until = now + FAIR_SHARES_INTERVAL;
        }
    }

    /// Returns the fair share of each row that holds resources or has waiting tasks.
    fn compute_fair_shares(
        &self,
        total: &Resources,
        row: impl Fn(&str) -> Option<Row>,
    ) -> BTreeMap<RowName, Resources> {
        let mut names: BTreeSet<&RowName> = self.held.keys().collect();
        names.extend(self.queues.iter().filter(|(_, l)| !l.is_empty()).map(|(n, _)| n));
        let mut rows = Vec::new();
        let mut claims = Vec::new();
        for name in names {
            let Some(row) = row(name) else { continue };
            claims.push(RowDemand {
                weight: row.weight,
                demand: self.demand(name),
                guaranteed: row.guaranteed,
                limit: row.limit,
            });
            rows.push(name.clone());
        }
        rows.into_iter().zip(shares(total, &claims)).collect()
    }

    /// Returns what the row's running and waiting tasks need together. Every waiting task counts with the size of the
    /// first.
    fn demand(&self, name: &str) -> Resources {
        let held = self.held.get(name).copied().unwrap_or_default();
        let Some(queue) = self.queues.get(name) else { return held };
        let first = queue.front().and_then(|w| self.chunk_of(w.task)).map(|(_, o)| o.chunk.size);
        held.saturating_add(&first.unwrap_or_default().times(queue.len() as u64))
    }

    /// Returns whether `n` more tasks of that size keep a row within this shard's share of its limit.
    pub(super) fn within_limit(&self, row: &Row, size: Resources, n: u64) -> bool {
        let held = self.held.get(&row.name).copied().unwrap_or_default();
        let running = self.running.get(&row.name).copied().unwrap_or_default();
        self.within_limit_share(row, &held.saturating_add(&size.times(n)), running + n)
    }

    fn within_limit_share(&self, row: &Row, held: &Resources, running: u64) -> bool {
        let exceeds = |used: u64, limit: u64| {
            limit > 0 && used > self.limit_shares.share_of(&row.name, limit)
        };
        let (h, l) = (held.as_array(), row.limit.as_array());
        !(0..3).any(|i| exceeds(h[i], l[i])) && !exceeds(running, row.max_running)
    }

    /// Applies updates of the shard's shares of limits. Returns each limited row's demand and the update that it
    /// acknowledges.
    pub(super) fn update_shares(&mut self, updates: &ShareUpdates) -> Acks {
        self.limit_shares.apply(updates);
        let Some(table) = self.cx.table() else { return Acks::new() };
        let mut acks = Acks::new();
        for row in table.rows().filter(|r| has_limit(r)) {
            let held = self.held.get(&row.name).copied().unwrap_or_default();
            let running = self.running.get(&row.name).copied().unwrap_or_default();
            // Until every worker is settled, more tasks may run than this owner knows of.
            let within = self.lease.settled() && self.within_limit_share(row, &held, running);
            let waiting = self.queues.get(&row.name).map_or(0, |l| l.len() as u64);
            let want = self.demand(&row.name).dominant_fraction(&row.limit);
            let tasks =
                if row.max_running > 0 { ratio(running + waiting, row.max_running) } else { 0.0 };
            let (seq, want) = (self.limit_shares.ack_seq(&row.name, within), want.max(tasks));
            if seq > 0 || want > 0.0 {
                acks.insert(row.name.clone(), Ack { seq, want });
            }
        }
        self.schedule_soon();
        acks
    }
}
