//! Faults of the log.

use std::collections::BTreeSet;
use std::time::Duration;

/// Way in which the log is out of reach.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Outage {
    /// The log is in reach.
    #[default]
    None,
    /// Connections are accepted and closed.
    Close,
    /// Connections are accepted and requests never answered.
    Silent,
}

/// Faults of a [`LogServer`](super::LogServer), all off by default.
#[derive(Debug, Clone, Default)]
pub struct LogFaults {
    /// Number of next appends that take effect and whose connection is then closed without answer.
    pub lose_answers: u32,
    /// Probability (0 to 1) of the same for every append.
    pub lose_probability: f64,
    /// Time by which every request is delayed before it takes effect.
    pub delay: Duration,
    /// Bytes of an answer a second, as on a slow link.
    pub bytes_per_second: Option<u32>,
    /// Whether every request is refused with 503.
    pub refuse: bool,
    /// Whether the log is out of reach.
    pub outage: Outage,
    /// Number of next answers that break off in the middle.
    pub cut_answers: u32,
    /// Most appends a second; more get 429 with `Retry-After`.
    pub appends_per_second: Option<u32>,
    /// Most records that a stream retains.
    pub retain_count: Option<usize>,
    /// Longest time for which a stream retains a record.
    pub retain_age: Option<Duration>,
    /// Clients (header `x-client`) whose connections are closed before a request takes effect.
    pub cut_clients: BTreeSet<String>,
}
