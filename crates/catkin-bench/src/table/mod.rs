//! Result tables of repeated runs.

/// The largest value that a histogram of a benchmark records. Larger ones are recorded as this value.
pub const MAX_RECORDED_VALUE: u64 = 100_000_000_000;

/// Prints the title and the head of a table. `columns` is the row of column names, with a `|` on both sides.
pub fn print_heading(title: &str, columns: &str) {
    println!("\n## {title}\n\n{columns}");
    let cells = columns.matches('|').count().saturating_sub(1);
    println!("|{}", " --- |".repeat(cells));
}

/// Returns a table cell with minimum, median and maximum of `values`, each with `digits` decimal places.
#[must_use]
pub fn spread(values: &[f64], digits: usize) -> String {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let (first, last) =
        (sorted.first().copied().unwrap_or(0.0), sorted.last().copied().unwrap_or(0.0));
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or(0.0);
    format!("{first:.digits$} / {median:.digits$} / {last:.digits$}")
}

/// Returns the median of `values`, or 0 if there are none.
#[must_use]
pub fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied().unwrap_or(0.0)
}

/// Returns a table cell that states whether a goal was met.
#[must_use]
pub fn goal_cell(is_met: bool) -> &'static str {
    if is_met { "met" } else { "NOT MET" }
}
