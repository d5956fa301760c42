//! Tests the invariants of admission: the slot limit, the bulk share, one outcome per request, the order
//! of the queue and deadlines.

use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, AdmissionBuilder, Decision, Ticket};
use baobabreel_core::config::Class;
use baobabreel_core::error::ErrorKind;
use quickcheck::{Gen, QuickCheck};

const UNREACHABLE: Decision =
    Decision::Refuse { kind: ErrorKind::DeadlineUnreachable, retry_after: Duration::from_secs(1) };

const CLASSES: [Class; 4] = [Class::Bulk, Class::Lookup, Class::Command, Class::Check];

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum TicketState {
    Queued,
    Running,
    Ended,
}

/// Id of the ticket that an action is about.
fn ticket_id(action: &Action) -> usize {
    let (Action::Start(id) | Action::Refuse { id, .. }) = action;
    *id as usize
}

/// Reference model that checks every action of `Admission`; the index of a ticket is its id.
struct Model {
    admission: Admission,
    /// Class, deadline and state of each ticket.
    tickets: Vec<(Class, Duration, TicketState)>,
    now: Duration,
    drained: bool,
    /// Per class, since when a request of this or a higher class has been waiting.
    waiting_since: [Option<Duration>; 4],
    /// Per class, the last refusal for overload that counts for it.
    overloaded_at: [Option<Duration>; 4],
}

impl Model {
    fn new(builder: AdmissionBuilder) -> Self {
        Self {
            admission: builder.build(),
            tickets: Vec::new(),
            now: ms(1_000),
            drained: false,
            waiting_since: [None; 4],
            overloaded_at: [None; 4],
        }
    }

    /// Whether a request of `class` may be refused because requests have waited too long.
    fn overloaded(&self, class: Class) -> bool {
        let queue_is_standing =
            self.waiting_since[class as usize].is_some_and(|t| self.now - t >= ms(100));
        let recently_refused =
            self.overloaded_at[class as usize].is_some_and(|t| self.now - t < ms(500));
        class != Class::Bulk && (queue_is_standing || recently_refused)
    }

    /// Updates since when each class has a waiting request.
    fn update_waiting_since(&mut self) {
        let highest =
            self.tickets_in(TicketState::Queued).map(|t| t.0).filter(|c| *c != Class::Bulk).max();
        for (class, since) in self.waiting_since.iter_mut().enumerate() {
            let waits = highest.is_some_and(|highest| highest as usize >= class);
            *since = waits.then(|| since.unwrap_or(self.now));
        }
    }

    fn tickets_in(
        &self,
        state: TicketState,
    ) -> impl Iterator<Item = &(Class, Duration, TicketState)> {
        self.tickets.iter().filter(move |t| t.2 == state)
    }

    /// Checks that a queued request of `class` may start now.
    fn check_start(&self, class: Class, deadline: Duration) {
        assert!(
            !self.drained && self.now < deadline,
            "started after its deadline or after the drain"
        );
        let running = |bulk: bool| {
            let matching = self.tickets_in(TicketState::Running);
            matching.filter(|t| !bulk || t.0 == Class::Bulk).count() as u32
        };
        assert!(running(false) < self.admission.slots(), "started without a free slot");
        let bulk_slot = running(true) < (self.admission.slots() / 2).max(1);
        assert!(class != Class::Bulk || bulk_slot, "started over the bulk share of the slots");
        let mut preceding = self.tickets_in(TicketState::Queued).filter(|t| {
            (t.0 > class || t.0 == class && t.1 < deadline) && (bulk_slot || t.0 != Class::Bulk)
        });
        assert_eq!(
            preceding.find(|t| self.now < t.1),
            None,
            "started ahead of a queued request with precedence"
        );
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let id = ticket_id(&action);
            let (class, deadline, state) = self.tickets[id];
            assert_eq!(state, TicketState::Queued, "ticket {id} got a second outcome");
            match action {
                Action::Start(_) => {
                    self.check_start(class, deadline);
                    self.tickets[id].2 = TicketState::Running;
                }
                Action::Refuse { kind, .. } => {
                    let unreachable = kind == ErrorKind::DeadlineUnreachable;
                    assert!(
                        !unreachable || deadline <= self.now,
                        "refused as unreachable before its deadline"
                    );
                    self.refuse(id, kind);
                }
            }
        }
    }

    fn offer(&mut self, class: Class, deadline: Duration) {
        let (id, route) = (self.tickets.len() as u64, "r");
        let ticket =
            Ticket { id, class, route, deadline, target: None, tenant: None, nested: false };
        let lowest = self.tickets_in(TicketState::Queued).map(|t| t.0).min();
        let offer = self.admission.offer(ticket, self.now);
        for action in &offer.evicted {
            let is_unexpired = self.tickets[ticket_id(action)].1 > self.now;
            let evicted_class = self.tickets[ticket_id(action)].0;
            let class_is_overloaded = evicted_class == class && self.overloaded(class);
            assert!(
                !is_unexpired || class_is_overloaded || lowest < Some(class),
                "evicted for a request of no higher class, without overload"
            );
        }
        self.apply(offer.evicted);
        self.tickets.push((class, deadline, TicketState::Queued));
        match offer.decision {
            Decision::Start => self.apply(vec![Action::Start(id)]),
            Decision::Queued => {}
            Decision::Refuse { kind, .. } => self.refuse(id as usize, kind),
        }
    }

    fn refuse(&mut self, id: usize, kind: ErrorKind) {
        let lower = self.tickets_in(TicketState::Queued).any(|t| t.0 < self.tickets[id].0);
        let (class, ..) = self.tickets[id];
        let overloaded = self.overloaded(class);
        assert!(
            kind != ErrorKind::Overloaded || !lower || overloaded,
            "refused for overload although a lower class is queued"
        );
        if kind == ErrorKind::Overloaded && overloaded {
            self.overloaded_at[..=class as usize].fill(Some(self.now));
        }
        self.tickets[id].2 = TicketState::Ended;
    }

    /// Ends the ticket that `pick` selects among those in `state`, if there is any: a running one
    /// finishes or is cancelled, a queued one is cancelled.
    fn end_ticket(&mut self, pick: usize, state: TicketState) {
        let present = self.tickets.iter().enumerate().filter(|(_, t)| t.2 == state);
        let present: Vec<usize> = present.map(|(id, _)| id).collect();
        let Some(&id) = present.get(pick % present.len().max(1)) else {
            return;
        };
        self.tickets[id].2 = TicketState::Ended;
        let actions = if state == TicketState::Running && pick.is_multiple_of(2) {
            self.admission.finish(id as u64, self.now)
        } else {
            self.admission.cancel(id as u64, self.now)
        };
        self.apply(actions);
    }

    /// Applies one generated event.
    fn step(&mut self, (op, a, b): (u8, u8, u16)) {
        self.now += ms(u64::from(a % 8));
        let wait = ms(u64::from(b / 4) % 300);
        let actions = match op % 16 {
            9..=11 => return self.end_ticket(b.into(), TicketState::Running),
            12 => return self.end_ticket(b.into(), TicketState::Queued),
            13 => self.admission.expire(self.now),
            14 => self.admission.set_slots(u32::from(b % 7), self.now),
            15 if b % 8 == 0 => {
                self.drained = true;
                self.admission.drain(self.now)
            }
            _ => return self.offer(CLASSES[usize::from(b) % 4], self.now + wait),
        };
        self.apply(actions);
    }

    /// Compares the load with the model, and checks the queue length and that no slot is idle.
    fn check(&self) {
        let load = self.admission.load();
        let queued = self.tickets_in(TicketState::Queued).count() as u32;
        let running = self.tickets_in(TicketState::Running).count() as u32;
        assert_eq!((load.running, load.queued), (running, queued));
        assert!(queued <= 3 && (queued == 0 || !self.drained));
        let mut not_bulk = self.tickets_in(TicketState::Queued).filter(|t| t.0 != Class::Bulk);
        let free = load.running < self.admission.slots();
        assert!(!free || not_bulk.next().is_none(), "a slot is idle while a request waits");
    }
}

/// Guards against too many running requests, bulk requests over their share, a second or missing outcome,
/// wrong order, wrong eviction, a start after the deadline or after the drain, and idle slots.
#[test]
fn invariants_hold_for_any_events() {
    fn property(events: Vec<(u8, u8, u16)>) -> bool {
        let builder = Admission::builder().slots(4).queue_len(3).learn_bulk(false);
        invariants_hold(Model::new(builder.clone().target_wait(Duration::MAX)), &events)
            && invariants_hold(Model::new(builder), &events)
    }
    fn invariants_hold(mut model: Model, events: &[(u8, u8, u16)]) -> bool {
        for event in events {
            model.step(*event);
            model.check();
            model.update_waiting_since();
        }
        while model.tickets_in(TicketState::Running).count() > 0 {
            model.end_ticket(0, TicketState::Running);
        }
        // After `set_slots(0)` nothing starts any more; the queued requests expire at their deadlines.
        model.now += ms(1_000);
        let actions = model.admission.expire(model.now);
        model.apply(actions);
        model.tickets.iter().all(|t| t.2 == TicketState::Ended)
    }
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(400, 1));
    let mut check = seeded.tests(400);
    check.quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Offers a request; `at` holds the current time and how long the request may wait, both in ms.
fn offer(a: &mut Admission, id: u64, class: Class, route: &str, at: (u64, u64)) -> Decision {
    let deadline = ms(at.0 + at.1);
    let ticket = Ticket { id, class, route, deadline, target: None, tenant: None, nested: false };
    a.offer(ticket, ms(at.0)).decision
}

/// Runs 32 requests of a route one after another; each starts at 0 ms and ends at `time` ms.
fn run_requests(a: &mut Admission, route: &str, time: u64) {
    for _ in 0..32 {
        let decision = offer(a, 99, Class::Lookup, route, (0, 1));
        assert_eq!(decision, Decision::Start);
        assert_eq!(a.finish(99, ms(time)), vec![]);
    }
}

/// Guards against a request that waits until it is refused at its deadline, although the estimated wait
/// was too long from the start.
#[test]
fn refuses_requests_that_cannot_start_in_time() {
    use Decision::{Queued, Start};
    let mut a = Admission::builder().slots(2).build();
    run_requests(&mut a, "r", 100);
    // Two slots with run times of 100 ms: the first request in the queue waits 50 ms, and each one
    // ahead adds 50 ms. Ticket 3 precedes ticket 2 by its deadline; ticket 5 is behind both by its class.
    let (lookup, bulk) = (Class::Lookup, Class::Bulk);
    let offers = [(lookup, 1, Start), (lookup, 1, Start), (lookup, 500, Queued)];
    let late = [(lookup, 51, Queued), (lookup, 49, UNREACHABLE), (bulk, 149, UNREACHABLE)];
    for (id, (class, wait, expected)) in offers.into_iter().chain(late).enumerate() {
        let decision = offer(&mut a, id as u64, class, "r", (0, wait));
        assert_eq!(decision, expected, "ticket {id}");
    }
}

/// Guards against long requests that occupy all slots because their route is not configured as bulk.
#[test]
fn learns_bulk_routes_from_run_times() {
    use Decision::{Queued, Start};
    let mut a = Admission::builder().slots(4).build();
    for (route, time) in [("short", 10), ("middle", 70), ("proof", 900)] {
        run_requests(&mut a, route, time);
    }
    let offers = [
        (Class::Lookup, "proof", 9_000, Start),
        (Class::Lookup, "proof", 9_000, Start),
        // One of the two slots for bulk requests is expected to be free after half of 900 ms.
        (Class::Lookup, "proof", 449, UNREACHABLE),
        (Class::Lookup, "proof", 9_000, Queued),
        (Class::Command, "proof", 9_000, Queued),
        (Class::Lookup, "middle", 9_000, Start),
        (Class::Lookup, "middle", 9_000, Start),
        (Class::Lookup, "middle", 9_000, Queued),
    ];
    for (id, (class, route, wait, expected)) in offers.into_iter().enumerate() {
        let decision = offer(&mut a, id as u64, class, route, (0, wait));
        assert_eq!(decision, expected, "ticket {id}");
    }
    assert_eq!(a.bulk_running(), 2);
    // The bulk share limits commands of a long route too, but they precede lookups; a lookup of a
    // long route follows other lookups.
    assert_eq!(a.finish(0, ms(900)), vec![Action::Start(4)]);
    assert_eq!(a.finish(4, ms(901)), vec![Action::Start(7)]);
}

/// Guards against a baseline for measurements that still takes classes into account.
#[test]
fn ignores_classes_unless_class_aware() {
    let builder = Admission::builder().slots(1).class_aware(false);
    let mut a = builder.build();
    for (id, class) in [(0, Class::Bulk), (1, Class::Bulk), (2, Class::Check)] {
        let _ = offer(&mut a, id, class, "r", (0, 100 + id));
    }
    assert_eq!((a.bulk_running(), a.finish(0, ms(1))), (0, vec![Action::Start(1)]));
}

/// Guards against a larger bulk share that takes effect only with the next event.
#[test]
fn starts_queued_bulk_requests_when_their_share_grows() {
    let mut a = Admission::builder().slots(2).build();
    let decisions = [0, 1].map(|id| offer(&mut a, id, Class::Bulk, "r", (0, 100)));
    assert_eq!(decisions, [Decision::Start, Decision::Queued]);
    assert_eq!(a.set_policy(32, 1.0, ms(1)), vec![Action::Start(1)]);
}
