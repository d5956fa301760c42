//! Messages between daemons about roll-outs.

use baobabreel_core::id::{DaemonId, DataCentre, Offset, Release, RouteName, ServiceName};
use baobabreel_core::rollout::{LatencyHistogram, RolloutPhase, RolloutRecord};
use serde::{Deserialize, Serialize};

/// What a daemon knows of the newest roll-out of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutNotice {
    /// The record.
    pub record: RolloutRecord,
    /// Part of the requests, in thousandths, that goes to the new release while the roll-out runs.
    pub share_permille: u16,
    /// Daemon that decides.
    pub decider: DaemonId,
    /// Milliseconds since the decider confirmed this, as far as the sender knows.
    pub contact_ms: u64,
    /// Milliseconds since the roll-out began.
    pub age_ms: u64,
    /// Whether the operator's status has been written.
    pub is_published: bool,
    /// Whether the new release was found to be bad, which may not have been stored yet.
    pub is_bad: bool,
}

/// What an entry daemon tells the decider of a roll-out; the answer is an optional [`RolloutNotice`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutReport {
    /// Identifier of the sender.
    pub from: DaemonId,
    /// Data centre of the sender.
    pub data_centre: DataCentre,
    /// Service.
    pub service: ServiceName,
    /// Release that is to get the traffic.
    pub target: Release,
    /// Offset of the order's record.
    pub offset: Offset,
    /// Phase that the sender follows.
    pub phase: RolloutPhase,
    /// Whether the sender uses only the old release because it had no contact.
    pub is_unsure: bool,
    /// Number of requests that run or wait at the old release: those that the sender sent, and those at the backend
    /// server beside it.
    pub base_in_flight: u32,
    /// Number of requests of the service that the sender finished since its last report.
    pub requests: u32,
    /// Responses that it received since then.
    pub counts: Vec<RolloutCount>,
}

/// Responses of one backend server on one route.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutCount {
    /// Route.
    pub route: RouteName,
    /// Backend server.
    pub server: DaemonId,
    /// Number of failures.
    pub failures: u32,
    /// Latencies of the other responses.
    pub latencies: LatencyHistogram,
}
