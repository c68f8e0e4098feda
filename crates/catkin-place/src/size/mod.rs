//! Estimates the sizes of tasks from measured peaks, for kinds of work whose declared sizes are far off.

use catkin_types::Resources;
use hdrhistogram::Histogram;

/// The settings of a [`SizeEstimator`].
#[derive(Clone, Debug)]
pub struct Options {
    /// The number of ended tasks from which on the measured peaks are used instead of the declared size.
    pub min_samples: u64,
    /// The quantile of the measured peaks that is reserved, from 0 to 1.
    pub quantile: f64,
    /// The lower bound on the reserved size, in thousandths of the declared size.
    pub min_permille: u64,
    /// The upper bound on the reserved size, in thousandths of the declared size.
    pub max_permille: u64,
}

impl Default for Options {
    fn default() -> Self {
        Self { min_samples: 20, quantile: 0.95, min_permille: 100, max_permille: 8_000 }
    }
}

const SIGNIFICANT_DIGITS: u8 = 2;
const HISTOGRAM_MAX_PERMILLE: u64 = 1_000_000;
const PERMILLE: u64 = 1_000;

/// Histograms of the CPU and memory peaks of one kind of work, relative to the declared sizes.
#[derive(Clone, Debug)]
pub struct SizeEstimator {
    opt: Options,
    cpu: Histogram<u32>,
    memory: Histogram<u32>,
}

impl SizeEstimator {
    /// Returns an estimator without samples.
    ///
    /// # Panics
    /// Never: the bounds of the histograms are constants within the valid range.
    #[must_use]
    pub fn new(opt: Options) -> Self {
        let empty = || {
            Histogram::new_with_max(HISTOGRAM_MAX_PERMILLE, SIGNIFICANT_DIGITS)
                .expect("histogram bounds are within the valid range")
        };
        Self { opt, cpu: empty(), memory: empty() }
    }

    /// Records the peak usage of an ended task with the declared size `declared`.
    pub fn observe(&mut self, declared: &Resources, peak: &Resources) {
        self.cpu.saturating_record(permille(peak.cpu_milli, declared.cpu_milli));
        self.memory.saturating_record(permille(peak.memory_mib, declared.memory_mib));
    }

    /// Returns the size to reserve for a task that declares `declared`. Accelerators are reserved as declared.
    #[must_use]
    pub fn estimate(&self, declared: &Resources) -> Resources {
        if self.cpu.len() < self.opt.min_samples {
            return *declared;
        }
        Resources {
            cpu_milli: self.scale(declared.cpu_milli, &self.cpu),
            memory_mib: self.scale(declared.memory_mib, &self.memory),
            accelerators: declared.accelerators,
        }
    }

    fn scale(&self, declared: u64, peaks: &Histogram<u32>) -> u64 {
        let p = peaks.value_at_quantile(self.opt.quantile);
        let p = p.clamp(self.opt.min_permille, self.opt.max_permille);
        declared.saturating_mul(p).div_ceil(PERMILLE)
    }
}

fn permille(part: u64, whole: u64) -> u64 {
    if whole == 0 { 0 } else { part.saturating_mul(PERMILLE).div_ceil(whole) }
}
