//! A budget of retries in proportion to requests, so that retries can't multiply a flood.

/// Retries that may still be made.
#[derive(Clone, Debug)]
pub struct Budget {
    tokens: f64,
    max: f64,
    per_request: f64,
}

impl Budget {
    /// Allows `per_request` retries for each request, and at most `max` saved up.
    #[must_use]
    pub fn new(per_request: f64, max: f64) -> Self {
        Self { tokens: max, max, per_request }
    }

    /// Counts a request.
    pub fn request(&mut self) {
        self.tokens = (self.tokens + self.per_request).min(self.max);
    }

    /// Takes a retry, if one is left.
    pub fn retry(&mut self) -> bool {
        let left = self.tokens >= 1.0;
        if left {
            self.tokens -= 1.0;
        }
        left
    }
}
