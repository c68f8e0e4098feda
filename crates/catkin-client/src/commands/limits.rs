//! The commands on the table of weights and limits and on its audit trail.

use super::Context;
use crate::cli::Limits;
use crate::error::{Error, Exit};
use crate::output;
use catkin_limits::{Change, Edit, Table, sheet};
use catkin_types::{Code, Row};
use serde_json::Value;
use std::path::Path;

const COLUMNS: [&str; 11] = [
    "name",
    "borrower",
    "service",
    "weight",
    "guaranteed",
    "limit",
    "max_running",
    "urgency",
    "queue_bound",
    "max_wait_ms",
    "preemptible",
];

pub(super) async fn run(cx: &mut Context<'_>, command: Limits) -> Result<Exit, Error> {
    match command {
        Limits::Get { row } => get(cx, row).await,
        Limits::Edit { row, values, expect_version } => {
            edit(cx, &row, &values, expect_version).await
        }
        Limits::Remove { row, expect_version } => {
            let table = table(cx).await?;
            let change = Change { name: row, row: None };
            send(cx, expect_version.unwrap_or(table.version), vec![change]).await
        }
        Limits::Import { file, expect_version } => import(cx, &file, expect_version).await,
        Limits::Export => {
            let table = table(cx).await?;
            cx.out.write_all(sheet::write(table.rows()).as_bytes())?;
            Ok(Exit::Done)
        }
        Limits::Diff { file } => diff(cx, &file).await,
        Limits::History { row } => audit(cx, row, None, None).await,
        Limits::Versions => {
            let versions: Value = cx.servers.get("/v1/limits/versions").await?;
            output::object(cx.out, cx.output_format, &versions)?;
            Ok(Exit::Done)
        }
    }
}

async fn table(cx: &Context<'_>) -> Result<Table, Error> {
    cx.servers.get("/v1/limits").await
}

async fn get(cx: &mut Context<'_>, row: Option<String>) -> Result<Exit, Error> {
    let table = table(cx).await?;
    let wanted = |r: &&Row| row.as_ref().is_none_or(|n| r.name == *n);
    let rows: Vec<Value> =
        table.rows().filter(wanted).map(|r| serde_json::to_value(r).unwrap_or_default()).collect();
    if rows.is_empty() && row.is_some() {
        return Err(Error::Usage(format!("there is no row {}", row.unwrap_or_default())));
    }
    if cx.output_format == crate::cli::Output::Table {
        writeln!(cx.out, "version {}", table.version)?;
    }
    output::list(cx.out, cx.output_format, &rows, &COLUMNS)?;
    Ok(Exit::Done)
}

async fn edit(
    cx: &mut Context<'_>,
    name: &str,
    values: &[String],
    expect_version: Option<u64>,
) -> Result<Exit, Error> {
    let table = table(cx).await?;
    let current =
        table.get(name).cloned().unwrap_or_else(|| Row { name: name.into(), ..Row::default() });
    let row = with_values(&current, values)?;
    let change = Change { name: name.to_owned(), row: Some(row) };
    send(cx, expect_version.unwrap_or(table.version), vec![change]).await
}

/// Returns the row with the given columns replaced. `values` has entries of the form `column=value`, with the columns
/// of the sheet.
fn with_values(row: &Row, values: &[String]) -> Result<Row, Error> {
    let text = sheet::write([row]);
    let mut lines = text.lines();
    let header: Vec<&str> = lines.next().unwrap_or_default().split(',').collect();
    let mut cells: Vec<String> =
        lines.next().unwrap_or_default().split(',').map(str::to_owned).collect();
    for value in values {
        let (column, value) = value
            .split_once('=')
            .ok_or_else(|| Error::Usage(format!("{value} has to be column=value")))?;
        let i = header.iter().position(|h| *h == column).ok_or_else(|| {
            Error::Usage(format!(
                "there is no column {column}; the columns are {}",
                header.join(", ")
            ))
        })?;
        value.clone_into(&mut cells[i]);
    }
    let text = format!("{}\n{}\n", header.join(","), cells.join(","));
    let rows = sheet::read(&text).map_err(|e| Error::Usage(e.to_string()))?;
    rows.into_iter().next().ok_or_else(|| Error::Usage("the row is empty".into()))
}

fn read_sheet(file: &Path) -> Result<Vec<Row>, Error> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|e| Error::Usage(format!("{}: {e}", file.display())))?;
    sheet::read(&text).map_err(|e| Error::Usage(format!("{}: {e}", file.display())))
}

async fn import(
    cx: &mut Context<'_>,
    file: &Path,
    expect_version: Option<u64>,
) -> Result<Exit, Error> {
    let rows = read_sheet(file)?;
    let table = match table(cx).await {
        // A new deployment has no table yet: this is the first import.
        Err(Error::Answered(a, _)) if a.code == Code::NO_LIMITS.number() => Table::default(),
        other => other?,
    };
    let edit = Edit::between(&table, &rows);
    if edit.changes.is_empty() {
        writeln!(cx.out, "nothing to change")?;
        return Ok(Exit::Done);
    }
    send(cx, expect_version.unwrap_or(table.version), edit.changes).await
}

async fn diff(cx: &mut Context<'_>, file: &Path) -> Result<Exit, Error> {
    let rows = read_sheet(file)?;
    let table = table(cx).await?;
    let edit = Edit::between(&table, &rows);
    let lines: Vec<Value> = edit.changes.iter().flat_map(|c| differences(&table, c)).collect();
    output::list(cx.out, cx.output_format, &lines, &["row", "column", "old", "new"])?;
    Ok(Exit::Done)
}

/// Returns an object for each column in which the changed row differs from the table.
fn differences(table: &Table, change: &Change) -> Vec<Value> {
    let cells = |row: Option<&Row>| -> Vec<(String, String)> {
        let text = row.map(|r| sheet::write([r])).unwrap_or_default();
        let mut lines = text.lines().map(|l| l.split(',').map(str::to_owned).collect::<Vec<_>>());
        let (header, values) = (lines.next().unwrap_or_default(), lines.next().unwrap_or_default());
        header.into_iter().zip(values).collect()
    };
    let (old, new) = (cells(table.get(&change.name)), cells(change.row.as_ref()));
    let columns = if new.is_empty() { &old } else { &new };
    let value_of = |cells: &[(String, String)], column: &str| {
        cells.iter().find(|(c, _)| c == column).map_or("-".to_owned(), |(_, v)| v.clone())
    };
    let line = |(column, _): &(String, String)| {
        let (old, new) = (value_of(&old, column), value_of(&new, column));
        (old != new).then(
            || serde_json::json!({ "row": change.name, "column": column, "old": old, "new": new }),
        )
    };
    columns.iter().filter_map(line).collect()
}

async fn send(
    cx: &mut Context<'_>,
    expect_version: u64,
    changes: Vec<Change>,
) -> Result<Exit, Error> {
    let edit = Edit { expect_version, changes };
    let edited: Value = match cx.servers.post("/v1/limits", &[], &edit).await {
        Err(Error::Answered(answer, body)) if answer.code == Code::CONFLICT.number() => {
            let rows = body["conflicts"].as_array().cloned().unwrap_or_default();
            output::list(cx.out, cx.output_format, &rows, &["row", "changed_in"])?;
            return Err(Error::Answered(answer, body));
        }
        other => other?,
    };
    let shown = serde_json::json!({
        "version": edited["version"],
        "message": edited["message"],
        "pending": edited["pending"],
    });
    output::object(cx.out, cx.output_format, &shown)?;
    Ok(Exit::Done)
}

pub(super) async fn audit(
    cx: &mut Context<'_>,
    row: Option<String>,
    by: Option<String>,
    day: Option<u64>,
) -> Result<Exit, Error> {
    let params = [("row", row.clone()), ("by", by), ("day", day.map(|d| d.to_string()))];
    let query: Vec<String> =
        params.into_iter().filter_map(|(k, v)| Some(format!("{k}={}", v?))).collect();
    let entries: Vec<Value> = cx.servers.get(&format!("/v1/audit?{}", query.join("&"))).await?;
    if cx.output_format == crate::cli::Output::Json {
        output::json(cx.out, &Value::Array(entries))?;
        return Ok(Exit::Done);
    }
    // An entry can contain changes of several rows; only those of the requested row are shown.
    let wanted = |l: &Value| row.as_ref().is_none_or(|r| l["subject"] == **r);
    let lines: Vec<Value> = entries.iter().flat_map(audit_lines).filter(wanted).collect();
    output::list(
        cx.out,
        cx.output_format,
        &lines,
        &["at_ms", "by", "action", "from", "to", "subject", "old", "new"],
    )?;
    Ok(Exit::Done)
}

/// Returns an object for each row that an entry of the audit trail changed.
fn audit_lines(entry: &Value) -> Vec<Value> {
    let list = |k: &str| entry[k].as_array().cloned().unwrap_or_default();
    let (old, new) = (list("old"), list("new"));
    let line = |subject: &Value, old: &Value, new: &Value| {
        serde_json::json!({
            "at_ms": entry["at_ms"], "by": entry["by"], "action": entry["action"],
            "from": entry["from_version"], "to": entry["to_version"],
            "subject": subject, "old": summary(old), "new": summary(new),
        })
    };
    if new.is_empty() {
        return vec![line(&entry["subject"], &Value::Null, &Value::Null)];
    }
    new.iter().zip(&old).map(|(n, o)| line(&n["name"], &o["row"], &n["row"])).collect()
}

/// Formats a row's weight and limit for a line of the audit trail. The result is null if there is no row.
fn summary(row: &Value) -> Value {
    if row.is_null() {
        return Value::Null;
    }
    let limit = &row["limit"];
    let text =
        format!("weight {} limit {}m/{}Mi", row["weight"], limit["cpu_milli"], limit["memory_mib"]);
    Value::String(text)
}
