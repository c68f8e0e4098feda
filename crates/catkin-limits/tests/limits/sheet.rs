//! The sheet.

use catkin_limits::{Error, sheet};
use catkin_types::Row;

fn rows() -> Vec<Row> {
    let row = |name: &str| Row { name: name.into(), borrower: "b".into(), ..Row::default() };
    vec![row("a"), Row { weight: 7, preemptible: false, ..row("b") }]
}

#[test]
fn a_sheet_reads_back() {
    let text = sheet::write(&rows());
    assert_eq!(sheet::read(&text).expect("good"), rows());
}

#[test]
fn a_bad_sheet_names_its_line() {
    let text = sheet::write(&rows());
    let bad = text.replace(",7,", ",seven,");
    assert!(
        matches!(sheet::read(&bad), Err(Error::BadSheet { line: 3, .. })),
        "{:?}",
        sheet::read(&bad)
    );
    let twice = format!("{text}{}", text.lines().nth(1).expect("a line"));
    assert!(matches!(sheet::read(&twice), Err(Error::BadSheet { line: 4, .. })));
    assert!(sheet::read(&text.replace("weight", "heaviness")).is_err());
}

#[test]
fn any_text_is_read_or_refused() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Ok(text) = std::str::from_utf8(bytes) {
            let _ = sheet::read(text);
        }
    });
}
