//! Tests of the conclusion that a suspect is dead.

#[expect(dead_code, reason = "property checks are used by other tests")]
mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_core::membership::*;
use support::{addr, member};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn with_members(n: usize) -> Swim {
    let mut swim = Swim::new(member(0, 0), SwimSettings::new());
    swim.tick(MS(0), 0);
    for i in 1..n {
        swim.handle(Event::MemberDiscovered(member(i, 0)), MS(0), 0);
    }
    swim
}

fn rumour(i: usize, state: MemberState) -> Member {
    let mut rumour = member(i, 0);
    rumour.state = state;
    rumour
}

fn dead(swim: &Swim) -> Vec<SocketAddr> {
    let dead = swim.members().iter().filter(|m| m.state == MemberState::Dead);
    dead.map(|m| m.peer_addr).collect()
}

/// Guards against live members that are declared dead because their refutations are late and there are
/// too many suspects to probe each of them in time.
#[test]
fn death_needs_two_failed_probes() {
    let mut swim = with_members(60);
    for i in 1..60 {
        swim.handle(Event::Pushed(vec![rumour(i, MemberState::Suspect)]), MS(100), 0);
    }
    let mut probes: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for now in (200..=60_000).step_by(100) {
        for action in swim.tick(MS(now), now) {
            if let Action::SendProbe { to, .. } = action {
                *probes.entry(to).or_default() += 1;
            }
        }
        // Somebody is heard all the time, so the daemon does not take itself to be cut off.
        swim.handle(Event::Pushed(Vec::new()), MS(now), now);
        assert!(dead(&swim).iter().all(|to| probes.get(to) >= Some(&2)), "{now} ms: {probes:?}");
    }
    assert_eq!(dead(&swim).len(), 59);
}

/// Guards against a suspect that is declared dead although it sends messages.
#[test]
fn message_of_a_suspect_starts_the_suspicion_anew() {
    let mut swim = with_members(4);
    swim.handle(Event::Pushed(vec![rumour(1, MemberState::Suspect)]), MS(100), 0);
    for now in (200..=5_800).step_by(100) {
        swim.tick(MS(now), now);
        if now == 2_900 {
            let filter = Filter::of(swim.members(), 0);
            let request = SyncRequest { from: member(1, 0), filter };
            swim.handle(Event::SyncRequest(request), MS(now), now);
        }
        swim.handle(Event::Pushed(Vec::new()), MS(now), now);
        assert!(!dead(&swim).contains(&addr(1)), "{now} ms");
    }
}

/// Guards against refutations that wait behind the news of a partition until the suspicion is over.
#[test]
fn refutations_are_sent_first() {
    let mut swim = with_members(60);
    let mut refuted = member(1, 0);
    refuted.sequence = 1;
    swim.handle(Event::Pushed(vec![refuted.clone()]), MS(100), 0);
    for i in 2..30 {
        swim.handle(Event::Pushed(vec![rumour(i, MemberState::Suspect)]), MS(100), 0);
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
