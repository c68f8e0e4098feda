//! Tests of the defaults of the settings and of the problems that are reported for invalid settings.

use catkin_schema::settings::{
    Access, Gate, Lease, Limits, Log, Settings, Shards, effective, parse,
};
use std::fmt::Write;
use std::path::Path;

const VALID: &str = r#"
[daemon]
id = "a"
region = "r"
zone = "z"
http_listen = "127.0.0.1:1"
peer_listen = "127.0.0.1:2"

[platform]
table_url = "http://127.0.0.1:3"
objects_url = "http://127.0.0.1:3"
hosts_url = "http://127.0.0.1:3"
"#;

fn valid_settings() -> Settings {
    parse("good", VALID).expect("the settings are valid")
}

/// The code generator takes defaults from two places: those of a section's fields, and that of the whole section. They
/// have to agree.
#[test]
fn defaults_of_sections_agree() {
    let s = valid_settings();
    let same = |a: String, b: String| assert_eq!(a, b);
    same(format!("{:?}", s.gate), format!("{:?}", Gate::default()));
    same(format!("{:?}", s.lease), format!("{:?}", Lease::default()));
    same(format!("{:?}", s.limits), format!("{:?}", Limits::default()));
    same(format!("{:?}", s.shards), format!("{:?}", Shards::default()));
    same(format!("{:?}", s.access), format!("{:?}", Access::default()));
    same(format!("{:?}", s.log), format!("{:?}", Log::default()));
}

#[test]
fn effective_values_have_their_sources() {
    let lines = effective(&valid_settings(), VALID);
    let source_of = |key: &str| lines.iter().find(|e| e.key == key).map(|e| e.source);
    assert_eq!(source_of("daemon.id"), Some("file"));
    assert_eq!(source_of("lease.length_ms"), Some("default"));
}

/// Parses each file of a folder of invalid settings and compares the reported problems with a snapshot.
#[test]
fn problems_of_invalid_settings_name_file_line_and_key() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/schema/bad");
    let mut files: Vec<_> = std::fs::read_dir(folder)
        .expect("the folder is readable")
        .map(|e| e.expect("the entry is readable").path())
        .collect();
    files.sort();
    let mut text = String::new();
    for file in files {
        let name =
            file.file_name().expect("the path has a file name").to_string_lossy().into_owned();
        let content = std::fs::read_to_string(&file).expect("the file is readable");
        let problems = parse(&name, &content).expect_err(&name);
        for p in problems {
            writeln!(text, "{p}").expect("writing to a string does not fail");
        }
    }
    insta::assert_snapshot!("bad_settings", text);
}

#[test]
fn parsing_changed_text_does_not_panic() {
    bolero::check!().with_type::<Vec<(u16, u8)>>().for_each(|changes| {
        let mut bytes = VALID.as_bytes().to_vec();
        for (at, value) in changes {
            let at = usize::from(*at) % bytes.len();
            bytes[at] = *value;
        }
        if let Ok(text) = std::str::from_utf8(&bytes) {
            let _ = parse("any", text);
        }
    });
}
