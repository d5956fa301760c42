//! Tests of the quotas that all daemons share, with simulated daemons.

mod quota_support;
mod support;

use std::time::Duration;

use baobabreel_core::quota::*;
use baobabreel_core::tenants::Quota;
use quickcheck::{Arbitrary, Gen};
use quota_support::*;
use support::seeded_quickcheck;

const SECOND: Duration = Duration::from_secs(1);

fn everywhere() -> Vec<usize> {
    (0..DAEMONS).collect()
}

fn load(at: Duration, factor: f64, daemons: &[usize]) -> (Duration, Disturbance) {
    (at, Disturbance::Load { factor, at: daemons.to_vec() })
}

/// What happens to the mesh in a run.
#[derive(Debug, Clone)]
struct Disturbances(Vec<(Duration, Disturbance)>);

impl Arbitrary for Disturbances {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut at = Duration::from_secs(8);
        let events = (0..8).map(|_| {
            at += Duration::from_millis(u64::from(u16::arbitrary(g)) % 3_000);
            let daemon = usize::from(u8::arbitrary(g)) % DAEMONS;
            let time = Duration::from_millis(300 + u64::from(u16::arbitrary(g)) % 6_000);
            let event = match u8::arbitrary(g) % 15 {
                0 | 1 => Disturbance::Cut { centre: daemon % CENTRES, time },
                2 | 3 => Disturbance::Pause { daemon, time },
                4 => Disturbance::Crash { daemon, time },
                5 => Disturbance::Leave { daemon, time },
                6 => Disturbance::CrashAll { time: Duration::from_millis(500) },
                7 => Disturbance::Suspect { daemon, time: time.min(Duration::from_millis(1_400)) },
                9 => {
                    let between = (daemon % CENTRES, (daemon + 1) % CENTRES);
                    Disturbance::CutLink { between, time }
                }
                8 => Disturbance::Limit { per_sec: 20.0 + f64::from(u8::arbitrary(g)) },
                _ => {
                    let factor = *g.choose(&[0.0, 0.5, 2.0, 8.0]).expect("a factor");
                    let at = match u8::arbitrary(g) % 3 {
                        0 => vec![daemon],
                        1 => (0..DAEMONS).filter(|other| other % CENTRES == 1).collect(),
                        _ => everywhere(),
                    };
                    Disturbance::Load { factor, at }
                }
            };
            (at, event)
        });
        Self(events.collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        Box::new(self.0.shrink_without_elements().map(Self))
    }
}

trait ShrinkEvents: Sized {
    fn shrink_without_elements(&self) -> std::vec::IntoIter<Self>;
}

impl ShrinkEvents for Vec<(Duration, Disturbance)> {
    fn shrink_without_elements(&self) -> std::vec::IntoIter<Self> {
        let without = |skipped: usize| {
            let kept = self.iter().enumerate().filter(move |(i, _)| *i != skipped);
            kept.map(|(_, event)| event.clone()).collect()
        };
        (0..self.len()).map(without).collect::<Vec<Self>>().into_iter()
    }
}

/// Guards against two holders that both grant a whole quota, leases that outlive a pause, balances that a new holder
/// makes up, and a reserve that comes on top of the bound.
///
/// The load pattern: a tenant sends up to 8 times its limit at one daemon, in one data centre or everywhere, while data
/// centres are cut off, daemons are paused, suspected, crash or leave, all crash at once, and the limit changes.
#[test]
fn bound_holds_in_every_window() {
    fn holds(disturbances: Disturbances) -> Result<(), String> {
        let mut mesh = Mesh::new(Quota { per_sec: 100.0, burst: 200.0 });
        let mut events = disturbances.0;
        events.insert(0, load(SECOND, 2.0, &everywhere()));
        mesh.run(&events, SECOND * 32);
        mesh.check_bound()
    }
    let property = holds as fn(Disturbances) -> Result<(), String>;
    seeded_quickcheck(30, 41).quickcheck(property);
    seeded_quickcheck(30, 42).quickcheck(property);
}

/// Guards against the same faults in the cases that need several rare events at once. In each, the tenant has been
/// idle, so that a whole burst is there.
#[test]
fn bound_holds_when_the_holder_is_replaced_during_a_burst() {
    let quota = Quota { per_sec: 200.0, burst: 400.0 };
    let daemon = Mesh::new(quota).holder();
    let centre = daemon % CENTRES;
    let other_centre = Mesh::new(quota).holder_without(centre) % CENTRES;
    let burst = load(SECOND * 10, 10.0, &everywhere());
    let cases = [
        // The paused holder wakes and still has its balance, while another one has granted a burst.
        vec![
            (SECOND * 8, Disturbance::Pause { daemon, time: SECOND * 6 }),
            load(SECOND * 13, 10.0, &everywhere()),
        ],
        // The new holder starts with a burst of its own.
        vec![burst.clone(), (SECOND * 103 / 10, Disturbance::Leave { daemon, time: SECOND * 9 })],
        // All others suspect a holder that goes on to grant tokens to its own callers.
        vec![
            load(SECOND * 10, 10.0, &[daemon, (daemon + 1) % DAEMONS]),
            (SECOND * 105 / 10, Disturbance::Suspect { daemon, time: SECOND * 14 / 10 }),
        ],
        // Both sides of a partition have the burst.
        vec![(SECOND * 4, Disturbance::Cut { centre, time: SECOND * 20 }), burst.clone()],
        vec![burst.clone(), (SECOND * 11, Disturbance::Cut { centre, time: SECOND * 2 })],
        // Two data centres reach a third one, and not each other.
        vec![
            (
                SECOND * 4,
                Disturbance::CutLink { between: (centre, other_centre), time: SECOND * 20 },
            ),
            burst.clone(),
        ],
        // Each daemon starts with a burst.
        vec![burst, (SECOND * 11, Disturbance::CrashAll { time: SECOND / 10 })],
    ];
    for (case, events) in cases.iter().enumerate() {
        let mut mesh = Mesh::new(quota);
        mesh.run(events, SECOND * 24);
        assert_eq!(mesh.check_bound(), Ok(()), "case {case}: {events:?}");
    }
}

/// Guards against fixed shares, and against tokens that lie unused in the stocks of other daemons: a tenant that sends
/// at one daemon only must get its whole limit there, whether the account is held there or elsewhere, and also in the
/// window in which its demand moves there.
#[test]
fn busy_tenant_gets_its_limit_wherever_it_sends() {
    for per_sec in [5.0, 40.0, 620.0] {
        for daemon in 0..DAEMONS {
            for before in [vec![daemon], everywhere()] {
                let mut mesh = Mesh::new(Quota { per_sec, burst: per_sec });
                let (from, to) = (SECOND * 12, SECOND * 17);
                mesh.run(&[load(SECOND, 0.5, &before), load(from, 7.5, &[daemon])], to);
                let sent = mesh.sent_between(from, to) as f64;
                let limit = per_sec * 6.0;
                assert!(
                    sent >= 0.95 * limit,
                    "daemon {daemon} after {before:?}: {sent} of {limit}"
                );
                mesh.check_bound().expect("the bound");
            }
        }
    }
}

/// Guards against refusals below the limit in a calm mesh.
#[test]
fn tenant_below_its_quota_is_served_without_refusals() {
    let mut mesh = Mesh::new(Quota { per_sec: 390.0, burst: 390.0 });
    mesh.run(&[load(SECOND * 5, 0.625, &everywhere())], SECOND * 20);
    assert_eq!(mesh.refused, 0);
}

/// Guards against accounts that are not taken over after their holder crashed, and against a service that does not
/// resume after all daemons have.
#[test]
fn accounts_are_taken_over_after_crashes() {
    let quota = Quota { per_sec: 100.0, burst: 100.0 };
    let holder = Mesh::new(quota).holder();
    let time = SECOND * 60;
    // The dead member counts, as it may be cut off and hold the account still.
    let share = (DAEMONS - 1) as f64 / DAEMONS as f64;
    for (crash, share) in [
        (Disturbance::Crash { daemon: holder, time }, share),
        (Disturbance::CrashAll { time: SECOND / 2 }, 1.0),
    ] {
        let mut mesh = Mesh::new(quota);
        let other = (holder + 1) % DAEMONS;
        mesh.run(&[load(SECOND, 1.5, &[other]), (SECOND * 10, crash)], SECOND * 25);
        let sent = mesh.sent_between(SECOND * 15, SECOND * 25) as f64;
        let limit = 1_000.0 * share;
        assert!(sent >= 0.95 * limit, "{sent} of {limit}");
        mesh.check_bound().expect("the bound");
    }
}

/// The only daemon of a mesh, which has held all accounts for 10 s.
fn only_holder() -> Accounts {
    let mut accounts = Accounts::new("a".to_owned(), "hobart".to_owned(), BOUNDS, Duration::ZERO);
    (0..=100).for_each(|step| accounts.advance(SECOND / 10 * step));
    accounts
}

fn granted(decision: Decision) -> (u32, u32) {
    match decision {
        Decision::Granted { tokens, stocked, .. } => (tokens, stocked),
        Decision::NotHeld => panic!("the account is held"),
    }
}

/// Guards against stocks that come on top of the burst, and against a stock that is filled up again although it is
/// still there.
#[test]
fn stocks_count_against_the_burst() {
    let quota = Quota { per_sec: 1_000.0, burst: 1_000.0 };
    let mut accounts = only_holder();
    let extra = Ask { extra: 10_000, ..Ask::default() };
    let (_, stocked) = granted(accounts.grant("t", quota, "b", extra, SECOND * 10));
    assert!(stocked > 0);
    let held = Ask { held: stocked, ..extra };
    let now = SECOND * 105 / 10;
    assert_eq!(granted(accounts.grant("t", quota, "b", held, now)), (0, 0));
    let needed = Ask { needed: 10_000, ..Ask::default() };
    let now = SECOND * 109 / 10;
    let (tokens, _) = granted(accounts.grant("t", quota, "c", needed, now));
    let limit = 1_000.0 + 6_000.0 * BOUNDS.overage / 2.0;
    assert!(f64::from(tokens + stocked) <= limit, "{tokens} and {stocked} of {limit}");
    let now = SECOND * 115 / 10;
    assert!(granted(accounts.grant("t", quota, "b", extra, now)).1 > 0, "the stock was used");
}

/// Guards against a daemon that was paused, wakes and grants what it had saved, although another one has held the
/// account meanwhile.
#[test]
fn daemon_that_wakes_holds_nothing() {
    let quota = Quota { per_sec: 100.0, burst: 100.0 };
    let ask = Ask { needed: 1_000, ..Ask::default() };
    let mut accounts = only_holder();
    let wakes_at = SECOND * 12;
    assert_eq!(accounts.grant("t", quota, "a", ask, wakes_at), Decision::NotHeld);
    let opens_at = wakes_at + HANDOVER;
    accounts.advance(opens_at - SECOND);
    let just_before = opens_at - Duration::from_millis(1);
    assert_eq!(accounts.grant("t", quota, "a", ask, just_before), Decision::NotHeld);
    let (tokens, _) = granted(accounts.grant("t", quota, "a", ask, opens_at + SECOND / 10));
    assert!(tokens <= 10, "{tokens}");
}

/// Guards against a refused request that costs a token, and against leases that are used after their end.
#[test]
fn request_that_has_not_run_returns_its_token() {
    let at = Duration::from_millis;
    let lease = BOUNDS.lease();
    let mut allowance = Allowance::default();
    let granted = Decision::Granted { tokens: 2, stocked: 0, wait: Duration::ZERO };
    let ask = Ask { needed: 2, ..Ask::default() };
    assert!(!allowance.on_decision(ask, granted, lease, at(1_000), at(1_002)));
    let token = allowance.take(at(1_003)).expect("a token");
    assert!(allowance.take(at(1_003)).is_some());
    assert_eq!(allowance.take(at(1_003)), None);
    allowance.give_back(token, at(1_010));
    let token = allowance.take(at(1_020)).expect("the returned token");
    allowance.give_back(token, at(1_000) + lease);
    assert_eq!(allowance.take(at(1_000) + lease), None, "a lease that was returned late");
    assert!(!allowance.on_decision(ask, granted, lease, at(1_500), at(1_502)));
    assert_eq!(allowance.take(at(1_500) + lease), None, "a lease that was not used");
    let mut allowances = Allowances::new(BOUNDS);
    let allowance = allowances.tenant("t");
    allowance.on_decision(ask, granted, lease, at(1_500), at(1_502));
    let token = allowance.take(at(1_503)).expect("a token");
    assert!(allowance.take(at(1_503)).is_some());
    allowance.begin_wait();
    assert_eq!(allowances.asks(|_| true, at(1_504)).len(), 1, "the stock is reported");
    let allowance = allowances.tenant("t");
    allowance.give_back(token, at(1_505));
    assert_eq!(allowance.take(at(1_506)), None, "the holder does not know of the token");
    let reserved = allowance.take_reserve(1, BOUNDS.window, at(2_000)).expect("the reserve");
    assert_eq!(allowance.take_reserve(1, BOUNDS.window, at(2_001)), None);
    allowance.give_back(reserved, at(2_002));
    assert!(allowance.take_reserve(1, BOUNDS.window, at(2_003)).is_some());
}

/// Guards against daemons whose parts of the reserve exceed it together, or come to nothing where each part is less
/// than one request.
#[test]
fn parts_of_the_reserve_add_up() {
    for per_sec in [1.0, 5.0, 40.0, 620.0] {
        let quota = Quota { per_sec, burst: per_sec };
        let mesh = Mesh::new(quota);
        let total: u32 = mesh.reserve_parts("t").sum();
        let reserve = per_sec * 6.0 * BOUNDS.overage / 4.0 + BOUNDS.slack;
        assert!(f64::from(total) <= reserve, "{total} of {reserve}");
        assert!(f64::from(total) > reserve - DAEMONS as f64, "{total} of {reserve}");
    }
}
