//! Numbered result codes. `docs/RESULT-CODES.md` has the same table; a test checks that the two agree.

use crate::answer::Outcome;

/// The number of a result code. Every value stands in [`TABLE`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Code(u16);

/// One entry of the table of result codes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Unique in the table.
    pub number: u16,
    /// The HTTP status of an answer with this code.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// One sentence, which is sent to clients and stands in the documentation.
    pub meaning: &'static str,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $outcome:ident, $meaning:literal;)*) => {
        impl Code {
            $(#[doc = $meaning] pub const $name: Self = Self($number);)*
        }
        /// Every code, in ascending order of its number.
        pub const TABLE: &[Entry] = &[
            $(Entry { number: $number, status: $status, outcome: Outcome::$outcome, meaning: $meaning },)*
        ];
    };
}

codes! {
    OK = 1000, 200, Done, "The request is done.";
    JOB_ACCEPTED = 1001, 202, Done, "The job is accepted and durable.";
    LIMITS_ACCEPTED = 1002, 200, Done, "The change of limits is durable and known to a daemon in every region.";
    LIMITS_STORED = 1003, 202, Done, "The change of limits is durable, and a region has not confirmed it yet.";
    CANCEL_ACCEPTED = 1004, 202, Done, "The cancellation is accepted and durable.";
    BAD_REQUEST = 2000, 400, NotRun, "The request is malformed.";
    BODY_TOO_LARGE = 2001, 413, NotRun, "The body is larger than the limit.";
    UNKNOWN_ROW = 2002, 404, NotRun, "No row of that name is in the table of weights and limits.";
    NEVER_FITS = 2003, 422, NotRun, "No worker can ever hold a task of that size.";
    KEY_MISSING = 2004, 400, NotRun, "Work of this row needs an idempotency-key header.";
    NOT_FOUND = 2005, 404, NotRun, "There is nothing of that name.";
    UNAUTHENTICATED = 2006, 401, NotRun, "The token is missing or unknown.";
    FORBIDDEN = 2007, 403, NotRun, "The token's role or borrower does not allow this.";
    CONFLICT = 2008, 409, NotRun, "Another change came first.";
    BAD_ROW = 2009, 422, NotRun, "A row of weights and limits is out of range.";
    KEY_REUSED = 2010, 422, NotRun, "The key was used before with another request.";
    OVER_LIMIT = 2011, 422, NotRun, "The job is larger than its row's limit.";
    BAD_SETTINGS = 2100, 400, NotRun, "The settings are wrong.";
    QUEUE_FULL = 3000, 429, NotRun, "The row's queue is full.";
    WAIT_TOO_LONG = 3001, 429, NotRun, "The expected wait is longer than the row's bound.";
    NO_TARGET = 3002, 503, NotRun, "No live target can take the request now.";
    NO_LIMITS = 3003, 503, NotRun, "The daemon has no table of weights and limits yet.";
    STORE_DOWN = 3004, 503, NotRun, "The platform's table does not answer, and the request needs it.";
    DRAINING = 3005, 503, NotRun, "The daemon is stopping.";
    NO_OWNER = 3006, 503, NotRun, "The shard has no reachable owner now.";
    TARGET_REFUSED = 3007, 503, NotRun, "The target refused the request before running it.";
    TARGET_LOST = 4000, 502, Unknown, "The target's answer was lost after the request was sent.";
    STORE_UNKNOWN = 4001, 503, Unknown, "The platform's table did not say whether a write took effect.";
    INTENT_OPEN = 4002, 409, Unknown, "A request with this key was sent, and its result is not known.";
    IN_PROGRESS = 4003, 409, Unknown, "A request with this key is running.";
    INTERNAL = 5000, 500, Unknown, "The daemon failed inside.";
}

impl Code {
    /// Returns the number, as sent to clients.
    #[must_use]
    pub const fn number(self) -> u16 {
        self.0
    }

    /// Returns the table's entry for the code.
    #[must_use]
    pub fn entry(self) -> &'static Entry {
        TABLE.iter().find(|e| e.number == self.0).unwrap_or(&TABLE[TABLE.len() - 1])
    }

    /// Returns the HTTP status of an answer with this code.
    #[must_use]
    pub fn status(self) -> u16 {
        self.entry().status
    }

    /// Returns whether a request that was answered with this code ran.
    #[must_use]
    pub fn outcome(self) -> Outcome {
        self.entry().outcome
    }

    /// Returns the code with this number, or `None` if the table has no such code.
    #[must_use]
    pub fn from_number(number: u16) -> Option<Self> {
        TABLE.iter().any(|e| e.number == number).then_some(Self(number))
    }
}
