//! Tests that the documented table of result codes matches the code.

use catkin_types::code::TABLE;
use std::fmt::Write;

#[test]
fn documented_table_matches_code() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/RESULT-CODES.md");
    let docs = std::fs::read_to_string(path).expect("docs/RESULT-CODES.md is readable");
    let mut table = String::new();
    for e in TABLE {
        writeln!(table, "| {} | {} | {} | {} |", e.number, e.status, e.outcome, e.meaning)
            .expect("writing to a string does not fail");
    }
    assert!(docs.contains(&table), "docs/RESULT-CODES.md has to have:\n{table}");
}

#[test]
fn numbers_are_strictly_ascending() {
    assert!(TABLE.windows(2).all(|w| w[0].number < w[1].number));
}
