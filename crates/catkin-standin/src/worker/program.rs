//! The programs of simulated tasks: `sleep MS` succeeds and `fail MS` fails after the given time. An optional
//! `use PERCENT` sets the resource usage relative to the declared size.

use catkin_lease::message::Ending;
use catkin_types::Resources;
use std::time::Duration;

/// A parsed program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Program {
    /// The time from start to end.
    pub run_time: Duration,
    /// The result at the end of the run time.
    pub ending: Ending,
    /// The resource usage in percent of the declared size. May exceed 100.
    pub usage_percent: u64,
}

impl Program {
    /// Parses a program. Unknown words are ignored. The default is to succeed immediately with a usage of 100 percent.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut program = Self { run_time: Duration::ZERO, ending: Ending::Ok, usage_percent: 100 };
        let words: Vec<&str> = text.split_whitespace().collect();
        for pair in words.chunks_exact(2) {
            let Ok(n) = pair[1].parse::<u64>() else { continue };
            match pair[0] {
                "sleep" => program.run_time = Duration::from_millis(n),
                "fail" => {
                    program.run_time = Duration::from_millis(n);
                    program.ending = Ending::Failed;
                }
                "use" => program.usage_percent = n,
                _ => {}
            }
        }
        program
    }

    /// Returns the resource usage of a task of the declared size.
    #[must_use]
    pub fn used(&self, declared: Resources) -> Resources {
        Resources::from_array(
            declared.as_array().map(|x| x.saturating_mul(self.usage_percent) / 100),
        )
    }
}
