//! Plays one case of the second review. Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod cut_off;
mod deployment;
mod headroom;
mod lasting;
mod late_start;
mod record;
mod suspects;

use record::Record;
use std::path::Path;
use std::process::ExitCode;

/// What a scenario found: whether the rule was broken, or `None` if the case could not run.
pub type Outcome = Option<bool>;

#[tokio::main(flavor = "multi_thread", worker_threads = 2)]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, path, trouble] = args.as_slice() else {
        eprintln!("usage: review-2 CASE RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let Ok(record) = Record::create(Path::new(path)) else { return ExitCode::from(2) };
    record.line(if trouble { "with the disruption" } else { "without the disruption" });
    let outcome = match case.as_str() {
        "suspects" => suspects::play(trouble, &record).await,
        "cut-off" => cut_off::play(trouble, &record).await,
        "late-start" => late_start::play(trouble, &record).await,
        "headroom" => headroom::play(trouble, &record).await,
        _ => None,
    };
    record.line(match outcome {
        Some(true) => "the rule was broken",
        Some(false) => "the rule held",
        None => "the case could not run",
    });
    ExitCode::from(match outcome {
        Some(true) => 1,
        Some(false) => 0,
        None => 2,
    })
}
