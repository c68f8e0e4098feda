//! When a refused client is asked to come back.
//!
//! Pure. The load that it answers is an outage of the table service: clients retry a few times only, and must not have
//! used all their retries before the service is back.

use std::time::Duration;

/// The shortest and the longest time after which a client is asked to come back. The header has whole seconds.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3));

/// Returns the value of `Retry-After`. An outage that has lasted for `silent_for` is expected to last as long again.
#[must_use]
pub fn retry_after(silent_for: Duration) -> Duration {
    Duration::from_secs(silent_for.as_secs()).clamp(RETRY_RANGE.0, RETRY_RANGE.1)
}
