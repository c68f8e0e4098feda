//! The latency of the table service, and the times that follow from it.
//!
//! Pure. The load that it answers is a service that works, but takes many times as long as usual: its answers are waited
//! for, and calls are neither repeated beside themselves nor taken for lost.

use std::time::Duration;

/// The minimum and maximum timeout of a call.
const TIMEOUT_RANGE: (Duration, Duration) = (Duration::from_millis(600), Duration::from_secs(3));
/// The timeout as a multiple of the longer of the last two answer times.
const TIMEOUT_FACTOR: u32 = 4;
/// The timeout of a write as a multiple of the timeout of a read.
const WRITE_TIMEOUT_FACTOR: u32 = 2;
/// The shortest latency that is assumed before the first answer.
const DEFAULT_LATENCY: Duration = Duration::from_millis(100);
/// The service counts as slow from this much more than the shortest answer time. A new connection takes less.
const SLOW_MARGIN: Duration = Duration::from_millis(100);
/// The answer time from which the service counts as slow, also to a daemon that has only known it so.
const SLOW_THRESHOLD: Duration = Duration::from_millis(200);
/// The shortest time after which a write without an answer is looked for.
const MIN_CHECK_DELAY: Duration = Duration::from_millis(300);
/// A write is looked for after this many times the usual answer time.
const CHECK_FACTOR: u32 = 4;
/// A write is sent again once it has been out for this many times the time of a read. A write takes about three times as
/// long as a read, and may wait for another one.
const RESEND_FACTOR: u32 = 8;
/// The shortest time that a write is assumed to take.
const MIN_WRITE_TIME: Duration = Duration::from_millis(1);
/// How many answer times an owner may need to renew its row: a write takes three, and one may precede it.
const RENEWAL_FACTOR: u32 = 6;

/// The answer times of one daemon's calls.
#[derive(Clone, Copy, Debug)]
pub struct Latency {
    /// The last two answer times, the newest first.
    last: [Duration; 2],
    /// How long the last write took.
    last_write: Duration,
    /// The shortest answer time so far; `None` before the first answer.
    shortest: Option<Duration>,
    timeout: Duration,
}

impl Default for Latency {
    fn default() -> Self {
        Self {
            last: [Duration::ZERO; 2],
            last_write: Duration::ZERO,
            shortest: None,
            timeout: TIMEOUT_RANGE.0,
        }
    }
}

impl Latency {
    /// Records an answer that took this long.
    pub fn record_answer(&mut self, took: Duration) {
        self.last = [took, self.last[0]];
        self.shortest = Some(self.shortest.map_or(took, |old| old.min(took)));
        self.timeout = (self.longest() * TIMEOUT_FACTOR).clamp(TIMEOUT_RANGE.0, TIMEOUT_RANGE.1);
    }

    /// Records an answer to a write, which took this long.
    pub fn record_write(&mut self, took: Duration) {
        self.last_write = took;
        self.record_answer(took);
    }

    /// Records a call that got no answer within the timeout.
    pub fn record_timeout(&mut self) {
        self.timeout = (self.timeout * 2).min(TIMEOUT_RANGE.1);
    }

    /// Returns the timeout of a read.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Returns the timeout of a write, which takes longer than a read.
    #[must_use]
    pub fn write_timeout(&self) -> Duration {
        (self.timeout * WRITE_TIMEOUT_FACTOR).min(TIMEOUT_RANGE.1)
    }

    /// Returns the longest timeout of any call.
    #[must_use]
    pub const fn max_timeout() -> Duration {
        TIMEOUT_RANGE.1
    }

    /// Returns the shortest answer time so far, which tells how far away the service is.
    #[must_use]
    pub fn shortest(&self) -> Duration {
        self.shortest.unwrap_or(DEFAULT_LATENCY)
    }

    /// Returns the shorter of the last two answer times: one slow answer does not count.
    fn recent(&self) -> Duration {
        self.last[0].min(self.last[1])
    }

    /// Returns the longer of the last two answer times.
    fn longest(&self) -> Duration {
        self.last[0].max(self.last[1])
    }

    /// Returns whether the service works but is slow: one of the last two answers was. A daemon calls it only now and
    /// then, so a single slow answer may be all it knows of a slow service.
    #[must_use]
    pub fn is_slow(&self) -> bool {
        self.longest() >= SLOW_THRESHOLD.min(self.shortest() + SLOW_MARGIN)
    }

    /// Returns the time after which a write without an answer is looked for with a read.
    #[must_use]
    pub fn check_delay(&self) -> Duration {
        (self.recent() * CHECK_FACTOR).max(MIN_CHECK_DELAY)
    }

    /// Returns whether a write that has been out for `waited`, and that a read of `read_time` did not find, is to be
    /// sent again.
    #[must_use]
    pub fn is_overdue(waited: Duration, read_time: Duration) -> bool {
        waited > read_time * RESEND_FACTOR
    }

    /// Returns the time that an owner may need to renew its row beyond the usual. Until the service is quick again, the row
    /// may be as old as the last slow answer left it.
    #[must_use]
    pub fn renewal_allowance(&self) -> Duration {
        if self.is_slow() { self.longest() * RENEWAL_FACTOR } else { Duration::ZERO }
    }

    /// Returns how many writes can be made one after the other within `time`, at least 1.
    #[must_use]
    pub fn writes_within(&self, time: Duration) -> usize {
        let write_time = self.last_write.max(MIN_WRITE_TIME);
        usize::try_from(time.as_millis() / write_time.as_millis()).unwrap_or(1).max(1)
    }
}
