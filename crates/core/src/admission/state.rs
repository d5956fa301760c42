//! The state machine of admission control.
//!
//! The proxy of the host daemon calls it for each request and carries out the decisions it returns.

use std::time::Duration;

use super::builder::AdmissionBuilder;
use super::overload::OverloadDetector;
use super::pace::Pace;
use super::queue::{PendingRequest, Queue};
use super::refusal::{bounded_retry_after, default_retry_after, refusal, refuse, refuse_for};
use super::routes::{RouteTable, SmoothedRunTime};
use super::ticket::{Action, Decision, OfferResult, Ticket, TicketId};
use super::wait::{ClassRunTimes, wait_secs};
use crate::balance::LoadReport;
use crate::condition::RateLimit;
use crate::config::Class;
use crate::error::ErrorKind;

/// Fraction of the time to spare before its target that a request may be expected to wait under
/// overload. The rest is a margin, since run times and waits vary.
const TARGET_WAIT_FRACTION: f64 = 0.6;

/// Fraction of its run time that a request may wait under overload even if that exceeds the limit.
const RUN_TIME_WAIT_FRACTION: f64 = 0.25;

/// Under overload a request may wait longer than the limit if its wait and run time together stay
/// within this time. Thus a check of 25 ms may wait longer than a command of 60 ms: with 20 ms for
/// both, 90 % of the checks at a peak were in time, not 98 %.
const TARGET_RESPONSE_TIME: Duration = Duration::from_millis(80);

/// Slots and queue of one backend server.
///
/// Exactly one of these happens to every offered request: it starts, is refused, or is cancelled before
/// it starts.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionBuilder,
    running: Vec<RunningRequest>,
    bulk_running: u32,
    queue: Queue,
    arrivals: u64,
    routes: RouteTable,
    run_times: ClassRunTimes,
    overload: OverloadDetector,
    /// Set while the backend server limits the rate of its requests.
    pace: Option<Pace>,
    draining: bool,
}

/// A request that holds a slot.
#[derive(Debug)]
struct RunningRequest {
    id: TicketId,
    class: Class,
    /// Whether it counts towards the bulk share.
    bulk: bool,
    route: usize,
    has_target: bool,
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
            run_times: ClassRunTimes::default(),
            overload: OverloadDetector::default(),
            pace: None,
            draining: false,
        }
    }

    /// Decides on a new request. Its id must differ from those of all requests that run or wait.
    pub fn offer(&mut self, ticket: Ticket<'_>, now: Duration) -> OfferResult {
        let mut evicted = Vec::new();
        let decision = self.decide(ticket, now, &mut evicted);
        self.observe_queue(now);
        OfferResult { decision, evicted }
    }

    /// Frees the slot of a request that has ended, records its run time and starts queued requests.
    #[must_use]
    pub fn finish(&mut self, id: TicketId, now: Duration) -> Vec<Action> {
        let Some(ended) = self.release(id) else {
            return Vec::new();
        };
        let time = now.saturating_sub(ended.started);
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

    /// Sets the length of the queue and the bulk share when the configuration changes. With a shorter
    /// queue, requests that already wait keep their places.
    #[must_use]
    pub fn set_policy(&mut self, queue_len: usize, bulk_share: f64, now: Duration) -> Vec<Action> {
        self.cfg.queue_len = queue_len;
        self.cfg.bulk_share = bulk_share;
        self.start_queued(now)
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
        let retry_after = default_retry_after(ErrorKind::DeadlineUnreachable);
        let expired = self.take_matching(|this, item| this.latest_start(item, now) <= now);
        let mut actions = Vec::with_capacity(expired.len());
        for item in expired {
            self.routes.observe_wait(item.route, now.saturating_sub(item.queued_at));
            actions.push(refusal(&item, ErrorKind::DeadlineUnreachable, retry_after));
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

    fn decide(&mut self, ticket: Ticket<'_>, now: Duration, evicted: &mut Vec<Action>) -> Decision {
        if self.draining {
            return refuse(ErrorKind::Draining, Duration::ZERO);
        }
        if ticket.deadline <= now {
            return refuse(ErrorKind::DeadlineUnreachable, Duration::ZERO);
        }
        let item = self.classify(ticket, now);
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
            return refuse_for(&item, ErrorKind::DeadlineUnreachable, wait);
        }
        if self.is_overloaded(&item, now) && self.exceeds_max_wait(&item, now) {
            self.overload.record_refusal(item.class, now);
            evicted.extend(self.shed_late(item.class, now));
            if self.exceeds_max_wait(&item, now) {
                return refuse_for(&item, ErrorKind::Overloaded, wait);
            }
        }
        self.enqueue(item, now, evicted)
    }

    /// Determines the class of a request and whether it counts towards the bulk share.
    ///
    /// On a route that is bulk by its run times, a lookup gets class bulk. A command or check keeps its
    /// class, since it must not be shed before lookups, but counts towards the bulk share. A route with
    /// a target is never bulk by its run times: the target tells how long its requests may take, and
    /// bulk work is not limited by targets under overload.
    fn classify(&mut self, ticket: Ticket<'_>, now: Duration) -> PendingRequest {
        let route = self.routes.intern(ticket.route, now);
        let may_learn = self.cfg.learn_bulk && ticket.target.is_none();
        let learnt = may_learn && self.routes.is_bulk(route);
        let class = match ticket.class {
            _ if !self.cfg.class_aware => Class::Lookup,
            Class::Lookup if learnt => Class::Bulk,
            class => class,
        };
        self.arrivals += 1;
        PendingRequest {
            id: ticket.id,
            class,
            bulk: self.cfg.class_aware && (learnt || class == Class::Bulk),
            route,
            deadline: ticket.deadline,
            target: ticket.target,
            queued_at: now,
            arrival: self.arrivals,
        }
    }

    fn may_start(&self, bulk: bool, now: Duration) -> bool {
        self.has_slot(bulk) && self.is_on_pace(now)
    }

    fn is_on_pace(&self, now: Duration) -> bool {
        self.pace.as_ref().is_none_or(|pace| pace.may_start(now))
    }

    fn has_slot(&self, bulk: bool) -> bool {
        (self.running.len() as u64) < u64::from(self.cfg.slots)
            && (!bulk || self.bulk_running < self.bulk_slots())
    }

    fn start(&mut self, item: &PendingRequest, now: Duration) {
        if let Some(pace) = &mut self.pace {
            pace.start(now);
        }
        self.bulk_running += u32::from(item.bulk);
        self.running.push(RunningRequest {
            id: item.id,
            class: item.class,
            bulk: item.bulk,
            route: item.route,
            has_target: item.target.is_some(),
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
            let Some(shed) = self.queue.shed_below(item.class) else {
                return refuse_for(&item, ErrorKind::Overloaded, retry_after);
            };
            evicted.push(refusal(
                &shed,
                ErrorKind::Overloaded,
                bounded_retry_after(ErrorKind::Overloaded, retry_after),
            ));
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
                let kind = ErrorKind::Overloaded;
                actions.push(refusal(&item, kind, default_retry_after(kind)));
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

    fn is_overloaded(&self, item: &PendingRequest, now: Duration) -> bool {
        self.cfg.class_aware && !item.bulk && self.overload.is_active(item.class, now)
    }

    /// Whether a request would wait too long under overload. This is never so for the first one in the
    /// queue, so that a slot that becomes free finds a request.
    fn exceeds_max_wait(&self, item: &PendingRequest, now: Duration) -> bool {
        !self.queue.ahead_of(item).is_empty()
            && self.estimated_wait(item, now) > self.max_wait(item, now)
    }

    /// Limit of the estimated wait of a request under overload. With a target, it leaves time to answer
    /// before the target; without one, it depends on the class alone.
    fn max_wait(&self, item: &PendingRequest, now: Duration) -> Duration {
        match item.target {
            Some(target) => {
                target.saturating_sub(now + self.run_time(item)).mul_f64(TARGET_WAIT_FRACTION)
            }
            None => self.max_class_wait(item.class),
        }
    }

    /// Limit of the estimated wait under overload for a class, by its smoothed run time.
    fn max_class_wait(&self, class: Class) -> Duration {
        let secs = self.run_times.secs(class);
        let part =
            Duration::try_from_secs_f64(secs * RUN_TIME_WAIT_FRACTION).unwrap_or(Duration::MAX);
        let run_time = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        self.cfg.target_wait.max(part).max(TARGET_RESPONSE_TIME.saturating_sub(run_time))
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
        let end = if self.is_overloaded(item, now) { target } else { item.deadline };
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
        let kind = ErrorKind::Overloaded;
        let late = self.take_matching(|this, item| {
            item.class == class && !item.bulk && this.is_late(item, now)
        });
        late.iter().map(|item| refusal(item, kind, default_retry_after(kind))).collect()
    }

    /// Estimated time until `item` would start if it were queued now.
    fn estimated_wait(&self, item: &PendingRequest, now: Duration) -> Duration {
        let modelled = self.modelled_wait(item, now);
        // The model leaves out requests that arrive later and start earlier. The measured waits of
        // requests that recently left the queue include them.
        let has_same_route = self.queue.all().iter().any(|other| other.route == item.route);
        if item.target.is_none() || !has_same_route {
            return modelled;
        }
        let observed = Duration::try_from_secs_f64(self.routes.wait_secs(item.route));
        modelled.max(observed.unwrap_or_default())
    }

    /// Estimated time until `item` would start if no other request arrived.
    fn modelled_wait(&self, item: &PendingRequest, now: Duration) -> Duration {
        let ahead = self.queue.ahead_of(item);
        let running = self.running.iter().map(|running| self.running_secs(running));
        let queued = ahead.iter().map(|other| self.waiting_secs(other));
        let mut secs = wait_secs(running, queued, self.cfg.slots);
        if item.bulk {
            let running = self.running.iter().filter(|running| running.bulk);
            let bulk_secs = wait_secs(
                running.map(|running| self.running_secs(running)),
                ahead.iter().filter(|other| other.bulk).map(|other| self.waiting_secs(other)),
                self.bulk_slots(),
            );
            secs = secs.max(bulk_secs);
        }
        let slot_wait = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        slot_wait.max(self.paced_wait(ahead.len(), now))
    }

    /// Time until the rate limit allows the start of a request with `ahead` others before it.
    fn paced_wait(&self, ahead: usize, now: Duration) -> Duration {
        self.pace.as_ref().map_or(Duration::ZERO, |pace| pace.wait(ahead, now))
    }

    /// Estimated time until all queued requests have started.
    fn drain_time(&self, now: Duration) -> Duration {
        let running = self.running.iter().map(|running| self.running_secs(running));
        let waiting = self.queue.all().iter().map(|item| self.waiting_secs(item));
        let secs = wait_secs(running, waiting, self.cfg.slots);
        let slot_wait = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        slot_wait.max(self.paced_wait(self.queue.len(), now))
    }

    fn running_secs(&self, running: &RunningRequest) -> f64 {
        self.expected_secs(running.class, running.route, running.has_target)
    }

    fn waiting_secs(&self, item: &PendingRequest) -> f64 {
        self.expected_secs(item.class, item.route, item.target.is_some())
    }

    /// Expected run time in seconds. For a request with a target it is that of the route, if known,
    /// since short and long requests can then have the same class; otherwise it is that of the class.
    fn expected_secs(&self, class: Class, route: usize, has_target: bool) -> f64 {
        let route_run_time = if has_target { self.routes.run_time(route) } else { None };
        route_run_time.map_or_else(|| self.run_times.secs(class), SmoothedRunTime::secs)
    }

    fn run_time(&self, item: &PendingRequest) -> Duration {
        Duration::try_from_secs_f64(self.waiting_secs(item)).unwrap_or_default()
    }
}
