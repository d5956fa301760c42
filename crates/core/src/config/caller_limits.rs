//! Limits on the requests that callers may send.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Size and time limits for requests from callers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of the header section, in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body, in bytes.
    pub body_bytes: u64,
    /// Time within which the complete request head must be received.
    pub header_timeout: Duration,
    /// Time after which a connection with no request in progress is closed.
    pub idle_timeout: Duration,
}
