//! Replaces the parts of a session that differ between runs.

/// Replaces request ids and job ids by placeholders.
pub fn normalise(text: &str) -> String {
    let mut out = String::new();
    for line in text.lines() {
        let words: Vec<String> =
            line.split_inclusive([' ', '"', ':', '-', ',', ')']).map(replace_id).collect();
        out += &words.concat();
        out.push('\n');
    }
    out
}

/// Replaces a word if it is a request id (32 hex digits) or a job id (16), apart from separators at its end.
fn replace_id(word: &str) -> String {
    let core = word.trim_end_matches([' ', '"', ':', '-', ',', ')']);
    let rest = &word[core.len()..];
    let hex = core.chars().all(|c| c.is_ascii_hexdigit());
    match core.len() {
        32 if hex => format!("<request>{rest}"),
        16 if hex => format!("<job>{rest}"),
        _ => word.to_owned(),
    }
}
