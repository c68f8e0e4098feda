//! A retry budget in proportion to requests, so that retries can't amplify an overload.

/// A token bucket that limits retries to a fraction of the requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
    max_tokens: f64,
    tokens_per_request: f64,
}

impl RetryBudget {
    /// Adds `tokens_per_request` retries with each request and keeps at most `max_tokens`. The bucket starts full.
    #[must_use]
    pub fn new(tokens_per_request: f64, max_tokens: f64) -> Self {
        Self { tokens: max_tokens, max_tokens, tokens_per_request }
    }

    /// Records a request, which adds to the budget.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_request).min(self.max_tokens);
    }

    /// Takes one retry from the budget. Returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
