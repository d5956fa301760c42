//! Guards the promises of admission: slots, bulk share, one outcome per request, order, deadlines.

use std::collections::BTreeMap;
use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, Decision, Ticket};
use baobabreel_core::config::Class;
use baobabreel_core::error::ErrorKind;
use quickcheck::{Gen, QuickCheck};

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

/// Reference model that checks every action.
struct Model {
    admission: Admission,
    tickets: BTreeMap<u64, (Class, Duration, Fate)>,
    now: Duration,
    drained: bool,
}

impl Model {
    fn with_fate(&self, fate: Fate) -> impl Iterator<Item = (u64, Class, Duration)> {
        let matching = self.tickets.iter().filter(move |(_, t)| t.2 == fate);
        matching.map(|(&id, &(class, deadline, _))| (id, class, deadline))
    }

    fn bulk(&self, fate: Fate) -> usize {
        self.with_fate(fate).filter(|t| t.1 == Class::Bulk).count()
    }

    fn check_start(&self, class: Class, deadline: Duration) {
        assert!(!self.drained, "started after drain");
        assert!(self.now < deadline, "started after its deadline");
        assert!(self.with_fate(Fate::Running).count() < self.admission.slots() as usize);
        let bulk_slot = self.bulk(Fate::Running) < self.admission.bulk_slots() as usize;
        assert!(class != Class::Bulk || bulk_slot, "bulk over its share");
        let first = self
            .with_fate(Fate::Queued)
            .filter(|t| self.now < t.2 && (bulk_slot || t.1 != Class::Bulk))
            .min_by_key(|t| (std::cmp::Reverse(t.1), t.2));
        if let Some((_, other, at)) = first {
            assert!((class, at) >= (other, deadline), "started out of order");
        }
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (Action::Start(id) | Action::Refuse { id, .. }) = action;
            let (class, deadline, fate) = self.tickets[&id];
            assert_eq!(fate, Fate::Queued, "second outcome for {id}");
            let fate = match action {
                Action::Start(_) => {
                    // The request itself is still queued, so nothing may precede it.
                    self.check_start(class, deadline);
                    Fate::Running
                }
                Action::Refuse { kind, .. } => {
                    if kind == ErrorKind::DeadlineUnreachable {
                        assert!(deadline <= self.now, "refused before its deadline");
                    }
                    Fate::Ended
                }
            };
            self.tickets.insert(id, (class, deadline, fate));
        }
    }

    fn offer(&mut self, class: Class, deadline: Duration) {
        let id = self.tickets.len() as u64;
        let ticket = Ticket {
            id,
            class,
            route: "r",
            deadline,
        };
        let offer = self.admission.offer(ticket, self.now);
        for action in &offer.evicted {
            if let Action::Refuse {
                id,
                kind: ErrorKind::Overloaded,
                ..
            } = action
            {
                let lowest = self.with_fate(Fate::Queued).map(|t| t.1).min();
                assert_eq!(
                    Some(self.tickets[id].0),
                    lowest,
                    "shed a higher class first"
                );
                assert!(
                    self.tickets[id].0 < class,
                    "shed for an equal or lower class"
                );
            }
        }
        self.apply(offer.evicted);
        let fate = match offer.decision {
            Decision::Start => {
                self.check_start(class, deadline);
                Fate::Running
            }
            Decision::Queued => Fate::Queued,
            Decision::Refuse { kind, .. } => {
                let lower = self.with_fate(Fate::Queued).any(|t| t.1 < class);
                assert!(
                    kind != ErrorKind::Overloaded || !lower,
                    "refused before a lower class"
                );
                Fate::Ended
            }
        };
        self.tickets.insert(id, (class, deadline, fate));
    }

    fn end(&mut self, pick: usize, fate: Fate) {
        let present: Vec<u64> = self.with_fate(fate).map(|t| t.0).collect();
        let Some(&id) = present.get(pick % present.len().max(1)) else {
            return;
        };
        if let Some(ticket) = self.tickets.get_mut(&id) {
            ticket.2 = Fate::Ended;
        }
        let actions = if fate == Fate::Running && pick.is_multiple_of(2) {
            self.admission.finish(id, self.now)
        } else {
            self.admission.cancel(id, self.now)
        };
        self.apply(actions);
    }

    fn check(&self, running_before: usize) {
        let running = self.with_fate(Fate::Running).count();
        let load = self.admission.load();
        assert_eq!(load.running as usize, running);
        assert_eq!(load.queued as usize, self.with_fate(Fate::Queued).count());
        assert!(running <= running_before.max(self.admission.slots() as usize));
        let slots = self.admission.slots() as usize;
        let idle = running < slots && self.with_fate(Fate::Queued).any(|t| t.1 != Class::Bulk);
        assert!(!idle, "a slot is free while short work waits");
    }

    fn step(&mut self, (op, a, b): (u8, u8, u16)) {
        self.now += ms(u64::from(a % 8));
        let before = self.with_fate(Fate::Running).count();
        match op % 16 {
            0..=8 => self.offer(
                CLASSES[usize::from(b) % 4],
                self.now + ms(u64::from(b / 4) % 300),
            ),
            9..=11 => self.end(b.into(), Fate::Running),
            12 => self.end(b.into(), Fate::Queued),
            13 => {
                let actions = self.admission.expire(self.now);
                self.apply(actions);
            }
            14 => {
                let actions = self.admission.set_slots(u32::from(b % 7), self.now);
                self.apply(actions);
            }
            _ if b % 8 == 0 => {
                let actions = self.admission.drain(self.now);
                self.apply(actions);
                self.drained = true;
                assert_eq!(
                    self.with_fate(Fate::Queued).count(),
                    0,
                    "left waiting by drain"
                );
            }
            _ => {}
        }
        self.check(before);
    }
}

/// Guards against too many running, bulk over its share, a second or missing outcome, wrong order
/// or shedding, a start after the deadline or after drain, and idle slots.
#[test]
fn holds_its_promises_over_any_events() {
    fn property(events: Vec<(u8, u8, u16)>) -> bool {
        let admission = Admission::builder()
            .slots(4)
            .queue_len(3)
            .learn_bulk(false)
            .build();
        let mut model = Model {
            admission,
            tickets: BTreeMap::new(),
            now: ms(1_000),
            drained: false,
        };
        for event in events {
            model.step(event);
        }
        while model.with_fate(Fate::Running).count() > 0 {
            model.end(0, Fate::Running);
        }
        model.now += ms(1_000);
        let actions = model.admission.expire(model.now);
        model.apply(actions);
        // With no slots left by `set_slots(0)` the rest ends by its deadline, never by silence.
        model.tickets.values().all(|t| t.2 == Fate::Ended)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 1))
        .tests(400)
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

fn offer(a: &mut Admission, id: u64, class: Class, route: &str, now: Duration) -> Decision {
    let deadline = now + ms(10_000);
    a.offer(
        Ticket {
            id,
            class,
            route,
            deadline,
        },
        now,
    )
    .decision
}

/// Runs `count` requests of a route one after another.
fn run(a: &mut Admission, count: u64, route: &str, time: Duration, now: &mut Duration) {
    for id in 0..count {
        assert_eq!(
            offer(a, 1_000 + id, Class::Lookup, route, *now),
            Decision::Start
        );
        *now += time;
        assert_eq!(a.finish(1_000 + id, *now), vec![]);
    }
}

/// Guards against a wait that ends in a refusal at the deadline, when it was foreseeable.
#[test]
fn refuses_at_once_what_cannot_start_in_time() {
    let mut a = Admission::builder().slots(2).build();
    let mut now = ms(0);
    run(&mut a, 20, "slow", ms(100), &mut now);
    for id in 0..4 {
        let expected = if id < 2 {
            Decision::Start
        } else {
            Decision::Queued
        };
        assert_eq!(offer(&mut a, id, Class::Lookup, "slow", now), expected);
    }
    // Two queued requests and one that runs, 100 ms each, on two slots: 150 ms.
    let ticket = |id, wait| Ticket {
        id,
        class: Class::Lookup,
        route: "slow",
        deadline: now + wait,
    };
    let refused = Decision::Refuse {
        kind: ErrorKind::DeadlineUnreachable,
        retry_after: Duration::from_secs(1),
    };
    // The earlier deadline puts this one first, so only the running ones delay it: 50 ms.
    assert_eq!(a.offer(ticket(8, ms(49)), now).decision, refused);
    assert_eq!(a.offer(ticket(9, ms(51)), now).decision, Decision::Queued);
    let late = Ticket {
        id: 10,
        class: Class::Bulk,
        route: "slow",
        deadline: now + ms(199),
    };
    assert_eq!(
        a.offer(late, now).decision,
        refused,
        "behind three queued ones: 200 ms"
    );
}

/// Guards against long jobs of a route that is not configured as bulk holding all slots.
#[test]
fn learns_bulk_routes_from_run_times() {
    let mut a = Admission::builder().slots(4).build();
    let mut now = ms(0);
    for _ in 0..2 {
        run(&mut a, 16, "short", ms(10), &mut now);
        run(&mut a, 16, "middle", ms(70), &mut now);
        run(&mut a, 16, "proof", ms(900), &mut now);
    }
    for id in 0..2 {
        assert_eq!(
            offer(&mut a, id, Class::Lookup, "proof", now),
            Decision::Start
        );
    }
    assert_eq!(a.bulk_running(), 2);
    assert_eq!(
        offer(&mut a, 2, Class::Lookup, "proof", now),
        Decision::Queued
    );
    assert_eq!(
        offer(&mut a, 3, Class::Command, "proof", now),
        Decision::Queued
    );
    assert_eq!(
        offer(&mut a, 4, Class::Lookup, "middle", now),
        Decision::Start
    );
    // A command of a long route is within the share too, but goes before the lookup.
    assert_eq!(a.finish(0, now + ms(900)), vec![Action::Start(3)]);
}
