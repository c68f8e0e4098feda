//! Tables of repeated runs.

/// The largest value that a histogram of a measurement keeps apart.
pub const MAX_VALUE: u64 = 100_000_000_000;

/// Prints a heading.
pub fn heading(title: &str, columns: &str) {
    println!("\n## {title}\n\n{columns}");
    let cells = columns.matches('|').count().saturating_sub(1);
    println!("|{}", " --- |".repeat(cells));
}

/// The least, the median and the greatest of some figures, as one cell.
#[must_use]
pub fn spread(values: &[f64], digits: usize) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (first, last) =
        (sorted.first().copied().unwrap_or(0.0), sorted.last().copied().unwrap_or(0.0));
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0.0);
    format!("{first:.digits$} / {median:.digits$} / {last:.digits$}")
}

/// The median of some figures.
#[must_use]
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Whether a goal was met, as a cell.
#[must_use]
pub fn met(yes: bool) -> &'static str {
    if yes { "met" } else { "NOT MET" }
}
