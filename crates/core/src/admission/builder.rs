//! Settings of admission control.

use std::time::Duration;

use super::state::Admission;

/// Default limit of the estimated wait under overload. With it, a request that runs for 72 ms, the
/// longest short one in the deployments, is answered within 100 ms.
const DEFAULT_TARGET_WAIT: Duration = Duration::from_millis(20);

/// Settings of an [`Admission`].
#[derive(Debug, Clone)]
pub struct AdmissionBuilder {
    pub(super) slots: u32,
    pub(super) queue_len: usize,
    pub(super) bulk_share: f64,
    pub(super) class_aware: bool,
    pub(super) learn_bulk: bool,
    pub(super) cost_aware: bool,
    pub(super) target_wait: Duration,
}

impl Default for AdmissionBuilder {
    fn default() -> Self {
        Self {
            slots: 1,
            queue_len: 32,
            bulk_share: 0.5,
            class_aware: true,
            learn_bulk: true,
            cost_aware: false,
            target_wait: DEFAULT_TARGET_WAIT,
        }
    }
}

impl AdmissionBuilder {
    /// Number of slots: requests that the backend server runs at the same time.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Maximum number of queued requests.
    #[must_use]
    pub fn queue_len(mut self, max_queued: usize) -> Self {
        self.queue_len = max_queued;
        self
    }

    /// Share of the slots that bulk requests may hold, 0 to 1; they may always hold one slot.
    #[must_use]
    pub fn bulk_share(mut self, share: f64) -> Self {
        self.bulk_share = share;
        self
    }

    /// Whether the class of a request decides its order in the queue, whether it is shed and whether it
    /// counts towards the bulk share. If off, the queue is ordered by deadline alone, as a baseline for
    /// measurements.
    #[must_use]
    pub fn class_aware(mut self, on: bool) -> Self {
        self.class_aware = on;
        self
    }

    /// Whether routes with very long run times and without a target are treated as bulk even if their
    /// configured class is not bulk.
    #[must_use]
    pub fn learn_bulk(mut self, on: bool) -> Self {
        self.learn_bulk = on;
        self
    }

    /// Whether the shares of routes and tenants and the cost of a refusal decide who waits and who is
    /// refused. If off, class and due time alone decide, as is right without tenants, where nested calls
    /// cannot be told from other requests; off by default.
    #[must_use]
    pub fn cost_aware(mut self, on: bool) -> Self {
        self.cost_aware = on;
        self
    }

    /// Limit of the estimated wait under overload; `Duration::MAX` turns it off. A short request may
    /// wait longer as long as it is still answered quickly, and a long one for a quarter of its run time. Bulk
    /// requests have no limit, and that of requests with a target follows from the target instead.
    #[must_use]
    pub fn target_wait(mut self, wait: Duration) -> Self {
        self.target_wait = wait;
        self
    }

    /// Builds an [`Admission`] without any requests.
    #[must_use]
    pub fn build(self) -> Admission {
        Admission::new(self)
    }
}
