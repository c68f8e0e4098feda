//! Weighted max-min fair shares by dominant resource, after guarantees. Computed by progressive filling.

use catkin_types::Resources;
use catkin_types::resources::ratio;

/// The demand of a row, with its weight and bounds.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowDemand {
    /// The weight in the sharing of what the guarantees leave. Zero counts as 1.
    pub weight: u32,
    /// The total size of the row's running and waiting tasks.
    pub demand: Resources,
    /// What the row gets of its demand before the rest is shared.
    pub guaranteed: Resources,
    /// The most that the row gets, for each resource. Zero means no limit.
    pub limit: Resources,
}

/// Free fractions of a resource, and unmet fractions of a demand, below this count as zero.
const EPSILON: f64 = 1e-9;

/// Stands for the demanded fraction of a resource of which there is none. Such a demand is met only to a fraction near
/// zero.
const UNAVAILABLE: f64 = 1e12;

/// The state of a row during progressive filling. All amounts are fractions of the total.
struct RowFill {
    weight: f64,
    /// The fraction of the total that the whole demand takes, for each resource.
    demand: [f64; 3],
    /// The fraction of the demand that is met so far.
    met: f64,
    /// The fraction of the demand at which the row's limit is reached, at most 1.
    max_met: f64,
    dominant: f64,
}

/// Returns the share of each row, in the order of `rows`. The sum of the shares is at most `total`.
#[must_use]
pub fn shares(total: &Resources, rows: &[RowDemand]) -> Vec<Resources> {
    let mut free = [1.0; 3];
    let mut fills: Vec<_> = rows.iter().map(|c| prepare(total, c)).collect();
    apply_guarantees(rows, &mut fills, &mut free);
    while raise_lowest(&mut fills, &mut free) {}
    fills.iter().zip(rows).map(|(f, c)| scale(&c.demand, f.met)).collect()
}

fn prepare(total: &Resources, c: &RowDemand) -> RowFill {
    let demand = fractions(&c.demand, total);
    let dominant = demand.iter().copied().fold(0.0, f64::max);
    let max_met = if c.limit.is_zero() { 1.0 } else { fraction_within(&c.demand, &c.limit) };
    RowFill { weight: f64::from(c.weight.max(1)), demand, met: 0.0, max_met, dominant }
}

/// Returns the largest fraction of `demand` that is within `bound`. A zero in `bound` means no limit.
fn fraction_within(demand: &Resources, bound: &Resources) -> f64 {
    let pairs = demand.as_array().into_iter().zip(bound.as_array());
    let limits = pairs.filter(|(d, b)| *d > 0 && *b > 0);
    limits.map(|(d, b)| ratio(b, d)).fold(1.0, f64::min)
}

/// Returns the largest fraction of `demand` that `guaranteed` covers. A zero in `guaranteed` covers nothing.
fn fraction_covered(demand: &Resources, guaranteed: &Resources) -> f64 {
    let pairs = demand.as_array().into_iter().zip(guaranteed.as_array());
    pairs.filter(|(d, _)| *d > 0).map(|(d, g)| ratio(g, d)).fold(1.0, f64::min)
}

fn apply_guarantees(rows: &[RowDemand], fills: &mut [RowFill], free: &mut [f64; 3]) {
    let covered: Vec<f64> = rows
        .iter()
        .zip(&*fills)
        .map(|(c, f)| {
            if c.demand.is_zero() {
                0.0
            } else {
                fraction_covered(&c.demand, &c.guaranteed).min(f.max_met)
            }
        })
        .collect();
    let mut sum = [0.0; 3];
    for (f, w) in fills.iter().zip(&covered) {
        add(&mut sum, &f.demand, *w);
    }
    // Guarantees can exceed the total after a loss of workers. All are scaled down by the same factor then.
    let scale = sum.iter().copied().fold(1.0, f64::max).recip();
    for (f, w) in fills.iter_mut().zip(&covered) {
        f.met = w * scale;
        add(free, &f.demand, -f.met);
    }
}

/// Raises the rows at the lowest level until they reach the next level, one reaches its limit, or a resource is used
/// up. Returns whether any row could grow.
fn raise_lowest(fills: &mut [RowFill], free: &mut [f64; 3]) -> bool {
    let grows = |f: &RowFill| {
        let blocked = f.demand.iter().zip(&*free).any(|(d, left)| *d > 0.0 && *left <= EPSILON);
        f.dominant > 0.0 && f.met < f.max_met - EPSILON && !blocked
    };
    let active: Vec<usize> = (0..fills.len()).filter(|i| grows(&fills[*i])).collect();
    if active.is_empty() {
        return false;
    }
    // Only the rows at the lowest level grow, up to the next higher level.
    let level = |f: &RowFill| f.met * f.dominant / f.weight;
    let lowest = active.iter().map(|i| level(&fills[*i])).fold(f64::INFINITY, f64::min);
    let at_lowest = |i: &&usize| level(&fills[**i]) <= lowest + EPSILON;
    let rising: Vec<usize> = active.iter().filter(at_lowest).copied().collect();
    let higher = active.iter().map(|i| level(&fills[*i])).filter(|l| *l > lowest + EPSILON);
    let mut step = higher.fold(f64::INFINITY, f64::min) - lowest;
    let mut rate = [0.0; 3];
    for i in &rising {
        let f = &fills[*i];
        step = step.min((f.max_met - f.met) * f.dominant / f.weight);
        add(&mut rate, &f.demand, f.weight / f.dominant);
    }
    for (left, r) in free.iter().zip(rate).filter(|(_, r)| *r > 0.0) {
        step = step.min(left / r);
    }
    for i in &rising {
        let f = &mut fills[*i];
        let more = step * f.weight / f.dominant;
        f.met += more;
        add(free, &f.demand, -more);
    }
    true
}

fn add(sum: &mut [f64; 3], part: &[f64; 3], times: f64) {
    for (s, p) in sum.iter_mut().zip(part) {
        *s += p * times;
    }
}

fn fractions(r: &Resources, total: &Resources) -> [f64; 3] {
    let (r, t) = (r.as_array(), total.as_array());
    let part = |i: usize| match (r[i], t[i]) {
        (0, _) => 0.0,
        (_, 0) => UNAVAILABLE,
        (part, whole) => ratio(part, whole),
    };
    [part(0), part(1), part(2)]
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "amounts stay far below 2^52"
)]
fn scale(r: &Resources, by: f64) -> Resources {
    // Rounds down, except for values that are below an integer only by the error of the arithmetic.
    Resources::from_array(r.as_array().map(|x| (x as f64 * by + 1e-6).floor() as u64))
}
