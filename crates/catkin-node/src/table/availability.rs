//! Whether the table service carries out calls.
//!
//! Pure. The load that it answers is an outage: a job that can't be stored now is refused at once, and does not wait
//! until its client's deadline has passed.

/// After this many rejected calls in a row, the service counts as unavailable. A single one may be due to a rate limit.
const MAX_REJECTIONS: u32 = 2;

/// The outcomes of one daemon's latest calls.
#[derive(Clone, Copy, Debug, Default)]
pub struct Availability {
    /// Whether the last call got no answer.
    silent: bool,
    /// The number of calls in a row that were rejected.
    rejections: u32,
}

impl Availability {
    /// Records a call that was carried out. Returns whether the service was unavailable before.
    pub fn record_served(&mut self) -> bool {
        let was_unavailable = self.is_unavailable();
        *self = Self::default();
        was_unavailable
    }

    /// Records a call that was rejected. Returns whether the service is unavailable from now on.
    pub fn record_rejected(&mut self) -> bool {
        let was_unavailable = self.is_unavailable();
        self.rejections = self.rejections.saturating_add(1);
        !was_unavailable && self.is_unavailable()
    }

    /// Records a call without an answer. Returns whether the service is unavailable from now on.
    pub fn record_silence(&mut self) -> bool {
        let was_unavailable = self.is_unavailable();
        self.silent = true;
        !was_unavailable
    }

    /// Whether the service does not answer, or rejects calls.
    #[must_use]
    pub fn is_unavailable(self) -> bool {
        self.silent || self.rejections >= MAX_REJECTIONS
    }
}
