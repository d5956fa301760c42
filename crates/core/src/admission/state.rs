//! The state machine of admission.

use std::time::Duration;

use super::builder::AdmissionBuilder;
use super::queue::{Queue, Waiting};
use super::routes::Routes;
use super::ticket::{Action, Decision, Offer, Ticket, TicketId};
use super::wait::RunTimes;
use crate::balance::LoadReport;
use crate::config::Class;
use crate::error::ErrorKind;

/// Longest time that a refusal asks the caller to wait.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Slots and queue of one backend server.
///
/// Every request that is offered gets exactly one of start, refusal and cancellation.
#[derive(Debug)]
pub struct Admission {
    cfg: AdmissionBuilder,
    running: Vec<Running>,
    bulk_running: u32,
    reserved: u32,
    queue: Queue,
    arrivals: u64,
    routes: Routes,
    run_times: RunTimes,
    draining: bool,
}

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    id: TicketId,
    class: Class,
    bulk: bool,
    route: usize,
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
            reserved: 0,
            queue: Queue::default(),
            arrivals: 0,
            routes: Routes::default(),
            run_times: RunTimes::default(),
            draining: false,
        }
    }

    /// Decides on a new request. Its id must differ from those of all requests that are present.
    pub fn offer(&mut self, ticket: Ticket<'_>, now: Duration) -> Offer {
        let mut evicted = Vec::new();
        let decision = self.decide(ticket, now, &mut evicted);
        Offer { decision, evicted }
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
        if self.queue.remove(id).is_some() || self.release(id).is_none() {
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

    /// Sets how many slots are used by others, who call the backend server without admission.
    #[must_use]
    pub fn set_reserved(&mut self, reserved: u32, now: Duration) -> Vec<Action> {
        self.reserved = reserved;
        self.start_queued(now)
    }

    /// Slots that are not reserved.
    #[must_use]
    pub fn open_slots(&self) -> u32 {
        self.cfg.slots.saturating_sub(self.reserved)
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
        let mut actions = self.expire(now);
        let retry_after = default_retry_after(ErrorKind::Draining);
        let refused = self.queue.take_all();
        actions.extend(refused.map(|item| refusal(&item, ErrorKind::Draining, retry_after)));
        actions
    }

    /// Refuses queued requests whose deadline has passed.
    #[must_use]
    pub fn expire(&mut self, now: Duration) -> Vec<Action> {
        let retry_after = default_retry_after(ErrorKind::DeadlineUnreachable);
        self.queue
            .take_expired(now)
            .map(|item| refusal(&item, ErrorKind::DeadlineUnreachable, retry_after))
            .collect()
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
            arrival: self.arrivals,
        }
    }

    fn may_start(&self, bulk: bool) -> bool {
        (self.running.len() as u64) < u64::from(self.open_slots())
            && (!bulk || self.bulk_running < self.bulk_slots())
    }

    fn start(&mut self, item: &Waiting, now: Duration) {
        self.bulk_running += u32::from(item.bulk);
        self.running.push(Running {
            id: item.id,
            class: item.class,
            bulk: item.bulk,
            route: item.route,
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
            *evicted = self.expire(now);
        }
        if self.queue.len() >= self.cfg.queue_len {
            let retry_after = self.drain_time();
            let Some(shed) = self.queue.shed_below(item.class) else {
                return refuse(ErrorKind::Overloaded, retry_after);
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
            let next = self.queue.pop_first(|item| slot && (bulk_slot || !item.bulk));
            let Some(item) = next else { break };
            self.start(&item, now);
            actions.push(Action::Start(item.id));
        }
        actions
    }

    /// Time until `item` would start if it were queued now.
    fn estimated_wait(&self, item: &Waiting) -> Duration {
        let ahead = self.queue.ahead_of(item);
        let running = self.running.iter().map(|running| running.class);
        let mut secs = self.run_times.wait_secs(running, ahead.iter(), self.open_slots());
        if item.bulk {
            let running = self.running.iter().filter(|running| running.bulk);
            let behind_bulk = self.run_times.wait_secs(
                running.map(|running| running.class),
                ahead.iter().filter(|other| other.bulk),
                self.bulk_slots(),
            );
            secs = secs.max(behind_bulk);
        }
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
    }

    /// Time until all that waits has started.
    fn drain_time(&self) -> Duration {
        let running = self.running.iter().map(|running| running.class);
        let waiting = self.queue.all().iter();
        let secs = self.run_times.wait_secs(running, waiting, self.open_slots());
        Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX)
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

fn refusal(item: &Waiting, kind: ErrorKind, retry_after: Duration) -> Action {
    Action::Refuse { id: item.id, kind, retry_after }
}
