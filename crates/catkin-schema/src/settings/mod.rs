//! Parses settings from TOML, checks them, and lists the effective values with the source of each.

mod check;

pub use crate::generated_settings::{
    Access, Daemon, Gate, Lease, Limits, Log, LogFormat, Peer, Platform, Role, Settings, Shards,
    Token,
};

use catkin_types::Code;

/// An error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{file}:{line}: {key}: {description} (code {})", Code::BAD_SETTINGS.number())]
pub struct Problem {
    /// The name of the file, as passed to [`parse`].
    pub file: String,
    /// The line of the key, counted from 1. If the key is missing, the line of its table's header, or 1.
    pub line: usize,
    /// The dotted key. If the text is not valid TOML or does not match the schema, the text before the `=` on the line.
    pub key: String,
    /// What is wrong and which values are allowed.
    pub description: String,
}

/// Parses and checks the settings in `text`, which was read from `file`.
///
/// # Errors
/// Returns every problem found. If the text is not valid TOML or does not match the schema, only the first problem is
/// returned.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let settings: Settings = toml::from_str(text).map_err(|e| vec![malformed(file, text, &e)])?;
    let found = check::problems(&settings);
    if found.is_empty() {
        return Ok(settings);
    }
    let problem = |(key, description): (String, String)| {
        let line = line_of_key(text, &key);
        Problem { file: file.to_owned(), line, key, description }
    };
    Err(found.into_iter().map(problem).collect())
}

fn malformed(file: &str, text: &str, e: &toml::de::Error) -> Problem {
    let start = e.span().map_or(0, |s| s.start);
    let line = text.get(..start).unwrap_or(text).matches('\n').count() + 1;
    let source = text.lines().nth(line - 1).unwrap_or_default();
    let key = source.split('=').next().unwrap_or_default().trim().to_owned();
    Problem { file: file.to_owned(), line, key, description: e.message().replace('\n', " ") }
}

/// Returns the line of a dotted key such as `lease.renew_ms`: the line below the header of the key's table that sets
/// the last part of the key. Returns the line of the header if no line sets it.
fn line_of_key(text: &str, key: &str) -> usize {
    let (table, name) = key.rsplit_once('.').unwrap_or(("", key));
    let table = table.split('[').next().unwrap_or_default();
    let mut inside = table.is_empty();
    let mut header = 1;
    for (i, line) in text.lines().enumerate() {
        let line = line.trim();
        if line.starts_with('[') {
            inside = line.trim_matches(['[', ']']) == table;
            if inside {
                header = i + 1;
            }
        }
        if inside && line.split('=').next().is_some_and(|k| k.trim() == name) {
            return i + 1;
        }
    }
    header
}

/// An effective value and its source.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{key} = {value}  # {source}")]
pub struct EffectiveValue {
    /// The dotted key, such as `lease.renew_ms`.
    pub key: String,
    /// The value as TOML, or `(hidden)` for a token.
    pub value: String,
    /// `file` if the settings file sets the value, otherwise `default`.
    pub source: &'static str,
}

/// Returns every effective value in order of key. `text` is the text that `settings` was parsed from.
#[must_use]
pub fn effective(settings: &Settings, text: &str) -> Vec<EffectiveValue> {
    let from_file: toml::Table = toml::from_str(text).unwrap_or_default();
    let all = toml::Table::try_from(settings).unwrap_or_default();
    let mut out = Vec::new();
    flatten("", &toml::Value::Table(all), Some(&toml::Value::Table(from_file)), &mut out);
    out
}

fn flatten(
    key: &str,
    value: &toml::Value,
    from_file: Option<&toml::Value>,
    out: &mut Vec<EffectiveValue>,
) {
    if let toml::Value::Table(table) = value {
        for (k, v) in table {
            let key = if key.is_empty() { k.clone() } else { format!("{key}.{k}") };
            flatten(&key, v, from_file.and_then(|g| g.get(k)), out);
        }
        return;
    }
    let source = if from_file.is_some() { "file" } else { "default" };
    let value = if key.ends_with("token") { "(hidden)".to_owned() } else { value.to_string() };
    out.push(EffectiveValue { key: key.to_owned(), value, source });
}
