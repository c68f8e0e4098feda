//! The table as comma-separated values, for editing in a spreadsheet program.

use crate::Error;
use catkin_types::row::Urgency;
use catkin_types::{Resources, Row};
use serde::{Deserialize, Serialize};

/// A line of the sheet: a row with one column for each resource.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    name: String,
    borrower: String,
    service: String,
    weight: u32,
    guaranteed_cpu_milli: u64,
    guaranteed_memory_mib: u64,
    guaranteed_accelerators: u64,
    limit_cpu_milli: u64,
    limit_memory_mib: u64,
    limit_accelerators: u64,
    max_running: u64,
    urgency: Urgency,
    queue_bound: u64,
    max_wait_ms: u64,
    preemptible: bool,
    at_most_once: bool,
}

impl From<&Row> for Line {
    fn from(r: &Row) -> Self {
        Self {
            name: r.name.clone(),
            borrower: r.borrower.clone(),
            service: r.service.clone(),
            weight: r.weight,
            guaranteed_cpu_milli: r.guaranteed.cpu_milli,
            guaranteed_memory_mib: r.guaranteed.memory_mib,
            guaranteed_accelerators: r.guaranteed.accelerators,
            limit_cpu_milli: r.limit.cpu_milli,
            limit_memory_mib: r.limit.memory_mib,
            limit_accelerators: r.limit.accelerators,
            max_running: r.max_running,
            urgency: r.urgency,
            queue_bound: r.queue_bound,
            max_wait_ms: r.max_wait_ms,
            preemptible: r.preemptible,
            at_most_once: r.at_most_once,
        }
    }
}

impl From<Line> for Row {
    fn from(l: Line) -> Self {
        Self {
            name: l.name,
            borrower: l.borrower,
            service: l.service,
            weight: l.weight,
            guaranteed: Resources::new(
                l.guaranteed_cpu_milli,
                l.guaranteed_memory_mib,
                l.guaranteed_accelerators,
            ),
            limit: Resources::new(l.limit_cpu_milli, l.limit_memory_mib, l.limit_accelerators),
            max_running: l.max_running,
            urgency: l.urgency,
            queue_bound: l.queue_bound,
            max_wait_ms: l.max_wait_ms,
            preemptible: l.preemptible,
            at_most_once: l.at_most_once,
        }
    }
}

/// Returns the rows as CSV, with a header line.
#[must_use]
pub fn write<'a>(rows: impl IntoIterator<Item = &'a Row>) -> String {
    let mut w = csv::Writer::from_writer(Vec::new());
    for row in rows {
        // Serializing plain fields into memory can't fail.
        let _ = w.serialize(Line::from(row));
    }
    let bytes = w.into_inner().unwrap_or_default();
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Parses rows from CSV with a header line.
///
/// # Errors
/// Returns [`Error::InvalidSheet`] with the line number if a column is missing, unknown or malformed, or if a row name
/// occurs twice.
pub fn read(text: &str) -> Result<Vec<Row>, Error> {
    let mut r = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(text.as_bytes());
    let mut rows: Vec<Row> = Vec::new();
    for line in r.deserialize::<Line>() {
        let row = Row::from(line.map_err(|e| invalid_sheet(&e))?);
        if rows.iter().any(|r| r.name == row.name) {
            let line = rows.len() as u64 + 2;
            return Err(Error::InvalidSheet {
                line,
                problem: format!("row {} occurs twice", row.name),
            });
        }
        rows.push(row);
    }
    Ok(rows)
}

fn invalid_sheet(e: &csv::Error) -> Error {
    let line = e.position().map_or(1, csv::Position::line);
    Error::InvalidSheet { line, problem: e.to_string() }
}
