//! The queue of requests that wait for a slot, in the order in which they start.

use std::time::Duration;

use super::cost::{Precedence, RefusalCost, StartOrder};
use super::ticket::TicketId;
use crate::config::Class;

/// A request that has not started: a new one or one in the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct PendingRequest {
    pub id: TicketId,
    pub class: Class,
    /// Whether it counts towards the bulk share.
    pub bulk: bool,
    pub route: usize,
    pub tenant: Option<usize>,
    pub precedence: Precedence,
    /// Requests that its client sent on the same connection before it without waiting for their responses.
    pub ahead: u32,
    /// Whether its client has sent all of it.
    pub is_sent: bool,
    pub deadline: Duration,
    /// Time by which the answer must arrive to be of full use.
    pub target: Option<Duration>,
    pub queued_at: Duration,
    /// Arrival number; orders requests of one class that are due at the same time.
    pub arrival: u64,
}

impl PendingRequest {
    /// Whether this request starts before `other`.
    fn starts_before(&self, other: &Self) -> bool {
        self.start_order() < other.start_order()
    }

    fn start_order(&self) -> StartOrder {
        (self.cost(), self.ahead, self.due(), self.arrival)
    }

    /// Cost of its refusal.
    pub fn cost(&self) -> RefusalCost {
        RefusalCost::new(self.precedence, self.class, self.ahead)
    }

    /// Time by which requests of one class are ordered: the target if there is one, otherwise the
    /// deadline. With targets, a short request overtakes a long one only while the long one still has
    /// time to spare.
    fn due(&self) -> Duration {
        self.target.unwrap_or(self.deadline)
    }
}

/// Queued requests in the order in which they start: by the cost of a refusal, then by the number of requests that
/// were sent ahead of them, then by due time.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<PendingRequest>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Position that `item` would get in the queue.
    pub fn position(&self, item: &PendingRequest) -> usize {
        self.waiting.partition_point(|other| other.starts_before(item))
    }

    pub fn insert(&mut self, item: PendingRequest) {
        let at = self.position(&item);
        self.waiting.insert(at, item);
    }

    /// Requests that start before `item`.
    pub fn ahead_of(&self, item: &PendingRequest) -> &[PendingRequest] {
        &self.waiting[..self.position(item)]
    }

    pub fn all(&self) -> &[PendingRequest] {
        &self.waiting
    }

    /// Removes and returns the last request if its refusal costs less than that of `item`, or as much and more were
    /// sent ahead of it.
    pub fn shed_below(&mut self, item: &PendingRequest) -> Option<PendingRequest> {
        self.waiting.pop_if(|last| (last.cost(), last.ahead) > (item.cost(), item.ahead))
    }

    /// First request in the queue for which `is_match` returns true.
    pub fn first_matching(
        &self,
        is_match: impl Fn(&PendingRequest) -> bool,
    ) -> Option<PendingRequest> {
        self.waiting.iter().copied().find(|item| is_match(item))
    }

    /// Highest class among the requests that do not count towards the bulk share.
    pub fn highest_class(&self) -> Option<Class> {
        self.waiting.iter().filter(|item| !item.bulk).map(|item| item.class).max()
    }

    /// Gives `precedence` to the first request that matches and has a lower one; returns whether there is one.
    pub fn promote(
        &mut self,
        precedence: Precedence,
        is_match: impl Fn(&PendingRequest) -> bool,
    ) -> bool {
        let found = self.first_matching(|item| item.precedence > precedence && is_match(item));
        let Some(item) = found.and_then(|item| self.remove(item.id)) else { return false };
        self.insert(PendingRequest { precedence, ..item });
        true
    }

    pub fn remove(&mut self, id: TicketId) -> Option<PendingRequest> {
        let at = self.waiting.iter().position(|item| item.id == id)?;
        Some(self.waiting.remove(at))
    }

    pub fn take_all(&mut self) -> std::vec::Drain<'_, PendingRequest> {
        self.waiting.drain(..)
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.waiting.iter().map(|item| item.deadline).min()
    }
}
