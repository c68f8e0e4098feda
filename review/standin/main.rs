//! Plays a case of the review: `standin CASE RECORD`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case
//! could not run. `TROUBLE=0` leaves the disruption out.

mod budget;
mod cancel;
mod deadly;
mod deployment;
mod dropped;
mod executor;
mod failures;
mod http;
mod json;
mod kinds;
mod lasting;
mod numbers;
mod record;
mod store;

use record::Record;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

/// A case ends within 120 s.
const TIME_LIMIT: Duration = Duration::from_secs(110);

/// How a case ended.
pub enum Verdict {
    Held,
    Broken(String),
    NotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, file] = args.as_slice() else { return ExitCode::from(2) };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    deployment::limit_time(TIME_LIMIT);
    let record = Arc::new(Record::new(file));
    record.write(if trouble { "with the disruption" } else { "without the disruption" });
    let verdict = match case.as_str() {
        "budget" => budget::play(&record, trouble),
        "cancel" => cancel::play(&record, trouble),
        "deadly" => deadly::play(&record, trouble),
        "dropped" => dropped::play(&record, trouble),
        "failures" => failures::play(&record, trouble),
        "numbers" => numbers::play(&record, trouble),
        "kinds" => kinds::play(&record, trouble),
        "lasting" => lasting::play(&record, trouble),
        _ => Verdict::NotRun("no such case".to_owned()),
    };
    let (code, text) = match verdict {
        Verdict::Held => (0, "the rule held".to_owned()),
        Verdict::Broken(why) => (1, format!("the rule was broken: {why}")),
        Verdict::NotRun(why) => (2, format!("the case could not run: {why}")),
    };
    record.write(&text);
    println!("{case}: {text}");
    ExitCode::from(code)
}
