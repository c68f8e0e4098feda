//! The cases of the third review that are scripts: `review-standin-3 CASE FOLDER`. The exit code is 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod daemon;
mod http;
mod record;
mod scene;
mod store;
mod worker;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, dir] = args.as_slice() else { return ExitCode::from(2) };
    let dir = Path::new(dir);
    let outcome = std::panic::catch_unwind(|| match case.as_str() {
        "planned-restarts" => cases::restarts::run(dir),
        "silent-connections" => cases::silent::run(dir),
        _ => None,
    });
    match outcome {
        Ok(Some(true)) => ExitCode::SUCCESS,
        Ok(Some(false)) => ExitCode::from(1),
        Ok(None) | Err(_) => ExitCode::from(2),
    }
}
