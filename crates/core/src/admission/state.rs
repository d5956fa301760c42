//! The state machine of admission.

use std::time::Duration;

use super::builder::AdmissionBuilder;
use super::overload::Overload;
use super::queue::{Queue, Waiting};
use super::routes::{Routes, RunTime};
use super::ticket::{Action, Decision, OfferResult, Ticket, TicketId};
use super::wait::{RunTimes, wait_secs};
use crate::balance::LoadReport;
use crate::config::Class;
use crate::error::ErrorKind;

/// Longest time that a refusal asks the caller to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Shortest time that a refusal asks a caller to wait whose route tells how long it may take.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Part of the time to spare within its target that a request may be expected to wait under overload;
/// run times and waits vary.
const TARGET_WAIT_PART: f64 = 0.6;

/// Part of its run time that a request may wait under overload even if that is over the target.
const RUN_TIME_PART: f64 = 0.25;

/// Time to an answer that a longer wait must keep under overload. A check of 25 ms may wait longer
/// than a command of 60 ms: with 20 ms for both, 90 % of the checks at a peak were in time, not 98 %.
const TARGET_ANSWER: Duration = Duration::from_millis(80);

/// Slots and queue of one backend server.
///
/// Every request that is offered gets exactly one of start, refusal and cancellation.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionBuilder,
    running: Vec<Running>,
    bulk_running: u32,
    queue: Queue,
    arrivals: u64,
    routes: Routes,
    run_times: RunTimes,
    overload: Overload,
    draining: bool,
}

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    id: TicketId,
    class: Class,
    bulk: bool,
    route: usize,
    has_target: bool,
    started: Duration,
}

impl Admission {
    /// Settings with the defaults of the design page.
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
            routes: Routes::default(),
            run_times: RunTimes::default(),
            overload: Overload::default(),
            draining: false,
        }
    }

    /// Decides on a new request. Its id must differ from those of all requests that are present.
    pub fn offer(&mut self, ticket: Ticket<'_>, now: Duration) -> OfferResult {
        let mut evicted = Vec::new();
        let decision = self.decide(ticket, now, &mut evicted);
        self.observe_queue(now);
        OfferResult { decision, evicted }
    }

    /// Takes back the slot of a request that has ended, and starts queued ones.
    #[must_use]
    pub fn finish(&mut self, id: TicketId, now: Duration) -> Vec<Action> {
        let Some(ended) = self.release(id) else {
            return Vec::new();
        };
        let time = now.saturating_sub(ended.started);
        self.routes.observe(ended.route, time);
        self.run_times.of(ended.class).observe(time);
        self.start_queued(now)
    }

    /// Removes a request that its caller has abandoned, whether it waits or runs. Its run time is
    /// not learnt from.
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

    /// Sets the number of slots. Running requests are not interrupted when there are fewer.
    #[must_use]
    pub fn set_slots(&mut self, slots: u32, now: Duration) -> Vec<Action> {
        self.cfg.slots = slots;
        self.start_queued(now)
    }

    /// Sets the places in the queue and the bulk share when the configuration changes. Requests that
    /// wait keep their places when there are fewer.
    #[must_use]
    pub fn set_policy(&mut self, queue_len: usize, bulk_share: f64, now: Duration) -> Vec<Action> {
        self.cfg.queue_len = queue_len;
        self.cfg.bulk_share = bulk_share;
        self.start_queued(now)
    }

    /// Stops admission: refuses what waits and all that follows; what runs ends.
    #[must_use]
    pub fn drain(&mut self, now: Duration) -> Vec<Action> {
        self.draining = true;
        self.refuse_waiting(ErrorKind::Draining, now)
    }

    /// Refuses what waits; what runs ends.
    #[must_use]
    pub fn refuse_waiting(&mut self, kind: ErrorKind, now: Duration) -> Vec<Action> {
        let mut actions = self.expire(now);
        let retry_after = default_retry_after(kind);
        let refused = self.queue.take_all();
        actions.extend(refused.map(|item| refusal(&item, kind, retry_after)));
        self.observe_queue(now);
        actions
    }

    /// Refuses queued requests whose deadline has passed.
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

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> LoadReport {
        LoadReport { running: self.running.len() as u32, queued: self.queue.len() as u32 }
    }

    /// Whether a request would start at once.
    #[must_use]
    pub fn has_free_slot(&self) -> bool {
        !self.draining && self.queue.len() == 0 && self.may_start(false)
    }

    /// Slots at present.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.cfg.slots
    }

    /// Slots held by bulk work.
    #[must_use]
    pub fn bulk_running(&self) -> u32 {
        self.bulk_running
    }

    /// Most slots that bulk work may hold.
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
        if self.may_start(item.bulk) {
            self.start(&item, now);
            return Decision::Start;
        }
        let wait = self.estimated_wait(&item);
        if wait > ticket.deadline - now {
            return refuse(ErrorKind::DeadlineUnreachable, wait);
        }
        if item.target.is_some() && now + wait + self.run_time(&item) > ticket.deadline {
            return refuse_for(&item, ErrorKind::DeadlineUnreachable, wait);
        }
        if self.is_overloaded(&item, now) && self.is_over_target(&item, now) {
            self.overload.refused(item.class, now);
            evicted.extend(self.shed_late(item.class, now));
            if self.is_over_target(&item, now) {
                return refuse_for(&item, ErrorKind::Overloaded, wait);
            }
        }
        self.enqueue(item, now, evicted)
    }

    /// A lookup of a route learnt as bulk becomes bulk. A command or check keeps its class, since
    /// it must not be shed before lookups, but counts towards the bulk share.
    fn classify(&mut self, ticket: Ticket<'_>, now: Duration) -> Waiting {
        let route = self.routes.intern(ticket.route, now);
        let learnt = self.cfg.learn_bulk && self.routes.is_bulk(route);
        let class = match ticket.class {
            _ if !self.cfg.class_aware => Class::Lookup,
            Class::Lookup if learnt => Class::Bulk,
            class => class,
        };
        self.arrivals += 1;
        Waiting {
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

    fn may_start(&self, bulk: bool) -> bool {
        (self.running.len() as u64) < u64::from(self.cfg.slots)
            && (!bulk || self.bulk_running < self.bulk_slots())
    }

    fn start(&mut self, item: &Waiting, now: Duration) {
        self.bulk_running += u32::from(item.bulk);
        self.running.push(Running {
            id: item.id,
            class: item.class,
            bulk: item.bulk,
            route: item.route,
            has_target: item.target.is_some(),
            started: now,
        });
    }

    fn release(&mut self, id: TicketId) -> Option<Running> {
        let at = self.running.iter().position(|running| running.id == id)?;
        let ended = self.running.swap_remove(at);
        self.bulk_running -= u32::from(ended.bulk);
        Some(ended)
    }

    fn enqueue(&mut self, item: Waiting, now: Duration, evicted: &mut Vec<Action>) -> Decision {
        if self.queue.len() >= self.cfg.queue_len {
            evicted.extend(self.expire(now));
        }
        if self.queue.len() >= self.cfg.queue_len {
            let retry_after = self.drain_time();
            let Some(shed) = self.queue.shed_below(item.class) else {
                return refuse_for(&item, ErrorKind::Overloaded, retry_after);
            };
            evicted.push(refusal(
                &shed,
                ErrorKind::Overloaded,
                bounded(ErrorKind::Overloaded, retry_after),
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
            let slot = self.may_start(false);
            let bulk_slot = self.may_start(true);
            let next = self.queue.first(|item| slot && (bulk_slot || !item.bulk));
            let Some(item) = next else { break };
            self.queue.remove(item.id);
            if self.gives_way(&item, now) {
                let kind = ErrorKind::Overloaded;
                actions.push(refusal(&item, kind, default_retry_after(kind)));
                self.overload.refused(item.class, now);
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

    fn is_overloaded(&self, item: &Waiting, now: Duration) -> bool {
        self.cfg.class_aware && !item.bulk && self.overload.is_on(item.class, now)
    }

    /// Whether a request would wait too long under overload. The first in line never does, so that a
    /// slot that becomes free finds a request.
    fn is_over_target(&self, item: &Waiting, now: Duration) -> bool {
        !self.queue.ahead_of(item).is_empty()
            && self.estimated_wait(item) > self.target_wait(item, now)
    }

    /// Longest wait of a request under overload: one that leaves time for an answer within its target,
    /// or one that depends on its class alone.
    fn target_wait(&self, item: &Waiting, now: Duration) -> Duration {
        match item.target {
            Some(target) => {
                target.saturating_sub(now + self.run_time(item)).mul_f64(TARGET_WAIT_PART)
            }
            None => self.class_wait(item.class),
        }
    }

    fn class_wait(&self, class: Class) -> Duration {
        let secs = self.run_times.secs(class);
        let part = Duration::try_from_secs_f64(secs * RUN_TIME_PART).unwrap_or(Duration::MAX);
        let run_time = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        self.cfg.target_wait.max(part).max(TARGET_ANSWER.saturating_sub(run_time))
    }

    /// Whether a request that was taken from the queue is late and leaves its slot to one of its
    /// class that is not. A slot never stays idle for this.
    fn gives_way(&self, item: &Waiting, now: Duration) -> bool {
        let is_late = |item: &Waiting| self.is_late(item, now);
        let is_better =
            |other: &Waiting| other.class == item.class && !other.bulk && !is_late(other);
        self.is_overloaded(item, now) && is_late(item) && self.queue.first(is_better).is_some()
    }

    /// Time after which a queued request is not worth starting. Where routes tell how long they may
    /// take, one that cannot end in time is refused while its caller has time for another try; under
    /// overload its place goes to one that can still be answered within its target.
    fn latest_start(&self, item: &Waiting, now: Duration) -> Duration {
        let Some(target) = item.target else { return item.deadline };
        let end = if self.is_overloaded(item, now) { target } else { item.deadline };
        end.min(item.deadline).saturating_sub(self.run_time(item))
    }

    /// Takes the queued requests that match.
    fn take_matching(&mut self, matches: impl Fn(&Self, &Waiting) -> bool) -> Vec<Waiting> {
        let found: Vec<TicketId> = self
            .queue
            .all()
            .iter()
            .filter(|item| matches(self, item))
            .map(|item| item.id)
            .collect();
        found.into_iter().filter_map(|id| self.queue.remove(id)).collect()
    }

    /// Whether a queued request has waited too long. The estimate does not know of higher classes that
    /// arrive meanwhile, so a wait may be over the target for a while.
    fn is_late(&self, item: &Waiting, now: Duration) -> bool {
        match item.target {
            Some(target) => now + self.run_time(item) > target,
            None => {
                let wait = self.class_wait(item.class).saturating_add(self.cfg.target_wait);
                item.queued_at < now.saturating_sub(wait)
            }
        }
    }

    /// Refuses the late requests of `class`, so that one that has just come is not behind them.
    fn shed_late(&mut self, class: Class, now: Duration) -> Vec<Action> {
        let kind = ErrorKind::Overloaded;
        let late = self.take_matching(|this, item| {
            item.class == class && !item.bulk && this.is_late(item, now)
        });
        late.iter().map(|item| refusal(item, kind, default_retry_after(kind))).collect()
    }

    /// Time until `item` would start if it were queued now.
    fn estimated_wait(&self, item: &Waiting) -> Duration {
        let modelled = self.modelled_wait(item);
        // Requests that arrive later and go first are not in the model, but in the waits of those that
        // have just left the queue.
        let has_like = self.queue.all().iter().any(|other| other.route == item.route);
        if item.target.is_none() || !has_like {
            return modelled;
        }
        let observed = Duration::try_from_secs_f64(self.routes.wait_secs(item.route));
        modelled.max(observed.unwrap_or_default())
    }

    /// Time until `item` would start if nothing else arrived.
    fn modelled_wait(&self, item: &Waiting) -> Duration {
        let ahead = self.queue.ahead_of(item);
        let running = self.running.iter().map(|running| self.running_secs(running));
        let queued = ahead.iter().map(|other| self.waiting_secs(other));
        let mut secs = wait_secs(running, queued, self.cfg.slots);
        if item.bulk {
            let running = self.running.iter().filter(|running| running.bulk);
            let behind_bulk = wait_secs(
                running.map(|running| self.running_secs(running)),
                ahead.iter().filter(|other| other.bulk).map(|other| self.waiting_secs(other)),
                self.bulk_slots(),
            );
            secs = secs.max(behind_bulk);
        }
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    /// Time until all that waits has started.
    fn drain_time(&self) -> Duration {
        let running = self.running.iter().map(|running| self.running_secs(running));
        let waiting = self.queue.all().iter().map(|item| self.waiting_secs(item));
        let secs = wait_secs(running, waiting, self.cfg.slots);
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    fn running_secs(&self, running: &Running) -> f64 {
        self.expected_secs(running.class, running.route, running.has_target)
    }

    fn waiting_secs(&self, item: &Waiting) -> f64 {
        self.expected_secs(item.class, item.route, item.target.is_some())
    }

    /// Expected run time: that of the route where routes tell how long they may take, since short and
    /// long work can then have one class, and otherwise that of the class.
    fn expected_secs(&self, class: Class, route: usize, has_target: bool) -> f64 {
        let of_route = if has_target { self.routes.run_time(route) } else { None };
        of_route.map_or_else(|| self.run_times.secs(class), RunTime::secs)
    }

    fn run_time(&self, item: &Waiting) -> Duration {
        Duration::try_from_secs_f64(self.waiting_secs(item)).unwrap_or_default()
    }
}

fn default_retry_after(kind: ErrorKind) -> Duration {
    kind.answer().retry_after.unwrap_or_default()
}

/// `estimate`, but at least the default of the error kind.
fn bounded(kind: ErrorKind, estimate: Duration) -> Duration {
    estimate.min(MAX_RETRY_AFTER).max(default_retry_after(kind))
}

fn refuse(kind: ErrorKind, estimate: Duration) -> Decision {
    Decision::Refuse { kind, retry_after: bounded(kind, estimate) }
}

/// Refuses a request. Where routes tell how long they may take, a caller that is told to come back in a
/// second has no time left, so it gets the estimate itself.
fn refuse_for(item: &Waiting, kind: ErrorKind, estimate: Duration) -> Decision {
    match item.target {
        Some(_) => {
            let retry_after = estimate.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            Decision::Refuse { kind, retry_after }
        }
        None => refuse(kind, estimate),
    }
}

fn refusal(item: &Waiting, kind: ErrorKind, retry_after: Duration) -> Action {
    Action::Refuse { id: item.id, kind, retry_after }
}
