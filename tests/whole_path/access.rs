//! Tokens: what callers and operators may do, and that no borrower sees another's work.

use crate::support::{Deployment, Options, expect_stdout};
use serde_json::Value;

/// Tokens `shop`, `coop` and `boss`, by their hashes.
const ACCESS: &str = r#"
tokens = [
    { name = "counter", sha256 = "SHOP", role = "caller", borrower = "shop" },
    { name = "volunteers", sha256 = "COOP", role = "caller", borrower = "coop" },
    { name = "olga", sha256 = "BOSS", role = "operator" },
]
"#;

fn access() -> &'static str {
    let hash = |token: &str| catkin_daemon::gate::sha256_hex(token.as_bytes());
    let text = ACCESS
        .replace("SHOP", &hash("shop"))
        .replace("COOP", &hash("coop"))
        .replace("BOSS", &hash("boss"));
    text.leak()
}

#[test]
fn nobody_sees_or_changes_what_is_not_theirs() {
    let opt = Options {
        name: "access",
        regions: vec![("north", 1)],
        extra_access: access(),
        ..Options::default()
    };
    let d = Deployment::start_with_token(&opt, "boss");
    let run = |token: &str, args: &[&str]| d.run_client(0, &[&["--token", token], args].concat());
    let refused = |token: &str, args: &[&str], code: u16| {
        let out = run(token, args);
        let text = String::from_utf8_lossy(&out.stderr).into_owned();
        assert_eq!(out.status.code(), Some(1), "{args:?}: {text}");
        assert!(text.contains(&format!("code {code}, not run")), "{args:?}: {text}");
    };
    refused("", &["call", "shop-quotes", "q"], 2006);
    refused("wrong", &["call", "shop-quotes", "q"], 2006);
    refused("coop", &["call", "shop-quotes", "q"], 2007);
    refused("shop", &["limits", "edit", "shop-quotes", "weight=1000"], 2007);
    refused("shop", &["audit"], 2007);
    refused("shop", &["drain"], 2007);
    expect_stdout(&run("shop", &["call", "shop-quotes", "q"]));
    let out = expect_stdout(&run("shop", &["--output", "json", "submit", "shop-plans", "sleep 1"]));
    let out: Value = serde_json::from_str(&out).expect("JSON");
    let job = out["job"].as_str().expect("a job");
    // Another borrower is told the same of it as of a job that does not exist.
    refused("coop", &["status", job], 2005);
    refused("coop", &["explain", job], 2005);
    refused("coop", &["cancel", job], 2005);
    expect_stdout(&run("boss", &["status", job]));
    // The audit trail has the operator's name.
    expect_stdout(&run("boss", &["limits", "edit", "shop-quotes", "weight=90"]));
    let audit = expect_stdout(&run("boss", &["audit", "--by", "olga", "--row", "shop-quotes"]));
    assert_eq!(audit.lines().filter(|l| l.contains("olga")).count(), 2, "{audit}");
}
