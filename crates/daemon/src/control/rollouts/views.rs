//! Which backend servers may get requests, as the request path uses it.

use std::collections::HashMap;
use std::time::Duration;

use baobabreel_core::id::ServiceName;
use baobabreel_core::membership::Member;
use baobabreel_core::rollout::{ReleaseFilter, Side};

/// Filter of one service.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct ReleaseView {
    pub filter: ReleaseFilter,
    /// Number that changes which backend servers of the canary are used.
    pub epoch: u64,
    /// Whether a roll-out runs, so that responses are counted.
    pub is_running: bool,
    /// Time from which no request goes to the canary, unless the view is renewed.
    pub canary_until: Duration,
}

/// Filters of the services.
#[derive(Debug, Default)]
pub struct ReleaseViews(pub(super) HashMap<ServiceName, ReleaseView>);

impl ReleaseViews {
    /// Splits the members of a service that can serve into those of the main release and those of the canary.
    #[must_use]
    pub fn split<'a>(
        &self,
        service: &str,
        members: Vec<&'a Member>,
    ) -> (Vec<&'a Member>, Vec<&'a Member>) {
        match self.0.get(service) {
            Some(view) => view.filter.split(&members, view.epoch),
            None => (members, Vec::new()),
        }
    }

    pub(super) fn side(&self, service: &str, draw: u64, is_first: bool, now: Duration) -> Side {
        match self.0.get(service) {
            Some(view) if now < view.canary_until => view.filter.side(draw, is_first),
            _ => Side::Main,
        }
    }

    /// Whether requests are split in the same way as in `other`.
    pub(super) fn is_same(&self, other: &Self) -> bool {
        self.0.len() == other.0.len()
            && self.0.iter().all(|(service, view)| {
                let other = other.0.get(service);
                other
                    .is_some_and(|other| (&view.filter, view.epoch) == (&other.filter, other.epoch))
            })
    }
}
