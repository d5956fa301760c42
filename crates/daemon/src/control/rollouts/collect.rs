//! Responses of the services whose roll-outs run, counted until the next report to the decider.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use baobabreel_client::wire::RolloutCount;
use baobabreel_core::id::{DaemonId, RouteName, ServiceName};
use baobabreel_core::rollout::LatencyHistogram;

use crate::sync::lock;

/// Counts of one service.
#[derive(Debug, Default)]
pub(super) struct ServiceCounts {
    /// Number of requests that were sent and have ended.
    pub requests: u32,
    cells: BTreeMap<(RouteName, DaemonId), (u32, LatencyHistogram)>,
}

impl ServiceCounts {
    /// The counts as a report carries them.
    pub fn into_counts(self) -> Vec<RolloutCount> {
        let cells = self.cells.into_iter();
        cells
            .map(|((route, server), (failures, latencies))| RolloutCount {
                route,
                server,
                failures,
                latencies,
            })
            .collect()
    }
}

/// Counts of all services.
pub(super) type Counts = Mutex<BTreeMap<ServiceName, ServiceCounts>>;

/// Takes the counts of a service since the last time.
pub(super) fn take(counts: &Counts, service: &str) -> ServiceCounts {
    lock(counts).remove(service).unwrap_or_default()
}

/// One call to a backend server, which counts as evidence of a roll-out.
#[derive(Debug)]
pub struct ResponseWatch {
    counts: Arc<Counts>,
    service: ServiceName,
    route: RouteName,
    /// Whether the response counts against the release.
    pub is_bad: bool,
}

impl ResponseWatch {
    pub(super) fn new(counts: &Arc<Counts>, service: &str, route: &str) -> Self {
        Self {
            counts: Arc::clone(counts),
            service: service.to_owned(),
            route: route.to_owned(),
            is_bad: false,
        }
    }

    /// Counts the response of backend server `server`; one without a latency that is not bad says nothing.
    pub fn finish(self, server: &str, latency: Option<Duration>) {
        let mut counts = lock(&self.counts);
        let of_service = counts.entry(self.service).or_default();
        of_service.requests = of_service.requests.saturating_add(1);
        if !self.is_bad && latency.is_none() {
            return;
        }
        let cell = of_service.cells.entry((self.route, server.to_owned())).or_default();
        match latency {
            Some(latency) if !self.is_bad => cell.1.record(latency),
            _ => cell.0 += 1,
        }
    }
}
