//! Limit on the request rate of a backend server.

use std::fmt;
use std::time::Duration;

/// Thousandths in one.
const MILLI: f64 = 1_000.0;

/// Requests per second that a backend server takes, in thousandths of a request; may be 0.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RateLimit {
    milli_per_second: u64,
}

/// Error: a number is not a rate.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RateLimitError(f64);

impl fmt::Display for RateLimitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} is not a number of requests per second", self.0)
    }
}

impl std::error::Error for RateLimitError {}

impl RateLimit {
    /// Creates a limit of a number of thousandths of a request per second.
    #[must_use]
    pub fn from_milli_per_second(milli_per_second: u64) -> Self {
        Self { milli_per_second }
    }

    /// Requests per second, in thousandths.
    #[must_use]
    pub fn milli_per_second(self) -> u64 {
        self.milli_per_second
    }

    /// Requests per second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.milli_per_second as f64 / MILLI
    }

    /// Time between two requests that are spread evenly; `None` if no request is allowed.
    #[must_use]
    pub fn interval(self) -> Option<Duration> {
        (self.milli_per_second > 0)
            .then(|| Duration::from_secs_f64(MILLI / self.milli_per_second as f64))
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = RateLimitError;

    /// Rounds down to a thousandth, so that the limit is never exceeded.
    fn try_from(per_second: f64) -> Result<Self, Self::Error> {
        if !per_second.is_finite() || per_second < 0.0 {
            return Err(RateLimitError(per_second));
        }
        Ok(Self { milli_per_second: (per_second * MILLI) as u64 })
    }
}
