//! Tests of the CSV format.

use catkin_limits::{Error, sheet};
use catkin_types::Row;

fn rows() -> Vec<Row> {
    let row = |name: &str| Row { name: name.into(), borrower: "b".into(), ..Row::default() };
    vec![row("a"), Row { weight: 7, preemptible: false, ..row("b") }]
}

#[test]
fn written_sheet_parses_to_the_same_rows() {
    let text = sheet::write(&rows());
    assert_eq!(sheet::read(&text).expect("valid sheet"), rows());
}

#[test]
fn invalid_sheet_is_rejected_with_its_line() {
    let text = sheet::write(&rows());
    let invalid = text.replace(",7,", ",seven,");
    assert!(
        matches!(sheet::read(&invalid), Err(Error::InvalidSheet { line: 3, .. })),
        "{:?}",
        sheet::read(&invalid)
    );
    let duplicate = format!("{text}{}", text.lines().nth(1).expect("first row"));
    assert!(matches!(sheet::read(&duplicate), Err(Error::InvalidSheet { line: 4, .. })));
    assert!(sheet::read(&text.replace("weight", "heaviness")).is_err());
}

#[test]
fn any_text_is_parsed_or_rejected() {
    bolero::check!().with_type::<Vec<u8>>().for_each(|bytes| {
        if let Ok(text) = std::str::from_utf8(bytes) {
            let _ = sheet::read(text);
        }
    });
}
