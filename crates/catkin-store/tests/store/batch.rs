//! Selecting and merging the writes of a transaction.

use catkin_store::Txn;
use catkin_store::batch::{conflicts_of, merge, select_disjoint};

fn write(key: &str) -> Txn {
    Txn::default().check(key, 0).put(key, "x")
}

#[test]
fn writes_to_the_same_row_do_not_share_a_transaction() {
    let writes = [write("a"), write("b"), write("a"), write("c")];
    assert_eq!(select_disjoint(&writes, 10), [0, 1, 3]);
    assert_eq!(select_disjoint(&writes, 2), [0, 1]);
}

#[test]
fn a_skipped_write_holds_back_later_writes_to_its_rows() {
    let writes = [write("a"), write("a").put("b", "y"), write("b")];
    assert_eq!(select_disjoint(&writes, 10), [0]);
}

#[test]
fn a_merged_transaction_writes_its_status_row_and_removes_the_previous_one() {
    let writes = [write("a"), write("b")];
    let txn = merge("new", Some("old"), &writes);
    let keys: Vec<_> = txn.puts.iter().map(|p| (p.key.as_str(), p.value.is_some())).collect();
    assert_eq!(keys, [("txn/new", true), ("txn/old", false), ("a", true), ("b", true)]);
    assert_eq!(conflicts_of(&writes[0], &["b".into()]), Vec::<String>::new());
}
