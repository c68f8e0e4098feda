//! Weighted max-min fair shares over dominant resources, guarantees first.

use catkin_types::Resources;
use catkin_types::resources::ratio;

/// What one row asks for.
#[derive(Clone, Copy, Debug, Default)]
pub struct RowDemand {
    /// The weight.
    pub weight: u32,
    /// What its running and waiting work would take.
    pub demand: Resources,
    /// What it gets before any sharing.
    pub guaranteed: Resources,
    /// What it gets at most. Zero stands for no limit.
    pub limit: Resources,
}

/// Below this a resource or a demand counts as used up, as a fraction of the whole.
const EPSILON: f64 = 1e-9;

/// The fraction that stands for a demand of something there is none of: it can only be met at a level near zero.
const UNAVAILABLE: f64 = 1e12;

/// One claim while the level rises. All amounts are fractions of the total.
struct RowFill {
    weight: f64,
    /// The part of the total that the whole demand takes, by resource.
    demand: [f64; 3],
    /// The fraction of the demand that is met.
    met: f64,
    /// The fraction of the demand at which it stops.
    max_met: f64,
    dominant: f64,
}

/// The share of each claim, in the same order. Their sum is at most `total`.
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

/// The largest fraction of `demand` that is within `bound`. A zero in the bound limits nothing.
fn fraction_within(demand: &Resources, bound: &Resources) -> f64 {
    let pairs = demand.as_array().into_iter().zip(bound.as_array());
    let limits = pairs.filter(|(d, b)| *d > 0 && *b > 0);
    limits.map(|(d, b)| ratio(b, d)).fold(1.0, f64::min)
}

/// The largest fraction of `demand` that the guarantee covers. A zero in the guarantee covers nothing.
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
    // Guarantees that are more than the whole, after a loss of workers, shrink alike.
    let scale = sum.iter().copied().fold(1.0, f64::max).recip();
    for (f, w) in fills.iter_mut().zip(&covered) {
        f.met = w * scale;
        add(free, &f.demand, -f.met);
    }
}

/// Raises every claim that can still grow until one of them or a resource is used up.
fn raise_lowest(fills: &mut [RowFill], free: &mut [f64; 3]) -> bool {
    let grows = |f: &RowFill| {
        let blocked = f.demand.iter().zip(&*free).any(|(d, left)| *d > 0.0 && *left <= EPSILON);
        f.dominant > 0.0 && f.met < f.max_met - EPSILON && !blocked
    };
    let active: Vec<usize> = (0..fills.len()).filter(|i| grows(&fills[*i])).collect();
    if active.is_empty() {
        return false;
    }
    // Claims at the lowest level rise first, up to the next higher one.
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
    // Rounded down, but for what is only the error of the arithmetic.
    Resources::from_array(r.as_array().map(|x| (x as f64 * by + 1e-6).floor() as u64))
}
