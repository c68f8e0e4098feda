//! `catkincartd check` on settings of `node`.

use std::process::{Command, Output};

const GOOD: &str = "[daemon]\nid = \"d\"\nip = \"127.0.0.1\"\nzone = \"z\"\nregion = \"r\"\n\
    [listen]\nclients = \"127.0.0.1:1\"\nready = \"127.0.0.1:2\"\npeer_port = 3\n\
    [table]\naddress = \"127.0.0.1:4\"\n";

fn check(name: &str, text: &str) -> Output {
    let file =
        std::env::temp_dir().join(format!("catkin-check-{}-{name}.toml", std::process::id()));
    std::fs::write(&file, text).expect("a file");
    let mut command = Command::new(env!("CARGO_BIN_EXE_catkincartd"));
    command.arg("check").arg(&file).output().expect("it runs")
}

#[test]
fn sound_settings_are_said_to_be_so() {
    let out = check("good", GOOD);
    assert!(out.status.success(), "{out:?}");
    assert!(String::from_utf8_lossy(&out.stdout).ends_with(": ok\n"));
}

#[test]
fn an_error_names_file_line_and_key() {
    for (name, from, to, says) in [
        ("unknown", "peer_port = 3", "peer_port = 3\npear_port = 4", ["line 10", "pear_port"]),
        ("type", "peer_port = 3", "peer_port = \"x\"", ["line 9", "peer_port"]),
        ("empty", "clients = \"127.0.0.1:1\"", "clients = \"\"", ["listen.clients", "empty"]),
    ] {
        let out = check(name, &GOOD.replace(from, to));
        assert!(!out.status.success(), "{name}");
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(said.contains(name) && says.iter().all(|s| said.contains(s)), "{said}");
    }
}
