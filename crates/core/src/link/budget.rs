//! Budget of bytes on one direction of a link.

use std::collections::HashMap;
use std::time::Duration;

use super::body_rate;
use crate::config::Class;

/// Identifier of the transfer of a body.
pub type TransferId = u64;

/// Longest wait for the link. A longer queue serves no more bodies, and only delays all of them.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// Time after its start in which a granted body must begin to arrive; covers round trips and a caller that is slow to
/// send. Its bytes are given back afterwards.
const START_GRACE: Duration = Duration::from_millis(300);

/// Number of refusals in a row after which a source may use the whole queue, whatever its class. At least a quarter
/// of its bodies are then admitted as early as those of the highest class.
const MAX_REFUSALS_IN_ROW: u32 = 3;

/// Most sources whose refusals are counted.
const MAX_SOURCES: usize = 1_024;

/// Longest time that a refused caller is told to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Shortest time that a refused caller is told to wait: a retry sooner would find the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Most bytes that count for one body, so that the sum cannot overflow.
const MAX_COUNTED_BYTES: u64 = 1 << 40;

/// Number of links that one body is offered to before its caller is refused. Each therefore expects only this part of
/// the refused bodies to return.
const OFFERS_PER_BODY: f64 = 3.0;

/// Body that is offered to a link.
#[derive(Debug, Clone, Copy)]
pub struct BodyOffer {
    /// Identifier of its transfer.
    pub id: TransferId,
    /// Length in bytes, as announced or expected.
    pub bytes: u64,
    /// Class of the request.
    pub class: Class,
    /// Route and tenant of the request, as a hash; refusals are counted for each source.
    pub source: u64,
    /// Time before which the body cannot start.
    pub not_before: Duration,
    /// Time by which the body must have arrived.
    pub arrive_by: Duration,
    /// Longest wait for the link that the sender accepts, if it may find a shorter one elsewhere.
    pub max_wait: Option<Duration>,
}

/// What becomes of a body that was offered.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum LinkDecision {
    /// Its bytes are reserved.
    Grant {
        /// Time at which the body is to start.
        start: Duration,
    },
    /// It would be granted with a wait longer than [`BodyOffer::max_wait`]; nothing is reserved.
    Wait(Duration),
    /// It cannot arrive in time.
    Refuse {
        /// Time after which the same body would be granted, if nothing else is.
        retry_after: Duration,
    },
}

/// Body that was granted or has begun, and has not arrived.
#[derive(Debug, Clone, Copy)]
struct Transfer {
    left: u64,
    /// Time at which its bytes are given back; `None` once it has begun.
    expires: Option<Duration>,
}

/// Bytes that were admitted to one direction of a link and have not passed it.
#[derive(Debug)]
pub struct LinkBudget {
    bytes_per_sec: f64,
    transfers: HashMap<TransferId, Transfer>,
    /// Sum of the bytes left of all transfers.
    backlog: u64,
    refusals: HashMap<u64, u32>,
    /// Time up to which the link is expected to be used by callers that were refused and return.
    returns_until: Duration,
}

impl LinkBudget {
    /// Creates the budget of a link with this rate.
    #[must_use]
    pub fn new(bits_per_sec: u64) -> Self {
        Self {
            bytes_per_sec: body_rate(bits_per_sec),
            transfers: HashMap::new(),
            backlog: 0,
            refusals: HashMap::new(),
            returns_until: Duration::ZERO,
        }
    }

    /// Rate at which a granted body is sent, in bytes per second.
    #[must_use]
    pub fn bytes_per_sec(&self) -> f64 {
        self.bytes_per_sec
    }

    /// Changes the rate; bodies that were granted keep their start.
    pub fn set_rate(&mut self, bytes_per_sec: f64) {
        self.bytes_per_sec = bytes_per_sec.max(1.0);
    }

    /// Bytes admitted that have not arrived.
    #[must_use]
    pub fn backlog(&self) -> u64 {
        self.backlog
    }

    /// Number of bodies granted that have not begun.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.transfers.values().filter(|transfer| transfer.expires.is_some()).count()
    }

    /// Time that the bytes admitted so far need.
    #[must_use]
    pub fn wait(&self) -> Duration {
        self.transfer_time(self.backlog)
    }

    /// Decides about a body, and reserves its bytes if it is granted.
    pub fn offer(&mut self, offer: &BodyOffer, now: Duration) -> LinkDecision {
        self.expire(now);
        let start = (now + self.wait()).max(offer.not_before);
        let wait = start.saturating_sub(now);
        let transfer = self.transfer_time(offer.bytes);
        let room = offer.arrive_by.saturating_sub(now).saturating_sub(transfer).min(MAX_WAIT);
        let allowed = room.mul_f64(self.share_of_queue(offer));
        if wait > allowed || now + transfer > offer.arrive_by {
            self.count_refusal(offer.source);
            return LinkDecision::Refuse {
                retry_after: self.retry_after(wait, allowed, transfer, now),
            };
        }
        if offer.max_wait.is_some_and(|max_wait| wait > max_wait) {
            return LinkDecision::Wait(wait);
        }
        self.refusals.remove(&offer.source);
        self.insert(offer.id, Transfer { left: offer.bytes, expires: Some(start + START_GRACE) });
        LinkDecision::Grant { start }
    }

    fn count_refusal(&mut self, source: u64) {
        if self.refusals.len() >= MAX_SOURCES {
            self.refusals.clear();
        }
        let count = self.refusals.entry(source).or_default();
        *count = count.saturating_add(1);
    }

    /// Records that a body begins to arrive; one that was not granted, or whose grant has expired, is counted from now
    /// on with `bytes`.
    pub fn begin(&mut self, id: TransferId, bytes: u64) {
        match self.transfers.get_mut(&id) {
            Some(transfer) => transfer.expires = None,
            None => self.insert(id, Transfer { left: bytes, expires: None }),
        }
    }

    /// Records bytes that have arrived. A body longer than expected does not count against others.
    pub fn arrived(&mut self, id: TransferId, bytes: u64) {
        if let Some(transfer) = self.transfers.get_mut(&id) {
            let counted = bytes.min(transfer.left);
            transfer.left -= counted;
            self.backlog -= counted;
        }
    }

    /// Records that a body has arrived or does not come any more.
    pub fn end(&mut self, id: TransferId) {
        if let Some(transfer) = self.transfers.remove(&id) {
            self.backlog -= transfer.left;
        }
    }

    fn insert(&mut self, id: TransferId, mut transfer: Transfer) {
        self.end(id);
        transfer.left = transfer.left.min(MAX_COUNTED_BYTES);
        self.backlog += transfer.left;
        self.transfers.insert(id, transfer);
    }

    /// Gives back the bytes of bodies that have not begun in time.
    fn expire(&mut self, now: Duration) {
        let backlog = &mut self.backlog;
        self.transfers.retain(|_, transfer| {
            let is_kept = transfer.expires.is_none_or(|expires| now < expires);
            if !is_kept {
                *backlog -= transfer.left;
            }
            is_kept
        });
    }

    /// Part of the queue that a body may find filled: less for lower classes, so that the others find room. A source
    /// that was refused several times in a row may use all of it.
    fn share_of_queue(&self, offer: &BodyOffer) -> f64 {
        let refused = self.refusals.get(&offer.source).copied().unwrap_or_default();
        if refused >= MAX_REFUSALS_IN_ROW {
            return 1.0;
        }
        match offer.class {
            Class::Check | Class::Command => 0.8,
            Class::Lookup => 0.6,
            Class::Bulk => 0.4,
        }
    }

    /// Time after which a refused body would find room, behind the callers that were refused before it.
    fn retry_after(
        &mut self,
        wait: Duration,
        allowed: Duration,
        transfer: Duration,
        now: Duration,
    ) -> Duration {
        let free = now + wait.saturating_sub(allowed).max(MIN_RETRY_AFTER);
        let latest = now + MAX_RETRY_AFTER;
        let at = free.max(self.returns_until).min(latest);
        self.returns_until = at + transfer.div_f64(OFFERS_PER_BODY);
        at - now
    }

    fn transfer_time(&self, bytes: u64) -> Duration {
        Duration::from_secs_f64(bytes as f64 / self.bytes_per_sec)
    }
}
