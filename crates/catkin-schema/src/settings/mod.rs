//! Settings: read from TOML, checked, and printed with where each value comes from.

mod check;

pub use crate::generated_settings::{
    Access, Daemon, Gate, Lease, Limits, Log, LogFormat, Peer, Platform, Role, Settings, Shards,
    Token,
};

use catkin_types::Code;

/// Something that is wrong with a settings file.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{file}:{line}: {key}: {what} (code {})", Code::BAD_SETTINGS.number())]
pub struct Problem {
    /// The file.
    pub file: String,
    /// The line, counted from 1.
    pub line: usize,
    /// The key, if it is known.
    pub key: String,
    /// What is wrong, and what would be right.
    pub what: String,
}

/// Reads and checks the settings in `text`, which came from `file`.
///
/// # Errors
/// Everything that is wrong. A text that can't be read has one problem.
pub fn parse(file: &str, text: &str) -> Result<Settings, Vec<Problem>> {
    let settings: Settings = toml::from_str(text).map_err(|e| vec![malformed(file, text, &e)])?;
    let found = check::problems(&settings);
    if found.is_empty() {
        return Ok(settings);
    }
    let problem = |(key, what): (String, String)| {
        let line = line_of_key(text, &key);
        Problem { file: file.to_owned(), line, key, what }
    };
    Err(found.into_iter().map(problem).collect())
}

fn malformed(file: &str, text: &str, e: &toml::de::Error) -> Problem {
    let start = e.span().map_or(0, |s| s.start);
    let line = text.get(..start).unwrap_or(text).matches('\n').count() + 1;
    let source = text.lines().nth(line - 1).unwrap_or_default();
    let key = source.split('=').next().unwrap_or_default().trim().to_owned();
    Problem { file: file.to_owned(), line, key, what: e.message().replace('\n', " ") }
}

/// The line of a dotted key such as `lease.renew_ms`: the key's last part below the header of its table.
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

/// One effective value and where it comes from.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
#[display("{key} = {value}  # {source}")]
pub struct Effective {
    /// The dotted key.
    pub key: String,
    /// The value.
    pub value: String,
    /// `file` or `default`.
    pub source: &'static str,
}

/// Every value that is in force, in order of key.
#[must_use]
pub fn effective(settings: &Settings, text: &str) -> Vec<Effective> {
    let given: toml::Table = toml::from_str(text).unwrap_or_default();
    let all = toml::Table::try_from(settings).unwrap_or_default();
    let mut out = Vec::new();
    flatten("", &toml::Value::Table(all), Some(&toml::Value::Table(given)), &mut out);
    out
}

fn flatten(key: &str, value: &toml::Value, given: Option<&toml::Value>, out: &mut Vec<Effective>) {
    if let toml::Value::Table(table) = value {
        for (k, v) in table {
            let key = if key.is_empty() { k.clone() } else { format!("{key}.{k}") };
            flatten(&key, v, given.and_then(|g| g.get(k)), out);
        }
        return;
    }
    let source = if given.is_some() { "file" } else { "default" };
    let value = if key.ends_with("token") { "(hidden)".to_owned() } else { value.to_string() };
    out.push(Effective { key: key.to_owned(), value, source });
}
