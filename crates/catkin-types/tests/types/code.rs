//! The table of result codes in the docs is the table in the code.

use catkin_types::code::TABLE;
use std::fmt::Write;

#[test]
fn the_docs_have_the_same_table() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs/RESULT-CODES.md");
    let docs = std::fs::read_to_string(path).expect("docs/RESULT-CODES.md");
    let mut table = String::new();
    for e in TABLE {
        writeln!(table, "| {} | {} | {} | {} |", e.number, e.status, e.outcome, e.meaning)
            .expect("memory");
    }
    assert!(docs.contains(&table), "docs/RESULT-CODES.md has to have:\n{table}");
}

#[test]
fn numbers_differ_and_only_grow() {
    assert!(TABLE.windows(2).all(|w| w[0].number < w[1].number));
}
