//! Tests of the quotas that all daemons share, with simulated daemons.

mod quota_support;
mod support;

use std::time::Duration;

use baobabreel_core::quota::*;
use baobabreel_core::tenants::Quota;
use quickcheck::{Arbitrary, Gen};
use quota_support::*;
use support::seeded_quickcheck;

/// What happens to the mesh in a run.
#[derive(Debug, Clone)]
struct Disturbances(Vec<(Duration, Disturbance)>);

impl Arbitrary for Disturbances {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut at = Duration::from_secs(8);
        let events = (0..4).map(|_| {
            at += Duration::from_millis(u64::from(u16::arbitrary(g)) % 4_000);
            let daemon = usize::from(u8::arbitrary(g)) % DAEMONS;
            let time = Duration::from_millis(300 + u64::from(u16::arbitrary(g)) % 6_000);
            let event = match u8::arbitrary(g) % 6 {
                0 => Disturbance::Cut { centre: daemon % CENTRES, time },
                1 => Disturbance::Pause { daemon, time },
                2 => Disturbance::Crash { daemon, time },
                3 => Disturbance::Leave { daemon, time },
                4 => Disturbance::CrashAll { time: Duration::from_millis(500) },
                _ => Disturbance::Limit { per_sec: 20.0 + f64::from(u8::arbitrary(g)) },
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
/// The load pattern: a tenant sends 2.5 times its limit at all daemons, while data centres are cut off, daemons are
/// paused, crash or leave, all crash at once, and the limit changes.
#[test]
fn bound_holds_in_every_window() {
    fn holds(disturbances: Disturbances) -> Result<(), String> {
        let mut mesh = Mesh::new(Quota { per_sec: 100.0, burst: 100.0 });
        mesh.run(&disturbances.0, Duration::from_secs(30), |mesh, now, step| {
            let count = 2.5 * mesh.quota.per_sec * STEP.as_secs_f64();
            for daemon in 0..DAEMONS {
                mesh.send_at_rate(daemon, count / DAEMONS as f64, step, now);
            }
        });
        mesh.check_bound()
    }
    let property = holds as fn(Disturbances) -> Result<(), String>;
    seeded_quickcheck(60, 41).quickcheck(property);
    seeded_quickcheck(60, 42).quickcheck(property);
}

/// Guards against fixed shares: a tenant that sends at one daemon only must get its whole limit there, whether the
/// account is held there or elsewhere.
#[test]
fn busy_tenant_gets_its_limit_wherever_it_sends() {
    for per_sec in [5.0, 40.0, 620.0] {
        for daemon in 0..DAEMONS {
            let mut mesh = Mesh::new(Quota { per_sec, burst: per_sec });
            let from = Duration::from_secs(12);
            mesh.run(&[], Duration::from_secs(22), |mesh, now, step| {
                let usual = if now < from { 0.5 } else { 7.5 };
                mesh.send_at_rate(daemon, usual * per_sec * STEP.as_secs_f64(), step, now);
            });
            let sent = mesh.sent_between(from, Duration::from_secs(22)) as f64;
            let limit = per_sec * 10.0 + per_sec / 2.0;
            assert!(
                sent >= 0.95 * limit,
                "daemon {daemon}: {sent} of {limit} at {per_sec} a second"
            );
            mesh.check_bound().expect("the bound");
        }
    }
}

/// Guards against refusals below the limit, and against requests that wait for tokens although their demand is steady.
#[test]
fn tenant_below_its_quota_is_served_without_refusals() {
    let mut mesh = Mesh::new(Quota { per_sec: 390.0, burst: 390.0 });
    mesh.run(&[], Duration::from_secs(20), |mesh, now, step| {
        if now < Duration::from_secs(5) {
            return;
        }
        for daemon in 0..DAEMONS {
            mesh.send_at_rate(daemon, 240.0 * STEP.as_secs_f64() / DAEMONS as f64, step, now);
        }
    });
    assert_eq!(mesh.refused, 0);
}

/// Guards against an account that is lost for longer than its successor needs after its holder crashed.
#[test]
fn account_moves_when_its_holder_crashes() {
    let mut mesh = Mesh::new(Quota { per_sec: 100.0, burst: 100.0 });
    let holder = mesh.holder();
    let other = (holder + 1) % DAEMONS;
    let crash = Disturbance::Crash { daemon: holder, time: Duration::from_secs(60) };
    let at = Duration::from_secs(10);
    mesh.run(&[(at, crash)], Duration::from_secs(25), |mesh, now, step| {
        mesh.send_at_rate(other, 150.0 * STEP.as_secs_f64(), step, now);
    });
    let (from, to) = (Duration::from_secs(16), Duration::from_secs(25));
    let sent = mesh.sent_between(from, to) as f64;
    // The dead member counts, as it may be cut off and hold the account still.
    let limit = 900.0 * (DAEMONS - 1) as f64 / DAEMONS as f64;
    assert!(sent >= 0.95 * limit, "{sent} of {limit}");
    mesh.check_bound().expect("the bound");
}

/// Guards against a refused request that costs a token, and a lease that is used after its end because it was returned.
#[test]
fn request_that_has_not_run_returns_its_token() {
    let at = Duration::from_millis;
    let lease = BOUNDS.lease();
    let mut allowance = Allowance::default();
    let granted = Decision::Granted { tokens: 1, wait: Duration::ZERO };
    assert!(!allowance.on_decision(granted, lease, at(1_000), at(1_002)));
    let token = allowance.take(at(1_003)).expect("a token");
    assert_eq!(allowance.take(at(1_003)), None);
    allowance.give_back(token, at(1_010));
    let token = allowance.take(at(1_020)).expect("the returned token");
    allowance.give_back(token, at(1_000) + lease);
    assert_eq!(allowance.take(at(1_000) + lease), None);
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
