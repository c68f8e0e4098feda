//! Takes out of a session what differs from run to run.

/// Replaces request ids, jobs and ports.
pub fn normalise(text: &str) -> String {
    let mut out = String::new();
    for line in text.lines() {
        // Which daemon's push came last does not matter here.
        let words: Vec<String> =
            line.split_inclusive([' ', '"', ':', '-', ',', ')']).map(word).collect();
        out += &words.concat();
        out.push('\n');
    }
    out
}

fn word(word: &str) -> String {
    let core = word.trim_end_matches([' ', '"', ':', '-', ',', ')']);
    let rest = &word[core.len()..];
    let hex = core.chars().all(|c| c.is_ascii_hexdigit());
    match core.len() {
        32 if hex => format!("<request>{rest}"),
        16 if hex => format!("<job>{rest}"),
        _ => word.to_owned(),
    }
}
