//! Amounts of processors, memory and accelerators.

use serde::{Deserialize, Serialize};

/// An amount of each resource that a worker has.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Add,
    derive_more::AddAssign,
    derive_more::Display,
)]
#[display("{cpu_milli} mcpu, {memory_mib} MiB, {accelerators} accelerators")]
#[serde(deny_unknown_fields, default)]
pub struct Resources {
    /// Processors, in thousandths of a core.
    pub cpu_milli: u64,
    /// Memory, in MiB.
    pub memory_mib: u64,
    /// Number of accelerators.
    pub accelerators: u64,
}

impl Resources {
    /// Returns an amount with the same units as the fields.
    #[must_use]
    pub const fn new(cpu_milli: u64, memory_mib: u64, accelerators: u64) -> Self {
        Self { cpu_milli, memory_mib, accelerators }
    }

    /// Returns the amounts in the order processors, memory, accelerators.
    #[must_use]
    pub const fn as_array(&self) -> [u64; 3] {
        [self.cpu_milli, self.memory_mib, self.accelerators]
    }

    /// Converts amounts in the order of [`Resources::as_array`] back.
    #[must_use]
    pub const fn from_array(a: [u64; 3]) -> Self {
        Self::new(a[0], a[1], a[2])
    }

    /// Whether no amount of `self` is larger than that of `available`.
    #[must_use]
    pub fn fits(&self, available: &Self) -> bool {
        self.cpu_milli <= available.cpu_milli
            && self.memory_mib <= available.memory_mib
            && self.accelerators <= available.accelerators
    }

    /// Subtracts `other`. Each amount stops at zero.
    #[must_use]
    pub fn saturating_sub(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_sub)
    }

    /// Adds `other`. Each amount stops at `u64::MAX`.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        self.zip(other, u64::saturating_add)
    }

    /// Returns the larger of the two amounts of each resource.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        self.zip(other, u64::max)
    }

    /// Returns the smaller of the two amounts of each resource.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        self.zip(other, u64::min)
    }

    /// Multiplies each amount by `n`. Each amount stops at `u64::MAX`.
    #[must_use]
    pub fn times(&self, n: u64) -> Self {
        Self::from_array(self.as_array().map(|x| x.saturating_mul(n)))
    }

    /// Whether every amount is zero.
    #[must_use]
    pub fn is_zero(&self) -> bool {
        *self == Self::default()
    }

    /// Returns the largest fraction of `total` that `self` takes, over all resources. A resource of which `total` has
    /// none counts as 0.
    #[must_use]
    pub fn dominant_fraction(&self, total: &Self) -> f64 {
        let part = self.as_array();
        let whole = total.as_array();
        part.iter()
            .zip(whole)
            .filter(|(_, w)| *w > 0)
            .map(|(p, w)| ratio(*p, w))
            .fold(0.0, f64::max)
    }

    fn zip(&self, other: &Self, f: impl Fn(u64, u64) -> u64) -> Self {
        let (a, b) = (self.as_array(), other.as_array());
        Self::new(f(a[0], b[0]), f(a[1], b[1]), f(a[2], b[2]))
    }
}

/// Divides two amounts as floating-point numbers.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "amounts stay far below 2^52")]
pub fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole as f64
}
