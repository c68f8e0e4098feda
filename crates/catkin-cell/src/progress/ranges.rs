//! Sets of small numbers as text, such as `0-3,7`.

use std::fmt::Write;

/// The largest number of elements of a set that is parsed.
const MAX_ELEMENTS: usize = 1_000_000;

/// The text is not a set of numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("not a set of numbers")]
pub(super) struct Invalid;

/// Returns the ranges of consecutive numbers, first and last, of numbers in ascending order.
pub(super) fn ranges(numbers: impl IntoIterator<Item = u32>) -> Vec<(u32, u32)> {
    let mut ranges: Vec<(u32, u32)> = Vec::new();
    for n in numbers {
        match ranges.last_mut() {
            Some((_, last)) if last.checked_add(1) == Some(n) => *last = n,
            _ => ranges.push((n, n)),
        }
    }
    ranges
}

/// Returns the text of ranges.
pub(super) fn format(ranges: &[(u32, u32)]) -> String {
    let mut buf = String::new();
    for (first, last) in ranges {
        let separator = if buf.is_empty() { "" } else { "," };
        // Writing to a string does not fail.
        let _ = write!(buf, "{separator}{first}");
        if last > first {
            let _ = write!(buf, "-{last}");
        }
    }
    buf
}

/// Parses the text of ranges into numbers.
pub(super) fn parse(text: &str) -> Result<Vec<u32>, Invalid> {
    let mut numbers = Vec::new();
    for range in text.split(',').filter(|range| !range.is_empty()) {
        let (first, last) = range.split_once('-').unwrap_or((range, range));
        let first: u32 = first.parse().map_err(|_| Invalid)?;
        let last: u32 = last.parse().map_err(|_| Invalid)?;
        let len = last.checked_sub(first).ok_or(Invalid)? as usize;
        if numbers.len() + len >= MAX_ELEMENTS {
            return Err(Invalid);
        }
        numbers.extend(first..=last);
    }
    Ok(numbers)
}
