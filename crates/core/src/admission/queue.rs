//! The ordered, bounded queue.

use std::time::Duration;

use super::ticket::TicketId;
use crate::config::Class;

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
pub(super) struct Waiting {
    pub id: TicketId,
    pub class: Class,
    /// Whether it counts towards the bulk share.
    pub bulk: bool,
    pub route: usize,
    pub deadline: Duration,
    /// Time by which the answer is of full use.
    pub target: Option<Duration>,
    pub queued_at: Duration,
    /// Order of arrival; decides between equal deadlines.
    pub arrival: u64,
}

impl Waiting {
    fn precedes(&self, other: &Self) -> bool {
        (other.class, self.due(), self.arrival) < (self.class, other.due(), other.arrival)
    }

    /// Time that decides the order within a class: the target where there is one, so that short work
    /// overtakes long work only while that still has time to spare.
    fn due(&self) -> Duration {
        self.target.unwrap_or(self.deadline)
    }
}

/// Waiting requests in the order in which they start: higher class, then the one that is due first.
#[derive(Debug, Default)]
pub(super) struct Queue {
    waiting: Vec<Waiting>,
}

impl Queue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Position that `item` would get.
    pub fn position(&self, item: &Waiting) -> usize {
        self.waiting.partition_point(|other| other.precedes(item))
    }

    pub fn insert(&mut self, item: Waiting) {
        let at = self.position(&item);
        self.waiting.insert(at, item);
    }

    /// Requests that start before `item`.
    pub fn ahead_of(&self, item: &Waiting) -> &[Waiting] {
        &self.waiting[..self.position(item)]
    }

    pub fn all(&self) -> &[Waiting] {
        &self.waiting
    }

    /// Takes the last request if its class is below `class`.
    pub fn shed_below(&mut self, class: Class) -> Option<Waiting> {
        self.waiting.pop_if(|last| last.class < class)
    }

    /// First request that may start.
    pub fn first(&self, may_start: impl Fn(&Waiting) -> bool) -> Option<Waiting> {
        self.waiting.iter().copied().find(|item| may_start(item))
    }

    /// Highest class that waits without being bulk work.
    pub fn highest_class(&self) -> Option<Class> {
        self.first(|item| !item.bulk).map(|item| item.class)
    }

    pub fn remove(&mut self, id: TicketId) -> Option<Waiting> {
        let at = self.waiting.iter().position(|item| item.id == id)?;
        Some(self.waiting.remove(at))
    }

    pub fn take_all(&mut self) -> std::vec::Drain<'_, Waiting> {
        self.waiting.drain(..)
    }

    pub fn next_deadline(&self) -> Option<Duration> {
        self.waiting.iter().map(|item| item.deadline).min()
    }
}
