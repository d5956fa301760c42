//! Guards the promises of admission: slots, bulk share, one outcome per request, order, deadlines.

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
enum Fate {
    Queued,
    Running,
    Ended,
}

fn id_of(action: &Action) -> usize {
    let (Action::Start(id) | Action::Refuse { id, .. }) = action;
    *id as usize
}

/// Reference model that checks every action; the index of a ticket is its id.
struct Model {
    admission: Admission,
    tickets: Vec<(Class, Duration, Fate)>,
    now: Duration,
    drained: bool,
    /// Per class, since when one of it or of a higher one waits, and the last refusal for overload.
    waiting_since: [Option<Duration>; 4],
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

    /// Whether a request of `class` may be refused for its wait.
    fn overloaded(&self, class: Class) -> bool {
        let standing = self.waiting_since[class as usize].is_some_and(|t| self.now - t >= ms(100));
        let held = self.overloaded_at[class as usize].is_some_and(|t| self.now - t < ms(500));
        class != Class::Bulk && (standing || held)
    }

    fn observe(&mut self) {
        let highest = self.with(Fate::Queued).map(|t| t.0).filter(|c| *c != Class::Bulk).max();
        for (class, since) in self.waiting_since.iter_mut().enumerate() {
            let waits = highest.is_some_and(|highest| highest as usize >= class);
            *since = waits.then(|| since.unwrap_or(self.now));
        }
    }

    fn with(&self, fate: Fate) -> impl Iterator<Item = &(Class, Duration, Fate)> {
        self.tickets.iter().filter(move |t| t.2 == fate)
    }

    fn check_start(&self, class: Class, deadline: Duration) {
        assert!(!self.drained && self.now < deadline, "started too late");
        let running = |bulk: bool| {
            let matching = self.with(Fate::Running);
            matching.filter(|t| !bulk || t.0 == Class::Bulk).count() as u32
        };
        assert!(running(false) < self.admission.slots(), "over the slots");
        let bulk_slot = running(true) < (self.admission.slots() / 2).max(1);
        assert!(class != Class::Bulk || bulk_slot, "over the bulk share");
        let mut before = self.with(Fate::Queued).filter(|t| {
            (t.0 > class || t.0 == class && t.1 < deadline) && (bulk_slot || t.0 != Class::Bulk)
        });
        assert_eq!(before.find(|t| self.now < t.1), None, "out of order");
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let id = id_of(&action);
            let (class, deadline, fate) = self.tickets[id];
            assert_eq!(fate, Fate::Queued, "second outcome");
            match action {
                Action::Start(_) => {
                    self.check_start(class, deadline);
                    self.tickets[id].2 = Fate::Running;
                }
                Action::Refuse { kind, .. } => {
                    let unreachable = kind == ErrorKind::DeadlineUnreachable;
                    assert!(!unreachable || deadline <= self.now, "expired too early");
                    self.refuse(id, kind);
                }
            }
        }
    }

    fn offer(&mut self, class: Class, deadline: Duration) {
        let (id, route) = (self.tickets.len() as u64, "r");
        let ticket = Ticket { id, class, route, deadline, target: None };
        let lowest = self.with(Fate::Queued).map(|t| t.0).min();
        let offer = self.admission.offer(ticket, self.now);
        for action in &offer.evicted {
            let is_shed = self.tickets[id_of(action)].1 > self.now;
            let shed = self.tickets[id_of(action)].0;
            let late = shed == class && self.overloaded(class);
            assert!(!is_shed || late || lowest < Some(class), "shed for its equal");
        }
        self.apply(offer.evicted);
        self.tickets.push((class, deadline, Fate::Queued));
        match offer.decision {
            Decision::Start => self.apply(vec![Action::Start(id)]),
            Decision::Queued => {}
            Decision::Refuse { kind, .. } => self.refuse(id as usize, kind),
        }
    }

    fn refuse(&mut self, id: usize, kind: ErrorKind) {
        let lower = self.with(Fate::Queued).any(|t| t.0 < self.tickets[id].0);
        let (class, ..) = self.tickets[id];
        let overloaded = self.overloaded(class);
        assert!(kind != ErrorKind::Overloaded || !lower || overloaded, "shed too early");
        if kind == ErrorKind::Overloaded && overloaded {
            self.overloaded_at[..=class as usize].fill(Some(self.now));
        }
        self.tickets[id].2 = Fate::Ended;
    }

    fn end(&mut self, pick: usize, fate: Fate) {
        let present = self.tickets.iter().enumerate().filter(|(_, t)| t.2 == fate);
        let present: Vec<usize> = present.map(|(id, _)| id).collect();
        let Some(&id) = present.get(pick % present.len().max(1)) else {
            return;
        };
        self.tickets[id].2 = Fate::Ended;
        let actions = if fate == Fate::Running && pick.is_multiple_of(2) {
            self.admission.finish(id as u64, self.now)
        } else {
            self.admission.cancel(id as u64, self.now)
        };
        self.apply(actions);
    }

    fn step(&mut self, (op, a, b): (u8, u8, u16)) {
        self.now += ms(u64::from(a % 8));
        let wait = ms(u64::from(b / 4) % 300);
        let actions = match op % 16 {
            9..=11 => return self.end(b.into(), Fate::Running),
            12 => return self.end(b.into(), Fate::Queued),
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

    fn check(&self) {
        let load = self.admission.load();
        let queued = self.with(Fate::Queued).count() as u32;
        let running = self.with(Fate::Running).count() as u32;
        assert_eq!((load.running, load.queued), (running, queued));
        assert!(queued <= 3 && (queued == 0 || !self.drained));
        let mut short = self.with(Fate::Queued).filter(|t| t.0 != Class::Bulk);
        let free = load.running < self.admission.slots();
        assert!(!free || short.next().is_none(), "a slot is idle");
    }
}

/// Guards against too many running, bulk over its share, a second or missing outcome, wrong order
/// or shedding, a start after the deadline or after drain, and idle slots.
#[test]
fn holds_its_promises_over_any_events() {
    fn property(events: Vec<(u8, u8, u16)>) -> bool {
        let builder = Admission::builder().slots(4).queue_len(3).learn_bulk(false);
        holds(Model::new(builder.clone().target_wait(Duration::MAX)), &events)
            && holds(Model::new(builder), &events)
    }
    fn holds(mut model: Model, events: &[(u8, u8, u16)]) -> bool {
        for event in events {
            model.step(*event);
            model.check();
            model.observe();
        }
        while model.with(Fate::Running).count() > 0 {
            model.end(0, Fate::Running);
        }
        // After `set_slots(0)` the rest ends by its deadline.
        model.now += ms(1_000);
        let actions = model.admission.expire(model.now);
        model.apply(actions);
        model.tickets.iter().all(|t| t.2 == Fate::Ended)
    }
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(400, 1));
    let mut check = seeded.tests(400);
    check.quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Offers a request that must start within `wait`.
fn offer(a: &mut Admission, id: u64, class: Class, route: &str, at: (u64, u64)) -> Decision {
    let deadline = ms(at.0 + at.1);
    let ticket = Ticket { id, class, route, deadline, target: None };
    a.offer(ticket, ms(at.0)).decision
}

/// Runs 32 requests of a route one after another, from 0 ms.
fn run(a: &mut Admission, route: &str, time: u64) {
    for _ in 0..32 {
        let decision = offer(a, 99, Class::Lookup, route, (0, 1));
        assert_eq!(decision, Decision::Start);
        assert_eq!(a.finish(99, ms(time)), vec![]);
    }
}

/// Guards against a wait that ends in a refusal at the deadline, when it was foreseeable.
#[test]
fn refuses_at_once_what_cannot_start_in_time() {
    use Decision::{Queued, Start};
    let mut a = Admission::builder().slots(2).build();
    run(&mut a, "r", 100);
    // Two slots of 100 ms each: the first in the queue waits 50 ms, and each one ahead adds 50 ms.
    // The fourth goes ahead of the third by its deadline; the last is behind both by its class.
    let (lookup, bulk) = (Class::Lookup, Class::Bulk);
    let offers = [(lookup, 1, Start), (lookup, 1, Start), (lookup, 500, Queued)];
    let late = [(lookup, 51, Queued), (lookup, 49, UNREACHABLE), (bulk, 149, UNREACHABLE)];
    for (id, (class, wait, expected)) in offers.into_iter().chain(late).enumerate() {
        let decision = offer(&mut a, id as u64, class, "r", (0, wait));
        assert_eq!(decision, expected, "ticket {id}");
    }
}

/// Guards against long jobs of a route that is not configured as bulk holding all slots.
#[test]
fn learns_bulk_routes_from_run_times() {
    use Decision::{Queued, Start};
    let mut a = Admission::builder().slots(4).build();
    for (route, time) in [("short", 10), ("middle", 70), ("proof", 900)] {
        run(&mut a, route, time);
    }
    let offers = [
        (Class::Lookup, "proof", 9_000, Start),
        (Class::Lookup, "proof", 9_000, Start),
        // Half of 900 ms until one of the two slots of bulk work is free.
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
    // A command of a long route is within the share too, but goes before lookups; a lookup of a
    // long route goes after the others.
    assert_eq!(a.finish(0, ms(900)), vec![Action::Start(4)]);
    assert_eq!(a.finish(4, ms(901)), vec![Action::Start(7)]);
}

/// Guards against a baseline for measurements that still looks at classes.
#[test]
fn ignores_classes_when_told_to() {
    let builder = Admission::builder().slots(1).class_aware(false);
    let mut a = builder.build();
    for (id, class) in [(0, Class::Bulk), (1, Class::Bulk), (2, Class::Check)] {
        let _ = offer(&mut a, id, class, "r", (0, 100 + id));
    }
    assert_eq!((a.bulk_running(), a.finish(0, ms(1))), (0, vec![Action::Start(1)]));
}

/// Guards against a changed bulk share that takes effect only with the next event.
#[test]
fn starts_bulk_work_when_its_share_grows() {
    let mut a = Admission::builder().slots(2).build();
    let decisions = [0, 1].map(|id| offer(&mut a, id, Class::Bulk, "r", (0, 100)));
    assert_eq!(decisions, [Decision::Start, Decision::Queued]);
    assert_eq!(a.set_policy(32, 1.0, ms(1)), vec![Action::Start(1)]);
}
