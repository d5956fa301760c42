//! Bounds on what callers may send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Bounds on what callers may send, and on the time that they may take.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: u64,
    /// Time in which the head of a request must be whole.
    pub header_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
}
