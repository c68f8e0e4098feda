//! Tests of edits and of conflict detection.

use catkin_limits::{Change, Edit, Error, Table};
use catkin_types::{Resources, Row};

fn row(name: &str, weight: u32) -> Row {
    Row { name: name.into(), borrower: "b".into(), weight, ..Row::default() }
}

fn edit_rows(version: u64, rows: &[Row]) -> Edit {
    let change = |r: &Row| Change { name: r.name.clone(), row: Some(r.clone()) };
    Edit { expect_version: version, changes: rows.iter().map(change).collect() }
}

fn initial_table() -> Table {
    Table::initial([row("a", 1), row("b", 1)]).expect("valid rows")
}

#[test]
fn edits_of_different_rows_merge() {
    let t = edit_rows(1, &[row("a", 2)]).apply(&initial_table()).expect("edit applies");
    let t = edit_rows(1, &[row("b", 3)]).apply(&t).expect("edit applies");
    assert_eq!(
        (t.version, t.get("a").map(|r| r.weight), t.get("b").map(|r| r.weight)),
        (3, Some(2), Some(3))
    );
}

#[test]
fn edits_of_the_same_row_conflict_per_row() {
    let t = edit_rows(1, &[row("a", 2)]).apply(&initial_table()).expect("edit applies");
    let Err(Error::Conflict(rows)) = edit_rows(1, &[row("a", 5), row("b", 5)]).apply(&t) else {
        panic!("expected a conflict")
    };
    assert_eq!(rows.iter().map(|c| (c.row.as_str(), c.changed_in)).collect::<Vec<_>>(), [("a", 2)]);
}

#[test]
fn edit_of_a_removed_row_conflicts() {
    let remove = Edit { expect_version: 1, changes: vec![Change { name: "a".into(), row: None }] };
    let t = remove.apply(&initial_table()).expect("edit applies");
    assert!(t.get("a").is_none());
    assert!(matches!(edit_rows(1, &[row("a", 2)]).apply(&t), Err(Error::Conflict(_))));
}

#[test]
fn invalid_values_are_rejected_with_the_row() {
    let guarantee_above_limit =
        Row { guaranteed: Resources::new(2, 0, 0), limit: Resources::new(1, 1, 1), ..row("c", 1) };
    for invalid in [
        row("c", 0),
        row("c d", 1),
        Row { borrower: String::new(), ..row("c", 1) },
        guarantee_above_limit,
    ] {
        assert!(matches!(
            edit_rows(1, &[invalid]).apply(&initial_table()),
            Err(Error::InvalidRow { .. })
        ));
    }
    let renamed = Edit {
        expect_version: 1,
        changes: vec![Change { name: "a".into(), row: Some(row("z", 1)) }],
    };
    assert!(matches!(renamed.apply(&initial_table()), Err(Error::InvalidRow { .. })));
}

/// An accepted edit is applied completely in the next version and changes no other row, for any sequence of edits by
/// concurrent operators.
#[test]
fn accepted_edit_applies_completely_and_changes_no_other_row() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|edits| {
        let mut table = initial_table();
        for (name, weight, lag) in edits {
            let name = ["a", "b", "c", "d"][usize::from(name % 4)];
            let expect = table.version.saturating_sub(u64::from(lag % 4));
            let edit = edit_rows(expect, &[row(name, u32::from(*weight) + 1)]);
            let last_change = table.entries.get(name).map_or(0, |e| e.changed_in);
            match edit.apply(&table) {
                Ok(next) => {
                    assert!(last_change <= expect);
                    assert_eq!(next.version, table.version + 1);
                    assert_eq!(next.get(name).map(|r| r.weight), Some(u32::from(*weight) + 1));
                    let others = |t: &Table| {
                        t.rows().filter(|r| r.name != name).cloned().collect::<Vec<_>>()
                    };
                    assert_eq!(others(&next), others(&table));
                    table = next;
                }
                Err(e) => assert!(matches!(e, Error::Conflict(_)) && last_change > expect),
            }
        }
    });
}
