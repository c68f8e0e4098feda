//! Tables for people and JSON for programs.

use crate::cli::Output;
use serde_json::Value;
use std::io::Write;

/// Prints a list of objects, with these columns in a table.
pub(crate) fn list(
    out: &mut dyn Write,
    form: Output,
    rows: &[Value],
    columns: &[&str],
) -> std::io::Result<()> {
    if form == Output::Json {
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

/// Prints one object, a field a line.
pub(crate) fn object(out: &mut dyn Write, form: Output, value: &Value) -> std::io::Result<()> {
    let Value::Object(fields) = value else { return json(out, value) };
    if form == Output::Json {
        return json(out, value);
    }
    for (name, field) in fields {
        writeln!(out, "{name}: {}", cell(Some(field)))?;
    }
    Ok(())
}

/// Prints JSON.
pub(crate) fn json(out: &mut dyn Write, value: &Value) -> std::io::Result<()> {
    writeln!(out, "{}", serde_json::to_string_pretty(value).unwrap_or_default())
}

/// A value in a table. Resources are written short.
fn cell(value: Option<&Value>) -> String {
    match value {
        None | Some(Value::Null) => "-".into(),
        Some(Value::String(s)) => s.clone(),
        Some(Value::Object(o)) if o.contains_key("cpu_milli") => {
            let n = |k: &str| o.get(k).and_then(Value::as_u64).unwrap_or_default();
            format!("{}m/{}Mi/{}a", n("cpu_milli"), n("memory_mib"), n("accelerators"))
        }
        Some(other) => other.to_string(),
    }
}
