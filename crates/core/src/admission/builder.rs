//! Settings of admission.

use super::state::Admission;

/// Settings of an [`Admission`].
#[derive(Debug, Clone)]
pub struct AdmissionBuilder {
    pub(super) slots: u32,
    pub(super) queue_len: usize,
    pub(super) bulk_share: f64,
    pub(super) class_aware: bool,
    pub(super) learn_bulk: bool,
}

impl Default for AdmissionBuilder {
    fn default() -> Self {
        Self { slots: 1, queue_len: 32, bulk_share: 0.5, class_aware: true, learn_bulk: true }
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

    /// Builds the state without any request.
    #[must_use]
    pub fn build(self) -> Admission {
        Admission::new(self)
    }
}
