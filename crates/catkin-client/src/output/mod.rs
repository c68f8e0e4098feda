//! Writes results as text tables or as JSON.

use crate::cli::Output;
use serde_json::Value;
use std::io::Write;

/// Writes a list of objects. A table has only the fields in `columns`, JSON has all.
pub(crate) fn list(
    out: &mut dyn Write,
    output_format: Output,
    rows: &[Value],
    columns: &[&str],
) -> std::io::Result<()> {
    if output_format == Output::Json {
        return json(out, &Value::Array(rows.to_vec()));
    }
    let header: Vec<String> = columns.iter().map(|c| c.to_uppercase()).collect();
    let line = |row: &Value| columns.iter().map(|c| cell(row.get(*c))).collect::<Vec<_>>();
    let lines: Vec<Vec<String>> = std::iter::once(header).chain(rows.iter().map(line)).collect();
    let width = |i: usize| lines.iter().map(|l| l[i].len()).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns.len()).map(width).collect();
    for line in &lines {
        let cells = line.iter().zip(&widths).map(|(c, w)| format!("{c:<w$}"));
        writeln!(out, "{}", cells.collect::<Vec<_>>().join("  ").trim_end())?;
    }
    Ok(())
}

/// Writes one object. The text form has one field per line.
pub(crate) fn object(
    out: &mut dyn Write,
    output_format: Output,
    value: &Value,
) -> std::io::Result<()> {
    let Value::Object(fields) = value else { return json(out, value) };
    if output_format == Output::Json {
        return json(out, value);
    }
    for (name, field) in fields {
        writeln!(out, "{name}: {}", cell(Some(field)))?;
    }
    Ok(())
}

/// Writes indented JSON.
pub(crate) fn json(out: &mut dyn Write, value: &Value) -> std::io::Result<()> {
    writeln!(out, "{}", serde_json::to_string_pretty(value).unwrap_or_default())
}

/// Formats a value for a table. Resource amounts are abbreviated; a missing value is `-`.
fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(s)) => s.clone(),
        Some(Value::Object(o)) if o.contains_key("cpu_milli") => {
            let amount = |k: &str| o.get(k).and_then(Value::as_u64).unwrap_or_default();
            format!(
                "{}m/{}Mi/{}a",
                amount("cpu_milli"),
                amount("memory_mib"),
                amount("accelerators")
            )
        }
        Some(other) => other.to_string(),
    }
}
