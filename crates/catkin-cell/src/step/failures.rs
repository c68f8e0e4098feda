//! The failures of a task, or of a gang, that count as attempts.

use crate::progress::Failures;
use smallvec::SmallVec;

/// The failures that were counted. Each run counts once, in whatever order the ends are read.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureCount {
    /// The number of failures.
    times: u32,
    /// Earlier owners have counted the failures of runs up to this one: they started no later run before.
    counted_before: u32,
    /// The later runs whose failures were counted.
    runs: SmallVec<[u32; 2]>,
    /// The version of the job that records the failures. The next start waits until it is durable.
    pub required_version: u64,
}

impl FailureCount {
    /// Restores the count from stored progress.
    pub(crate) fn new(stored: Failures) -> Self {
        Self { times: stored.times, counted_before: stored.run, ..Self::default() }
    }

    /// Counts the failure of `run`, unless it was counted before. Several members of one run of a gang may fail, and a
    /// worker may list the same end again.
    pub(crate) fn record(&mut self, run: u32) {
        if run > self.counted_before && !self.runs.contains(&run) {
            self.runs.push(run);
            self.times = self.times.saturating_add(1);
        }
    }

    /// Returns the number of failures.
    pub(crate) fn times(&self) -> u32 {
        self.times
    }

    /// Returns the failures as they are stored, or `None` if there are none.
    pub(crate) fn to_progress(&self, index: u32) -> Option<Failures> {
        let run = self.runs.iter().copied().max().unwrap_or(self.counted_before);
        (self.times > 0).then_some(Failures { index, times: self.times, run })
    }
}
