//! The state machine of admission control.
//!
//! The proxy of the host daemon calls it for each request and carries out the decisions it returns.

use std::time::Duration;

use super::builder::AdmissionBuilder;
use super::cost::{Precedence, RefusalCounts};
use super::overload::OverloadDetector;
use super::pace::Pace;
use super::queue::{PendingRequest, Queue};
use super::refusal::{Promises, default_retry_after, refusal, refuse};
use super::routes::RouteTable;
use super::shares::{Share, Tenants};
use super::ticket::{Action, ClientState, Decision, OfferResult, Ticket, TicketId};
use super::wait::ClassRunTimes;
use crate::balance::LoadReport;
use crate::condition::RateLimit;
use crate::config::Class;
use crate::error::ErrorKind;

/// Part of the slots for which requests that are still being sent compete like all others: 1 in this number.
const SENDING_PART: u32 = 2;

/// Slots and queue of one backend server.
///
/// Exactly one of these happens to every offered request: it starts, is refused, or is cancelled before
/// it starts.
#[derive(Debug)]
pub struct Admission {
    pub(super) cfg: AdmissionBuilder,
    pub(super) running: Vec<RunningRequest>,
    bulk_running: u32,
    pub(super) queue: Queue,
    arrivals: u64,
    pub(super) routes: RouteTable,
    pub(super) tenants: Tenants,
    /// Share of all requests.
    pub(super) all: Share,
    pub(super) run_times: ClassRunTimes,
    pub(super) overload: OverloadDetector,
    /// Set while the backend server limits the rate of its requests.
    pub(super) pace: Option<Pace>,
    draining: bool,
    /// Room that was promised to refused callers.
    pub(super) promises: Promises,
    pub(super) refusals: RefusalCounts,
}

/// A request that holds a slot.
#[derive(Debug)]
pub(super) struct RunningRequest {
    pub(super) id: TicketId,
    pub(super) class: Class,
    /// Whether it counts towards the bulk share.
    pub(super) bulk: bool,
    pub(super) route: usize,
    pub(super) has_target: bool,
    /// Whether its client had sent all of it when it was offered.
    is_sent: bool,
    started: Duration,
}

impl Admission {
    /// A builder with the default settings.
    #[must_use]
    pub fn builder() -> AdmissionBuilder {
        AdmissionBuilder::default()
    }

    pub(super) fn new(cfg: AdmissionBuilder) -> Self {
        Self {
            cfg,
            running: Vec::new(),
            bulk_running: 0,
            queue: Queue::default(),
            arrivals: 0,
            routes: RouteTable::default(),
            tenants: Tenants::default(),
            all: Share::default(),
            run_times: ClassRunTimes::default(),
            overload: OverloadDetector::default(),
            pace: None,
            draining: false,
            promises: Promises::default(),
            refusals: RefusalCounts::default(),
        }
    }

    /// Decides on a new request. Its id must differ from those of all requests that run or wait.
    pub fn offer(&mut self, ticket: Ticket<'_>, now: Duration) -> OfferResult {
        self.offer_of(ClientState::default(), ticket, now)
    }

    /// Like [`offer`](Self::offer), for a request of a client that sent others ahead or has not sent all of this one.
    ///
    /// What a connection gets under contention does not grow with what it sends ahead: such a request starts after those
    /// of its class that had fewer ahead of them, and is refused before them. So does one whose client has yet to send
    /// a part of it, as if the others of that kind were ahead of it, but for as many as half of the slots take.
    pub fn offer_of(
        &mut self,
        client: ClientState,
        ticket: Ticket<'_>,
        now: Duration,
    ) -> OfferResult {
        let mut evicted = Vec::new();
        let decision = self.decide(client, ticket, now, &mut evicted);
        self.observe_queue(now);
        OfferResult { decision, evicted }
    }

    /// Frees the slot of a request that has ended, records its run time and starts queued requests.
    #[must_use]
    pub fn finish(&mut self, id: TicketId, now: Duration) -> Vec<Action> {
        self.finish_after_lag(id, Duration::ZERO, now)
    }

    /// Like [`finish`](Self::finish); `lag` is the time by which the client lagged, which does not count as run time.
    #[must_use]
    pub fn finish_after_lag(&mut self, id: TicketId, lag: Duration, now: Duration) -> Vec<Action> {
        let Some(ended) = self.release(id) else {
            return Vec::new();
        };
        let time = now.saturating_sub(ended.started).saturating_sub(lag);
        self.routes.observe(ended.route, time);
        self.run_times.get_mut(ended.class).observe(time);
        self.start_queued(now)
    }

    /// Removes a request that its caller has abandoned, whether it waits or runs. Its run time is not
    /// recorded.
    #[must_use]
    pub fn cancel(&mut self, id: TicketId, now: Duration) -> Vec<Action> {
        if self.queue.remove(id).is_some() {
            self.observe_queue(now);
            return Vec::new();
        }
        if self.release(id).is_none() {
            return Vec::new();
        }
        self.start_queued(now)
    }

    /// Sets the number of slots. A lower number does not interrupt running requests.
    #[must_use]
    pub fn set_slots(&mut self, slots: u32, now: Duration) -> Vec<Action> {
        self.cfg.slots = slots;
        self.start_queued(now)
    }

    /// Sets the limit on the rate at which requests start; `None` ends it.
    #[must_use]
    pub fn set_rate_limit(&mut self, limit: Option<RateLimit>, now: Duration) -> Vec<Action> {
        self.pace = match (self.pace.take(), limit) {
            (Some(mut pace), Some(limit)) => {
                pace.set_limit(limit, now);
                Some(pace)
            }
            (None, Some(limit)) => Some(Pace::new(limit, now)),
            (_, None) => None,
        };
        self.start_queued(now)
    }

    /// Starts the queued requests that the rate limit now allows.
    #[must_use]
    pub fn start_due(&mut self, now: Duration) -> Vec<Action> {
        self.start_queued(now)
    }

    /// Time from which the rate limit allows the start of a queued request that could have a slot; for
    /// a timer that calls [`start_due`](Self::start_due).
    #[must_use]
    pub fn next_due(&self) -> Option<Duration> {
        let pace = self.pace.as_ref()?;
        let has_bulk_slot = self.has_slot(true);
        let may_have_slot = |item: &PendingRequest| has_bulk_slot || !item.bulk;
        let waits = self.has_slot(false) && self.queue.first_matching(may_have_slot).is_some();
        waits.then(|| pace.next_start())
    }

    /// Time at which a queued request may have to be started or refused without another event; for a timer that
    /// calls [`start_due`](Self::start_due).
    #[must_use]
    pub fn next_wake(&self, now: Duration) -> Option<Duration> {
        let ends = self.queue.all().iter().map(|item| self.latest_start(item, now));
        ends.chain(self.next_due()).min()
    }

    /// Sets the length of the queue and the bulk share when the configuration changes. With a shorter
    /// queue, requests that already wait keep their places.
    #[must_use]
    pub fn set_policy(&mut self, queue_len: usize, bulk_share: f64, now: Duration) -> Vec<Action> {
        self.cfg.queue_len = queue_len;
        self.cfg.bulk_share = bulk_share;
        self.start_queued(now)
    }

    /// Sets whether the shares of routes and tenants and the cost of a refusal decide, as they do where the
    /// configuration has tenants; see [`AdmissionBuilder::cost_aware`]. Requests that already wait keep their places.
    pub fn set_cost_aware(&mut self, on: bool) {
        self.cfg.cost_aware = on;
    }

    /// Refuses all queued and all later requests; running requests continue to their end.
    #[must_use]
    pub fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.draining = true;
        self.refuse_waiting(ErrorKind::Draining, now)
    }

    /// Refuses all queued requests, with `kind` unless they have expired; running requests continue to
    /// their end.
    #[must_use]
    pub fn refuse_waiting(&mut self, kind: ErrorKind, now: Duration) -> Vec<Action> {
        let mut actions = self.expire(now);
        let retry_after = default_retry_after(kind);
        let refused = self.queue.take_all();
        actions.extend(refused.map(|item| refusal(&item, kind, retry_after)));
        self.observe_queue(now);
        actions
    }

    /// Refuses queued requests that can no longer start in time: after their deadline or, with a target,
    /// already earlier.
    #[must_use]
    pub fn expire(&mut self, now: Duration) -> Vec<Action> {
        let expired = self.take_matching(|this, item| this.latest_start(item, now) <= now);
        let mut actions = Vec::with_capacity(expired.len());
        for item in expired {
            self.routes.observe_wait(item.route, now.saturating_sub(item.queued_at));
            let wait = self.estimated_wait(&item, now);
            actions.push(self.refuse_queued(&item, ErrorKind::DeadlineUnreachable, wait, now));
        }
        self.observe_queue(now);
        actions
    }

    /// Earliest deadline in the queue, for a timer that calls [`expire`](Self::expire).
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        self.queue.next_deadline()
    }

    /// Number of running and of queued requests.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport { running: self.running.len() as u32, queued: self.queue.len() as u32 }
    }

    /// Load as other daemons should see it: while the rate limit allows no start, all slots count as taken.
    #[must_use]
    pub fn visible_load(&self, now: Duration) -> LoadReport {
        let mut load = self.load();
        if !self.is_on_pace(now) {
            load.running = load.running.max(self.cfg.slots);
        }
        load
    }

    /// Whether a slot is free and no request waits, so that one that is not bulk would start at once.
    #[must_use]
    pub fn has_free_slot(&self, now: Duration) -> bool {
        !self.draining && self.queue.len() == 0 && self.may_start(false, now)
    }

    /// Number of requests that were refused for lack of room, by what they were for.
    #[must_use]
    pub fn refusals(&self) -> RefusalCounts {
        self.refusals
    }

    /// Current number of slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.cfg.slots
    }

    /// Number of slots that bulk requests hold.
    #[must_use]
    pub fn bulk_running(&self) -> u32 {
        self.bulk_running
    }

    /// Maximum number of slots that bulk requests may hold.
    #[must_use]
    pub fn bulk_slots(&self) -> u32 {
        if !self.cfg.class_aware {
            return self.cfg.slots;
        }
        let share = f64::from(self.cfg.slots) * self.cfg.bulk_share.clamp(0.0, 1.0);
        (share as u32).max(1)
    }

    /// Whether [`drain`](Self::drain) was called.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    fn decide(
        &mut self,
        client: ClientState,
        ticket: Ticket<'_>,
        now: Duration,
        evicted: &mut Vec<Action>,
    ) -> Decision {
        if self.draining {
            return refuse(ErrorKind::Draining, Duration::ZERO);
        }
        if ticket.deadline <= now {
            return refuse(ErrorKind::DeadlineUnreachable, Duration::ZERO);
        }
        let item = self.classify(client, ticket, now);
        // A queued request that the rate limit has held up starts first.
        if self.may_start(item.bulk, now) && self.next_due().is_none() {
            self.start(&item, now);
            return Decision::Start;
        }
        let wait = self.estimated_wait(&item, now);
        if wait > ticket.deadline - now {
            return refuse(ErrorKind::DeadlineUnreachable, wait);
        }
        if item.target.is_some() && now + wait + self.run_time(&item) > ticket.deadline {
            return self.refuse_new(&item, ErrorKind::DeadlineUnreachable, wait, now);
        }
        if self.is_overloaded(&item, now) && self.exceeds_max_wait(&item, now) {
            self.overload.record_refusal(item.class, now);
            evicted.extend(self.shed_late(item.class, now));
            if self.exceeds_max_wait(&item, now) {
                return self.refuse_new(&item, ErrorKind::Overloaded, wait, now);
            }
        }
        self.enqueue(item, now, evicted)
    }

    /// Determines the class of a request, whether it counts towards the bulk share, and its precedence.
    ///
    /// On a route that is bulk by its run times, a lookup gets class bulk. A command or check keeps its
    /// class, since it must not be shed before lookups, but counts towards the bulk share. A route with
    /// a target is never bulk by its run times: the target tells how long its requests may take, and
    /// bulk work is not limited by targets under overload.
    fn classify(
        &mut self,
        client: ClientState,
        ticket: Ticket<'_>,
        now: Duration,
    ) -> PendingRequest {
        let route = self.routes.intern(ticket.route, now);
        let may_learn = self.cfg.learn_bulk && ticket.target.is_none();
        let learnt = may_learn && self.routes.is_bulk(route);
        let class = match ticket.class {
            _ if !self.cfg.class_aware => Class::Lookup,
            Class::Lookup if learnt => Class::Bulk,
            class => class,
        };
        self.arrivals += 1;
        let tenant = ticket.tenant.map(|name| self.tenants.intern(name));
        let mut item = PendingRequest {
            id: ticket.id,
            class,
            bulk: self.cfg.class_aware && (learnt || class == Class::Bulk),
            route,
            tenant,
            precedence: Precedence::Usual,
            ahead: self.requests_ahead(client),
            is_sent: !client.is_sending,
            deadline: ticket.deadline,
            target: ticket.target,
            queued_at: now,
            arrival: self.arrivals,
        };
        if self.cfg.cost_aware && self.cfg.class_aware {
            item.precedence = self.precedence(&item, ticket.nested, now);
        }
        item
    }

    /// Requests that count as sent ahead of one of this client. Those whose clients still send them count as requests of
    /// one connection, but for a part, so that they are never kept out.
    fn requests_ahead(&self, client: ClientState) -> u32 {
        if !client.is_sending {
            return client.ahead;
        }
        let running = self.running.iter().filter(|running| !running.is_sent).count();
        let waiting = self.queue.all().iter().filter(|item| !item.is_sent).count();
        let sending = u32::try_from(running + waiting).unwrap_or(u32::MAX);
        let share = (self.cfg.slots / SENDING_PART).max(1);
        client.ahead.max((sending + 1).saturating_sub(share))
    }

    fn may_start(&self, bulk: bool, now: Duration) -> bool {
        self.has_slot(bulk) && self.is_on_pace(now)
    }

    fn is_on_pace(&self, now: Duration) -> bool {
        self.pace.as_ref().is_none_or(|pace| pace.may_start(now))
    }

    pub(super) fn has_slot(&self, bulk: bool) -> bool {
        (self.running.len() as u64) < u64::from(self.cfg.slots)
            && (!bulk || self.bulk_running < self.bulk_slots())
    }

    fn start(&mut self, item: &PendingRequest, now: Duration) {
        if let Some(pace) = &mut self.pace {
            pace.start(now);
        }
        self.all.record_start(now);
        self.routes.share_mut(item.route).record_start(now);
        if let Some(tenant) = item.tenant {
            let work = self.waiting_secs(item);
            self.tenants.record_start(tenant, work, now);
        }
        self.bulk_running += u32::from(item.bulk);
        self.running.push(RunningRequest {
            id: item.id,
            class: item.class,
            bulk: item.bulk,
            route: item.route,
            has_target: item.target.is_some(),
            is_sent: item.is_sent,
            started: now,
        });
    }

    fn release(&mut self, id: TicketId) -> Option<RunningRequest> {
        let at = self.running.iter().position(|running| running.id == id)?;
        let ended = self.running.swap_remove(at);
        self.bulk_running -= u32::from(ended.bulk);
        Some(ended)
    }

    fn enqueue(
        &mut self,
        item: PendingRequest,
        now: Duration,
        evicted: &mut Vec<Action>,
    ) -> Decision {
        if self.queue.len() >= self.cfg.queue_len {
            evicted.extend(self.expire(now));
        }
        if self.queue.len() >= self.cfg.queue_len {
            let retry_after = self.drain_time(now);
            let Some(shed) = self.queue.shed_below(&item) else {
                return self.refuse_new(&item, ErrorKind::Overloaded, retry_after, now);
            };
            evicted.push(self.refuse_queued(&shed, ErrorKind::Overloaded, retry_after, now));
        }
        self.queue.insert(item);
        Decision::Queued
    }

    fn start_queued(&mut self, now: Duration) -> Vec<Action> {
        if self.queue.len() == 0 {
            return Vec::new();
        }
        let mut actions = self.expire(now);
        loop {
            let slot = self.may_start(false, now);
            let bulk_slot = self.may_start(true, now);
            let next = self.queue.first_matching(|item| slot && (bulk_slot || !item.bulk));
            let Some(item) = next else { break };
            self.queue.remove(item.id);
            if self.should_yield_slot(&item, now) {
                let wait = self.estimated_wait(&item, now);
                actions.push(self.refuse_queued(&item, ErrorKind::Overloaded, wait, now));
                self.overload.record_refusal(item.class, now);
            } else {
                self.routes.observe_wait(item.route, now.saturating_sub(item.queued_at));
                self.start(&item, now);
                actions.push(Action::Start(item.id));
            }
        }
        self.observe_queue(now);
        actions
    }

    fn observe_queue(&mut self, now: Duration) {
        self.overload.observe(self.queue.highest_class(), now);
    }

    pub(super) fn is_overloaded(&self, item: &PendingRequest, now: Duration) -> bool {
        self.cfg.class_aware && !item.bulk && self.overload.is_active(item.class, now)
    }

    /// Whether a request would wait too long under overload. This is never so for the first one in the
    /// queue, so that a slot that becomes free finds a request.
    fn exceeds_max_wait(&self, item: &PendingRequest, now: Duration) -> bool {
        !self.queue.ahead_of(item).is_empty()
            && self.estimated_wait(item, now) > self.max_wait(item, now)
    }

    /// Whether a request that was just taken from the queue is late while another one of its class is
    /// not, so that the slot goes to that one. A slot never stays idle for this.
    fn should_yield_slot(&self, item: &PendingRequest, now: Duration) -> bool {
        let is_late = |item: &PendingRequest| self.is_late(item, now);
        let is_preferred =
            |other: &PendingRequest| other.class == item.class && !other.bulk && !is_late(other);
        self.is_overloaded(item, now)
            && is_late(item)
            && self.queue.first_matching(is_preferred).is_some()
    }

    /// Time after which a queued request is not worth starting; without a target this is its deadline.
    ///
    /// A request with a target is refused once it cannot end before its deadline, while its caller
    /// still has time for another try. Under overload it is refused once it cannot end before its target, and
    /// its place goes to a request that can.
    fn latest_start(&self, item: &PendingRequest, now: Duration) -> Duration {
        let Some(target) = item.target else { return item.deadline };
        let ends_at_target = self.is_overloaded(item, now) && item.precedence != Precedence::Nested;
        let end = if ends_at_target { target } else { item.deadline };
        end.min(item.deadline).saturating_sub(self.run_time(item))
    }

    /// Removes and returns the queued requests that match.
    fn take_matching(
        &mut self,
        matches: impl Fn(&Self, &PendingRequest) -> bool,
    ) -> Vec<PendingRequest> {
        let found: Vec<TicketId> = self
            .queue
            .all()
            .iter()
            .filter(|item| matches(self, item))
            .map(|item| item.id)
            .collect();
        found.into_iter().filter_map(|id| self.queue.remove(id)).collect()
    }

    /// Whether a queued request has waited too long. The estimate on its arrival does not include
    /// requests of higher classes that arrive later, so without a target the wait may exceed its limit
    /// by the target wait of the settings.
    fn is_late(&self, item: &PendingRequest, now: Duration) -> bool {
        match item.target {
            Some(target) => now + self.run_time(item) > target,
            None => {
                let wait = self.max_class_wait(item.class).saturating_add(self.cfg.target_wait);
                item.queued_at < now.saturating_sub(wait)
            }
        }
    }

    /// Refuses the late requests of `class`, except bulk ones, so that a new one does not wait behind
    /// them.
    fn shed_late(&mut self, class: Class, now: Duration) -> Vec<Action> {
        let late = self.take_matching(|this, item| {
            item.class == class && !item.bulk && this.is_late(item, now)
        });
        let refuse = |item: &PendingRequest| {
            let wait = self.estimated_wait(item, now);
            self.refuse_queued(item, ErrorKind::Overloaded, wait, now)
        };
        late.iter().map(refuse).collect()
    }
}
