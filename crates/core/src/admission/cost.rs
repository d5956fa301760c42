//! What it costs callers to delay or refuse a request.
//!
//! When there is too little room, the requests that cost least wait longest and are refused first. The cost
//! follows from what the request is for ([`Precedence`]), its class, and the time that is left to its target.
//! If the admission is not cost-aware, all requests have the usual precedence.

use std::cmp::Reverse;
use std::time::Duration;

use super::queue::PendingRequest;
use super::state::Admission;
use crate::config::Class;

/// Most requests that a client may have sent ahead on a connection for the class of the next one to count. Otherwise a
/// few clients that send ahead on a route of a high class would keep all lower classes out.
const MAX_AHEAD: u32 = 8;

/// What a request is for, highest cost first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Precedence {
    /// Its route or tenant is starved: served little more than half as often as all, at overload.
    Starved,
    /// A request that already runs elsewhere fails without it, and the work on that one is lost.
    Nested,
    /// Its route or tenant is served clearly less often than all, at overload.
    Behind,
    /// All others.
    Usual,
    /// Its tenant sends more than usual at overload. It may use room that nobody else asks for.
    Excess,
}

/// Number of refused requests by what they were for, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// Requests of a starved route or tenant.
    pub starved: u64,
    /// Requests made by requests that run elsewhere.
    pub nested: u64,
    /// Requests of a route or tenant that is served clearly less often than all.
    pub behind: u64,
    /// All others.
    pub usual: u64,
    /// Requests over the usual demand of their tenant.
    pub excess: u64,
}

impl RefusalCounts {
    pub(super) fn add(&mut self, precedence: Precedence) {
        *match precedence {
            Precedence::Starved => &mut self.starved,
            Precedence::Nested => &mut self.nested,
            Precedence::Behind => &mut self.behind,
            Precedence::Usual => &mut self.usual,
            Precedence::Excess => &mut self.excess,
        } += 1;
    }
}

/// Cost of refusing a request. The order is that of the queue, so the lowest cost is the greatest value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct RefusalCost {
    rank: Rank,
    class: Reverse<Class>,
    precedence: Precedence,
}

impl RefusalCost {
    pub fn new(precedence: Precedence, class: Class, ahead: u32) -> Self {
        let rank = match precedence {
            _ if ahead > MAX_AHEAD => Rank::FarAhead,
            Precedence::Starved => Rank::Starved,
            Precedence::Nested => Rank::Nested,
            Precedence::Behind | Precedence::Usual => Rank::ByClass,
            Precedence::Excess => Rank::Excess,
        };
        Self { rank, class: Reverse(class), precedence }
    }
}

/// What comes before the class. A route or tenant that is only behind never overtakes a higher class.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Starved,
    Nested,
    ByClass,
    Excess,
    FarAhead,
}

/// Order of start: the cost of a refusal, then the number of requests that were sent ahead, then the time by which the
/// answer is due, then the arrival.
pub(super) type StartOrder = (RefusalCost, u32, Duration, u64);

impl Admission {
    /// Counts the offer of a request and decides what its refusal would cost.
    ///
    /// If its route or tenant is due precedence because of its share, the first queued request of that route
    /// or tenant gets it, so that later ones do not overtake it.
    pub(super) fn precedence(
        &mut self,
        item: &PendingRequest,
        nested: bool,
        now: Duration,
    ) -> Precedence {
        let is_overloaded = self.is_overloaded(item, now);
        let work = self.waiting_secs(item);
        self.all.record_offer(now);
        self.routes.share_mut(item.route).record_offer(now);
        let is_excess = item
            .tenant
            .is_some_and(|tenant| self.tenants.record_offer(tenant, work, is_overloaded, now));
        let own = match (nested, is_overloaded && is_excess) {
            (true, _) => Precedence::Nested,
            (false, true) => Precedence::Excess,
            (false, false) => Precedence::Usual,
        };
        if !is_overloaded {
            return own;
        }
        let tenant_due =
            item.tenant.and_then(|tenant| self.tenants.share(tenant).precedence_due(&self.all));
        // A tenant that sends more than usual is only kept from starving.
        let due = match own {
            Precedence::Excess => tenant_due.filter(|due| *due == Precedence::Starved),
            _ => tenant_due
                .into_iter()
                .chain(self.routes.share(item.route).precedence_due(&self.all))
                .min(),
        };
        let Some(due) = due.filter(|due| *due < own) else { return own };
        let is_due_to_tenant = tenant_due == Some(due);
        let shares_account = |other: &PendingRequest| match is_due_to_tenant {
            true => other.tenant == item.tenant,
            false => other.route == item.route && other.precedence != Precedence::Excess,
        };
        if self.queue.promote(due, shares_account) { own } else { due }
    }
}
