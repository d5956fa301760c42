//! Tests admission in a simulation whose load exceeds the capacity.

use std::collections::BTreeMap;
use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, Decision, Ticket};
use baobabreel_core::config::Class;
use baobabreel_core::error::ErrorKind;
use quickcheck::{Gen, QuickCheck};

fn us(us: u64) -> Duration {
    Duration::from_micros(us)
}

/// Request of a simulation and its outcome; times in microseconds.
#[derive(Debug, Clone, Copy)]
struct SimulatedRequest {
    class: Class,
    at: u64,
    run_time: u64,
    started: Option<u64>,
    /// When and why it was refused.
    refused: Option<(u64, ErrorKind)>,
}

/// Simulates a backend server that runs requests in the slots of an `Admission`.
struct Simulation {
    admission: Admission,
    sent: Vec<SimulatedRequest>,
    /// Running requests, by end time and index in `sent`.
    ends: BTreeMap<(u64, usize), ()>,
}

impl Simulation {
    fn new(slots: u32) -> Self {
        let admission = Admission::builder().slots(slots).build();
        Self { admission, sent: Vec::new(), ends: BTreeMap::new() }
    }

    fn start(&mut self, id: usize, now: u64) {
        let sent = &mut self.sent[id];
        assert_eq!((sent.started, sent.refused), (None, None), "request {id} got a second outcome");
        sent.started = Some(now);
        self.ends.insert((now + sent.run_time, id), ());
    }

    fn refuse(&mut self, id: usize, now: u64, kind: ErrorKind) {
        let sent = &mut self.sent[id];
        assert_eq!((sent.started, sent.refused), (None, None), "request {id} got a second outcome");
        sent.refused = Some((now, kind));
    }

    fn apply(&mut self, actions: Vec<Action>, now: u64) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(id as usize, now),
                Action::Refuse { id, kind, .. } => self.refuse(id as usize, now, kind),
            }
        }
    }

    /// Finishes the requests that end by `now`.
    fn end_until(&mut self, now: u64) {
        while let Some((&(at, id), ())) = self.ends.first_key_value().filter(|e| e.0.0 <= now) {
            self.ends.pop_first();
            let actions = self.admission.finish(id as u64, us(at));
            self.apply(actions, at);
        }
    }

    /// Sends a request with a deadline of 1 s.
    fn send(&mut self, class: Class, at: u64, run_time: u64) {
        self.end_until(at);
        let (id, deadline) = (self.sent.len() as u64, us(at + 1_000_000));
        let (route, tenant) = ("r", None);
        let ticket = Ticket { id, class, route, deadline, target: None, tenant, nested: false };
        self.offer(ticket, at, run_time);
    }

    fn offer(&mut self, ticket: Ticket<'_>, at: u64, run_time: u64) {
        let (id, class) = (self.sent.len(), ticket.class);
        self.sent.push(SimulatedRequest { class, at, run_time, started: None, refused: None });
        let offer = self.admission.offer(ticket, us(at));
        self.apply(offer.evicted, at);
        match offer.decision {
            Decision::Start => self.start(id, at),
            Decision::Queued => {}
            Decision::Refuse { kind, .. } => self.refuse(id, at, kind),
        }
    }

    /// Sends requests from `from` to `to` with gaps of `gap` on average, and waits until all have ended. Of
    /// every 8 requests on average, `checks` are checks of 25 ms and the others commands of 60 ms.
    fn send_mixed_load(&mut self, seed: u64, (from, to, gap): (u64, u64, u64), checks: u64) {
        let (mut at, mut random) = (from, seed);
        while at < to {
            random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
            at += (random >> 33) % (2 * gap) + 1;
            match (random >> 60) % 8 < checks {
                true => self.send(Class::Check, at, 25_000),
                false => self.send(Class::Command, at, 60_000),
            }
        }
        self.end_until(u64::MAX);
    }

    /// Requests of `class` that were sent at `from` or later.
    fn requests_of(&self, class: Class, from: u64) -> Vec<SimulatedRequest> {
        self.sent.iter().filter(|s| s.class == class && s.at >= from).copied().collect()
    }
}

/// Guards against commands that are all late at peak load because each waits behind a full queue, against
/// checks that are refused although they would be in time, and against idle slots.
#[test]
fn peak_load_is_served_in_time_on_all_slots() {
    fn property(seed: u64) -> bool {
        let mut s = Simulation::new(5);
        // 1.7 times the capacity for 3 s; checks alone need 0.7 of the capacity.
        s.send_mixed_load(seed, (0, 3_000_000, 4_500), 5);
        let wait_to_start = |s: &SimulatedRequest| s.started.map(|started| started - s.at);
        for class in [Class::Check, Class::Command] {
            let waits: Vec<u64> =
                s.requests_of(class, 300_000).iter().filter_map(wait_to_start).collect();
            let in_time = waits.iter().filter(|&&wait| wait <= 40_000).count();
            assert!(in_time * 10 >= waits.len() * 9, "{class:?}: {in_time} of {}", waits.len());
        }
        let checks = s.requests_of(Class::Check, 0);
        let refused = checks.iter().filter(|s| s.refused.is_some()).count();
        assert!(refused * 50 <= checks.len(), "{refused} of {} checks refused", checks.len());
        let busy: u64 = s.sent.iter().filter(|s| s.started.is_some()).map(|s| s.run_time).sum();
        assert!(busy > 5 * 3_000_000 * 95 / 100, "slots were idle: only {busy} us of run time");
        true
    }
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(100, 1));
    let mut check = seeded.tests(50);
    check.quickcheck(property as fn(u64) -> bool);
}

/// Guards against refusals that come only near the deadline, and against the refusal of a request that
/// already runs.
#[test]
fn most_refusals_at_peak_load_are_immediate() {
    let mut s = Simulation::new(5);
    s.send_mixed_load(7, (0, 3_000_000, 4_500), 5);
    let wait_to_refusal = |s: &SimulatedRequest| Some(s.refused?.0 - s.at);
    let refused: Vec<u64> = s.sent.iter().filter_map(wait_to_refusal).collect();
    let at_once = refused.iter().filter(|&&wait| wait == 0).count();
    assert!(
        at_once * 10 >= refused.len() * 8,
        "{at_once} of {} refusals were immediate",
        refused.len()
    );
    // Requests that were queued before the queue counted as standing are refused after a longer wait.
    let latest = refused.iter().max();
    assert!(latest < Some(&150_000), "the last refusal came after {latest:?} us");
}

/// Guards against refusals in a short burst whose requests would be served soon.
#[test]
fn short_burst_is_queued() {
    let mut s = Simulation::new(5);
    s.send_mixed_load(3, (0, 1_000_000, 16_000), 5);
    s.send_mixed_load(3, (1_100_000, 1_150_000, 2_500), 5);
    let refused: Vec<&SimulatedRequest> = s.sent.iter().filter(|s| s.refused.is_some()).collect();
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against an idle slot when run times are so long that the estimated wait for the only slot always
/// exceeds the target.
#[test]
fn single_slot_with_long_requests_stays_busy() {
    let mut s = Simulation::new(1);
    for at in (0..20_000_000).step_by(130_000) {
        s.send(Class::Command, at, 400_000);
    }
    let started = s.sent.iter().filter(|s| s.started.is_some()).count();
    assert!(started >= 48, "{started} requests started, 50 fit into the time");
}

const CHECK: RequestKind =
    RequestKind { route: "check", run_time: 15_000, target: 60_000, timeout: 200_000 };
const BID: RequestKind =
    RequestKind { route: "bid", run_time: 66_000, target: 250_000, timeout: 600_000 };

/// A route with the run time, target latency and timeout of its requests, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq)]
struct RequestKind {
    route: &'static str,
    run_time: u64,
    target: u64,
    timeout: u64,
}

impl Simulation {
    fn send_kind(&mut self, kind: RequestKind, at: u64) {
        self.end_until(at);
        let ticket = Ticket {
            id: self.sent.len() as u64,
            class: Class::Command,
            route: kind.route,
            deadline: us(at + kind.timeout),
            target: Some(us(at + kind.target)),
            tenant: None,
            nested: false,
        };
        self.offer(ticket, at, kind.run_time);
    }
}

/// Guards against long requests that are overtaken by short ones of their class, which have earlier
/// deadlines, so that they wait until they time out or end after their target.
#[test]
fn long_requests_are_refused_early_when_short_ones_overtake_them() {
    let mut s = Simulation::new(9);
    let (mut at, mut random) = (0, 5_u64);
    // Checks need 0.7 of the capacity and bids 0.8.
    while at < 4_000_000 {
        random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        at += (random >> 33) % 3_800 + 1;
        s.send_kind(if (random >> 56) % 100 < 79 { CHECK } else { BID }, at);
    }
    s.end_until(u64::MAX);
    let bids: Vec<SimulatedRequest> =
        s.sent.iter().filter(|s| s.run_time == BID.run_time && s.at > 500_000).copied().collect();
    let ends = bids.iter().filter_map(|s| Some(s.started? + s.run_time - s.at));
    let ran = ends.clone().count();
    let in_time = ends.filter(|took| *took <= BID.target).count();
    assert!(ran * 4 > bids.len(), "{ran} of {} bids ran", bids.len());
    assert!(in_time * 10 >= ran * 9, "{in_time} of {ran} bids were in time");
    let waits: Vec<u64> = bids.iter().filter_map(|s| Some(s.refused?.0 - s.at)).collect();
    let late = waits.iter().filter(|wait| **wait > BID.target).count();
    assert_eq!(late, 0, "bids were refused after their target");
    let soon = waits.iter().filter(|wait| **wait <= BID.target / 8).count();
    assert!(
        soon * 10 >= waits.len() * 7,
        "{soon} of {} refusals came within an eighth of the target",
        waits.len()
    );
}

/// Guards against a route with a target latency that is taken for bulk work because others on the
/// same backend server are far shorter, and then queues up to its deadline, so that everything is
/// late.
///
/// The load pattern: twice the capacity for seconds on one route, beside a trickle on several routes
/// whose runs take a tenth of the time or less.
#[test]
fn overloaded_route_beside_short_ones_is_served_in_time() {
    const SLOTS: u32 = 9;
    const RUN_US: u64 = 60_000;
    const TARGET_US: u64 = 200_000;
    const DEADLINE_US: u64 = 500_000;
    const END_US: u64 = 10_000_000;
    let mut s = Simulation::new(SLOTS);
    let short_routes = ["s0", "s1", "s2"];
    let mut random = 3_u64;
    let mut at = 0;
    while at < END_US {
        random = random.wrapping_mul(0x5851_f42d_4c95_7f2d).wrapping_add(0x1405_7b7e_f767_814f);
        at += (random >> 33) % (RUN_US / u64::from(SLOTS)) + 1;
        let is_short = (random >> 20).is_multiple_of(20);
        let short_route = short_routes[(random >> 25) as usize % short_routes.len()];
        let (route, run_time) =
            if is_short { (short_route, RUN_US / 20) } else { ("long", RUN_US) };
        s.end_until(at);
        let ticket = Ticket {
            id: s.sent.len() as u64,
            class: Class::Lookup,
            route,
            deadline: us(at + DEADLINE_US),
            target: Some(us(at + TARGET_US)),
            tenant: None,
            nested: false,
        };
        s.offer(ticket, at, run_time);
    }
    s.end_until(u64::MAX);
    let started: Vec<_> = s.sent.iter().filter(|s| s.run_time == RUN_US).collect();
    let waits = started.iter().filter_map(|s| Some(s.started? - s.at));
    let (in_time, late): (Vec<_>, Vec<_>) = waits.partition(|wait| wait + RUN_US <= TARGET_US);
    // What the slots can run in that time, less a tenth for the short ones and for gaps.
    let capacity = (END_US / RUN_US * u64::from(SLOTS)) as usize;
    assert!(in_time.len() * 10 >= capacity * 9, "{} of {capacity} in time", in_time.len());
    assert!(late.len() * 20 <= in_time.len(), "{} late, {} in time", late.len(), in_time.len());
}
