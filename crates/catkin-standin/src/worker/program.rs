//! What a stand-in task does: `sleep MS`, `fail MS`, each with an optional `use PERCENT` of the declared size.

use catkin_lease::message::Ending;
use catkin_types::Resources;
use std::time::Duration;

/// A parsed program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Program {
    /// How long it runs.
    pub length: Duration,
    /// How it ends.
    pub ending: Ending,
    /// What it uses, in percent of what was declared.
    pub percent: u64,
}

impl Program {
    /// Reads a program. Words that are not known are passed over.
    #[must_use]
    pub fn parse(text: &str) -> Self {
        let mut program = Self { length: Duration::ZERO, ending: Ending::Ok, percent: 100 };
        let words: Vec<&str> = text.split_whitespace().collect();
        for pair in words.chunks_exact(2) {
            let Ok(n) = pair[1].parse::<u64>() else { continue };
            match pair[0] {
                "sleep" => program.length = Duration::from_millis(n),
                "fail" => {
                    program.length = Duration::from_millis(n);
                    program.ending = Ending::Failed;
                }
                "use" => program.percent = n,
                _ => {}
            }
        }
        program
    }

    /// What it uses of a declared size.
    #[must_use]
    pub fn used(&self, declared: Resources) -> Resources {
        Resources::from_array(declared.as_array().map(|x| x.saturating_mul(self.percent) / 100))
    }
}
