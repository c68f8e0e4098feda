//! `catkincartd check` on settings files of `catkincartd node`.

use std::process::{Command, Output};

const VALID_SETTINGS: &str = "[daemon]\nid = \"d\"\nip = \"127.0.0.1\"\nzone = \"z\"\nregion = \"r\"\n\
    [listen]\nclients = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\npeer_port = 3\n\
    [table]\naddress = \"127.0.0.1:4\"\n";

/// Runs `catkincartd check` on a temporary file with this content.
fn run_check(name: &str, text: &str) -> Output {
    let file =
        std::env::temp_dir().join(format!("catkin-check-{}-{name}.toml", std::process::id()));
    std::fs::write(&file, text).expect("cannot write the settings");
    let mut command = Command::new(env!("CARGO_BIN_EXE_catkincartd"));
    command.arg("check").arg(&file).output().expect("cannot run catkincartd")
}

#[test]
fn valid_settings_are_reported_as_ok() {
    let out = run_check("good", VALID_SETTINGS);
    assert!(out.status.success(), "{out:?}");
    assert!(String::from_utf8_lossy(&out.stdout).ends_with(": ok\n"));
}

#[test]
fn an_error_names_file_line_and_key() {
    for (name, from, to, expected) in [
        ("unknown", "peer_port = 3", "peer_port = 3\npear_port = 4", ["line 10", "pear_port"]),
        ("type", "peer_port = 3", "peer_port = \"x\"", ["line 9", "peer_port"]),
        ("empty", "clients = \"127.0.0.1:1\"", "clients = \"\"", ["listen.clients", "empty"]),
    ] {
        let out = run_check(name, &VALID_SETTINGS.replace(from, to));
        assert!(!out.status.success(), "{name}");
        let error_text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(
            error_text.contains(name) && expected.iter().all(|s| error_text.contains(s)),
            "{error_text}"
        );
    }
}
