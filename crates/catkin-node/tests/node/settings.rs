//! Valid settings, and error reports for invalid ones.

use catkin_node::settings::parse;

const GOOD: &str = r#"
[daemon]
id = "edge-1"
ip = "10.1.0.13"
zone = "attica-a"
region = "attica"
[regions]
"attica-a" = "attica"
[listen]
clients = "10.1.0.13:8161"
ready = "10.1.0.13:8167"
peer_port = 7720
metrics_port = 7721
[table]
address = "10.200.1.7:8169"
[adviser]
address = ""
[bounds]
lease_ms = 6000e0
stop_ms = 6e3
"#;

#[test]
fn valid_settings_are_parsed() {
    let s = parse("x.toml", GOOD).expect("valid settings");
    assert_eq!(s.listen.peer_port, 7720);
    assert!((s.bounds.stop_ms - 6_000.0).abs() < f64::EPSILON);
    assert!(
        (s.bounds.gang_wait_ms - 3_000.0).abs() < f64::EPSILON,
        "an absent key has its default value"
    );
}

#[test]
fn the_report_names_file_line_and_key() {
    for (from, to, word) in [
        ("peer_port = 7720", "peer_port = \"x\"", "peer_port"),
        ("[table]\naddress = \"10.200.1.7:8169\"", "[table]\naddress = \"\"", "table.address"),
        ("stop_ms", "stop_millis", "stop_millis"),
        ("id = \"edge-1\"\n", "", "id"),
    ] {
        let report = format!("{:?}", parse("x.toml", &GOOD.replace(from, to)).expect_err(word));
        assert!(report.contains("x.toml") && report.contains(word), "{report}");
    }
}
