//! Tests of when a suspected member is declared dead.

#[expect(dead_code, reason = "property checks are used by other tests")]
mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_core::membership::*;
use support::{addr, member};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// The state machine of member 0, which knows of `n` members including itself.
fn swim_with_members(n: usize) -> Swim {
    let mut swim = Swim::new(member(0, 0), SwimSettings::new());
    swim.tick(MS(0), 0);
    for i in 1..n {
        swim.handle(Event::MemberDiscovered(member(i, 0)), MS(0), 0);
    }
    swim
}

fn update_about(i: usize, state: MemberState) -> Member {
    let mut update = member(i, 0);
    update.state = state;
    update
}

fn dead_members(swim: &Swim) -> Vec<SocketAddr> {
    let dead = swim.members().iter().filter(|m| m.state == MemberState::Dead);
    dead.map(|m| m.peer_addr).collect()
}

/// Guards against live members that are declared dead because their refutations come late and there are
/// too many suspects to probe each of them before its suspicion ends.
#[test]
fn death_needs_two_failed_probes() {
    let mut swim = swim_with_members(60);
    for i in 1..60 {
        swim.handle(Event::Pushed(vec![update_about(i, MemberState::Suspect)]), MS(100), 0);
    }
    let mut probes: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for now in (200..=60_000).step_by(100) {
        for action in swim.tick(MS(now), now) {
            if let Action::SendProbe { to, .. } = action {
                *probes.entry(to).or_default() += 1;
            }
        }
        // An empty push keeps the daemon from concluding that it is cut off itself.
        swim.handle(Event::Pushed(Vec::new()), MS(now), now);
        assert!(
            dead_members(&swim).iter().all(|to| probes.get(to) >= Some(&2)),
            "{now} ms: {probes:?}"
        );
    }
    assert_eq!(dead_members(&swim).len(), 59);
}

/// Guards against a suspect that is declared dead although it still sends messages.
#[test]
fn message_from_a_suspect_restarts_its_suspicion() {
    let mut swim = swim_with_members(4);
    swim.handle(Event::Pushed(vec![update_about(1, MemberState::Suspect)]), MS(100), 0);
    for now in (200..=5_800).step_by(100) {
        swim.tick(MS(now), now);
        if now == 2_900 {
            let filter = Filter::of(swim.members(), 0);
            let request = SyncRequest { from: member(1, 0), filter };
            swim.handle(Event::SyncRequest(request), MS(now), now);
        }
        swim.handle(Event::Pushed(Vec::new()), MS(now), now);
        assert!(!dead_members(&swim).contains(&addr(1)), "{now} ms");
    }
}

/// Guards against refutations that wait behind the many updates of a partition until the suspicion
/// ends and the member is declared dead.
#[test]
fn refutations_are_sent_first() {
    let mut swim = swim_with_members(60);
    let mut refuted = member(1, 0);
    refuted.sequence = 1;
    swim.handle(Event::Pushed(vec![refuted.clone()]), MS(100), 0);
    for i in 2..30 {
        swim.handle(Event::Pushed(vec![update_about(i, MemberState::Suspect)]), MS(100), 0);
    }
    let (from, digest, updates) = (member(59, 0), 0, Vec::new());
    let probe = Event::Probe(Probe { number: 1, from, digest, updates });
    let actions = swim.handle(probe, MS(200), 0);
    let ack = actions.iter().find_map(|action| match action {
        Action::SendAck { ack, .. } => Some(ack),
        _ => None,
    });
    assert_eq!(ack.and_then(|ack| ack.updates.first()), Some(&refuted));
}
