//! Edits and their conflicts.

use catkin_limits::{Change, Edit, Error, Table};
use catkin_types::{Resources, Row};

fn row(name: &str, weight: u32) -> Row {
    Row { name: name.into(), borrower: "b".into(), weight, ..Row::default() }
}

fn set(version: u64, rows: &[Row]) -> Edit {
    let change = |r: &Row| Change { name: r.name.clone(), row: Some(r.clone()) };
    Edit { expect_version: version, changes: rows.iter().map(change).collect() }
}

fn first() -> Table {
    Table::first([row("a", 1), row("b", 1)]).expect("good rows")
}

#[test]
fn edits_of_other_rows_merge() {
    let t = set(1, &[row("a", 2)]).apply(&first()).expect("no conflict");
    let t = set(1, &[row("b", 3)]).apply(&t).expect("no conflict");
    assert_eq!(
        (t.version, t.get("a").map(|r| r.weight), t.get("b").map(|r| r.weight)),
        (3, Some(2), Some(3))
    );
}

#[test]
fn edits_of_the_same_row_conflict_row_by_row() {
    let t = set(1, &[row("a", 2)]).apply(&first()).expect("no conflict");
    let Err(Error::Conflict(rows)) = set(1, &[row("a", 5), row("b", 5)]).apply(&t) else {
        panic!("no conflict")
    };
    assert_eq!(rows.iter().map(|c| (c.row.as_str(), c.changed_in)).collect::<Vec<_>>(), [("a", 2)]);
}

#[test]
fn a_removed_row_conflicts_with_an_edit_of_it() {
    let remove = Edit { expect_version: 1, changes: vec![Change { name: "a".into(), row: None }] };
    let t = remove.apply(&first()).expect("no conflict");
    assert!(t.get("a").is_none());
    assert!(matches!(set(1, &[row("a", 2)]).apply(&t), Err(Error::Conflict(_))));
}

#[test]
fn values_out_of_range_name_the_row() {
    let over =
        Row { guaranteed: Resources::new(2, 0, 0), limit: Resources::new(1, 1, 1), ..row("c", 1) };
    for bad in [row("c", 0), row("c d", 1), Row { borrower: String::new(), ..row("c", 1) }, over] {
        assert!(matches!(set(1, &[bad]).apply(&first()), Err(Error::BadRow { .. })));
    }
    let renamed = Edit {
        expect_version: 1,
        changes: vec![Change { name: "a".into(), row: Some(row("z", 1)) }],
    };
    assert!(matches!(renamed.apply(&first()), Err(Error::BadRow { .. })));
}

/// Whatever operators do at once, an accepted edit is in the next version whole, and no other row changes.
#[test]
fn an_accepted_edit_is_whole_and_changes_nothing_else() {
    bolero::check!().with_type::<Vec<(u8, u8, u8)>>().for_each(|edits| {
        let mut table = first();
        for (name, weight, behind) in edits {
            let name = ["a", "b", "c", "d"][usize::from(name % 4)];
            let expect = table.version.saturating_sub(u64::from(behind % 4));
            let edit = set(expect, &[row(name, u32::from(*weight) + 1)]);
            let seen = table.entries.get(name).map_or(0, |e| e.changed_in);
            match edit.apply(&table) {
                Ok(next) => {
                    assert!(seen <= expect);
                    assert_eq!(next.version, table.version + 1);
                    assert_eq!(next.get(name).map(|r| r.weight), Some(u32::from(*weight) + 1));
                    let others = |t: &Table| {
                        t.rows().filter(|r| r.name != name).cloned().collect::<Vec<_>>()
                    };
                    assert_eq!(others(&next), others(&table));
                    table = next;
                }
                Err(e) => assert!(matches!(e, Error::Conflict(_)) && seen > expect),
            }
        }
    });
}
