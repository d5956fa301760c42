//! Settings of admission.

use std::time::Duration;

use super::state::Admission;

/// Estimated wait that any request may have under overload. With it the longest short work of the
/// deployments, 72 ms, is answered within 100 ms.
const TARGET_WAIT: Duration = Duration::from_millis(20);

/// Settings of an [`Admission`].
#[derive(Debug, Clone)]
pub struct AdmissionBuilder {
    pub(super) slots: u32,
    pub(super) queue_len: usize,
    pub(super) bulk_share: f64,
    pub(super) class_aware: bool,
    pub(super) learn_bulk: bool,
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
            target_wait: TARGET_WAIT,
        }
    }
}

impl AdmissionBuilder {
    /// Slots of the backend server.
    #[must_use]
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Places in the queue.
    #[must_use]
    pub fn queue_len(mut self, places: usize) -> Self {
        self.queue_len = places;
        self
    }

    /// Share of the slots that bulk work may hold, 0 to 1; it may always hold one slot.
    #[must_use]
    pub fn bulk_share(mut self, share: f64) -> Self {
        self.bulk_share = share;
        self
    }

    /// Whether class decides on order, shedding and the bulk share. Without it the queue is ordered
    /// by deadline alone; this serves as the baseline of measurements.
    #[must_use]
    pub fn class_aware(mut self, on: bool) -> Self {
        self.class_aware = on;
        self
    }

    /// Whether routes with very long run times are treated as bulk without being configured so.
    #[must_use]
    pub fn learn_bulk(mut self, on: bool) -> Self {
        self.learn_bulk = on;
        self
    }

    /// Estimated wait that a request may have under overload; `Duration::MAX` turns the limit off.
    /// Short work may wait longer as long as its answer is in time, and long work for a quarter of
    /// its run time. Bulk work is not limited.
    #[must_use]
    pub fn target_wait(mut self, wait: Duration) -> Self {
        self.target_wait = wait;
        self
    }

    /// Builds the state without any request.
    #[must_use]
    pub fn build(self) -> Admission {
        Admission::new(self)
    }
}
