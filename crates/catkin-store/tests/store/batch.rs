//! Which writes share a transaction.

use catkin_store::Txn;
use catkin_store::batch::{conflicts_of, merge, share};

fn write(key: &str) -> Txn {
    Txn::default().check(key, 0).put(key, "x")
}

#[test]
fn writes_of_the_same_row_do_not_share() {
    let all = [write("a"), write("b"), write("a"), write("c")];
    assert_eq!(share(&all, 10), [0, 1, 3]);
    assert_eq!(share(&all, 2), [0, 1]);
}

#[test]
fn a_write_that_waits_keeps_later_ones_behind_it() {
    let all = [write("a"), write("a").put("b", "y"), write("b")];
    assert_eq!(share(&all, 10), [0]);
}

#[test]
fn a_merged_transaction_tells_of_itself() {
    let all = [write("a"), write("b")];
    let txn = merge("new", Some("old"), &all);
    let keys: Vec<_> = txn.puts.iter().map(|p| (p.key.as_str(), p.value.is_some())).collect();
    assert_eq!(keys, [("txn/new", true), ("txn/old", false), ("a", true), ("b", true)]);
    assert_eq!(conflicts_of(&all[0], &["b".into()]), Vec::<String>::new());
}
