//! Bodies that arrive from other daemons.

use std::sync::atomic::Ordering;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use baobabreel_core::link::TransferId;

use super::Links;
use crate::sync::lock;

/// Counts the bytes of a body that arrives; what is left is given back on drop.
#[derive(Debug)]
pub struct Arrival {
    links: Arc<Links>,
    id: TransferId,
    arrived_at: Arc<OnceLock<Duration>>,
}

/// Tells when a body has arrived.
#[derive(Debug)]
pub struct Receipt(Arc<OnceLock<Duration>>);

impl Receipt {
    /// Time at which the body ended; `None` if it has not.
    #[must_use]
    pub fn arrived_at(&self) -> Option<Duration> {
        self.0.get().copied()
    }
}

impl Arrival {
    pub(super) fn new(links: Arc<Links>, id: TransferId) -> Self {
        Self { links, id, arrived_at: Arc::default() }
    }

    pub(super) fn receipt(&self) -> Receipt {
        Receipt(Arc::clone(&self.arrived_at))
    }

    /// Counts bytes that have arrived.
    pub fn record(&self, bytes: usize) {
        if let Some(budgets) = &self.links.budgets {
            budgets.received.fetch_add(bytes as u64, Ordering::Relaxed);
            lock(&budgets.inbound).arrived(self.id, bytes as u64);
        }
    }

    /// Records that the body has ended.
    pub fn end(&self) {
        self.arrived_at.get_or_init(|| self.links.clock.now());
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        if let Some(budgets) = &self.links.budgets {
            lock(&budgets.inbound).end(self.id);
        }
    }
}
