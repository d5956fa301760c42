//! Slots that are taken back from clients that lag.

use std::time::Duration;

use super::state::Admission;
use super::ticket::TicketId;
use crate::lag::choose_lagging;

impl Admission {
    /// Chooses the running requests whose slots go to others, as their clients lag: none while a slot is free, and at
    /// most one for each request that waits, or one for a request that was just refused. `lags` names the clients that
    /// may lag; [`cancel`](Self::cancel) then frees the slots.
    #[must_use]
    pub fn choose_lagging(
        &self,
        lags: impl Iterator<Item = (TicketId, Duration)>,
    ) -> Vec<TicketId> {
        if !self.has_slot(false) {
            let runs = |id| self.running.iter().any(|running| running.id == id);
            let lags = lags.filter(|(id, _)| runs(*id));
            return choose_lagging(self.running.len(), self.queue.len().max(1), lags);
        }
        // Bulk requests may wait for one of their slots while others are free.
        if self.has_slot(true) {
            return Vec::new();
        }
        let waiting = self.queue.all().iter().filter(|item| item.bulk).count();
        let runs = |id| self.running.iter().any(|running| running.id == id && running.bulk);
        let lags = lags.filter(|(id, _)| runs(*id));
        choose_lagging(self.bulk_slots() as usize, waiting, lags)
    }
}
