//! Tests of the lease on the freshness of a configuration, and of who gets its proof from whom.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use baobabreel_core::membership::Member;
use baobabreel_core::relay::*;
use baobabreel_core::revocation::*;
use support::{member, seeded_quickcheck};

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Bound of all tests.
const BOUND: Duration = Duration::from_secs(5);

/// Guards against a proof that counts for a version it says nothing about, or for longer than the bound.
#[test]
fn proof_holds_for_its_version_and_newer_ones_until_the_bound() {
    let mut lease = ConfigLease::new(BOUND);
    assert!(!lease.is_valid(7, MS(0)), "a daemon that has just started has no proof");
    assert!(lease.prove(7, MS(1_000)));
    assert!(!lease.is_valid(6, MS(1_000)) && lease.is_outdated(6));
    assert!(lease.is_valid(7, MS(5_999)) && lease.is_valid(8, MS(5_999)));
    assert!(!lease.is_valid(7, MS(6_000)));
    assert_eq!(lease.left(7, MS(4_000)), MS(2_000));
    // A version that is not in force yet does not end the lease on the one before.
    assert!(lease.prove(8, MS(3_000)));
    assert_eq!((lease.left(7, MS(4_000)), lease.left(8, MS(4_000))), (MS(2_000), MS(4_000)));
    assert!(!lease.prove(9, MS(2_000)) && !lease.prove(8, MS(3_000)), "they add nothing");
    assert_eq!(ConfigLease::adopted_time(MS(500), MS(600)), None);
}

/// Daemon of a drawn history; its clock has a start of its own.
struct Daemon {
    own: u64,
    lease: ConfigLease,
    clock_start: Duration,
}

/// What happens at one time of a drawn history.
enum Event {
    Publish,
    /// A read that was sent at this time by a daemon and whose answer has this version arrives there.
    ReadArrives(usize, Duration, u64),
    /// A query of the first daemon, sent at this time, arrives at the second one; the answer takes as long again.
    QueryArrives(usize, usize, Duration),
    AnswerArrives(usize, Duration, u64, Duration),
    Applies(usize, u64),
}

/// Guards against a request that is allowed although it was sent later than the bound after a revocation: over drawn
/// orders of versions, reads and queries whose answers are late, as with daemons that are suspended meanwhile.
#[test]
fn no_request_later_than_the_bound_after_a_revocation_is_allowed() {
    fn check(drawn: Vec<(u8, u8, u16, u16)>) -> bool {
        let mut daemons: Vec<Daemon> = (0..3)
            .map(|i| Daemon {
                own: 1,
                lease: ConfigLease::new(BOUND),
                clock_start: MS(100_000 * i),
            })
            .collect();
        let mut published = vec![Duration::ZERO];
        let mut events: BTreeMap<(Duration, usize), Event> = BTreeMap::new();
        let mut now = Duration::ZERO;
        for (number, (kind, who, pause, delay)) in drawn.into_iter().enumerate() {
            now += MS(u64::from(pause) % 900);
            let (who, other) = (usize::from(who) % 3, usize::from(who / 3) % 3);
            // Mostly short, at times longer than the bound, as for a daemon that was suspended.
            let delay = MS(u64::from(delay) % if delay % 4 == 0 { 9_000 } else { 400 });
            let event = match kind % 8 {
                0 => Event::Publish,
                1..=3 => Event::ReadArrives(who, now, published.len() as u64),
                4 => Event::Applies(who, published.len() as u64),
                _ => Event::QueryArrives(who, other, now),
            };
            let at = if matches!(event, Event::Publish) { now } else { now + delay };
            events.insert((at, number * 2), event);
            while let Some(((at, number), event)) = events.pop_first() {
                if at > now {
                    events.insert((at, number), event);
                    break;
                }
                let local = |i: usize, t: Duration| t + MS(100_000 * i as u64);
                match event {
                    Event::Publish => published.push(at),
                    Event::ReadArrives(i, sent_at, version) => {
                        // The proof may be known before the version is in force.
                        daemons[i].lease.prove(version, local(i, sent_at));
                    }
                    Event::Applies(i, version) => daemons[i].own = daemons[i].own.max(version),
                    Event::QueryArrives(i, from, sent_at) => {
                        let peer = &daemons[from];
                        if let Some(age) = peer.lease.age(peer.own, at + peer.clock_start) {
                            let answer = Event::AnswerArrives(i, sent_at, peer.own, age);
                            events.insert((at + (at - sent_at), number + 1), answer);
                        }
                    }
                    Event::AnswerArrives(i, sent_at, version, age) => {
                        if let Some(at) = ConfigLease::adopted_time(local(i, sent_at), age) {
                            daemons[i].lease.prove(version, at);
                        }
                    }
                }
                for daemon in &daemons {
                    let is_valid = daemon.lease.is_valid(daemon.own, at + daemon.clock_start);
                    let next = published.get(daemon.own as usize);
                    if is_valid && next.is_some_and(|next| at >= *next + BOUND) {
                        return false;
                    }
                }
            }
        }
        true
    }
    seeded_quickcheck(3_000, 41).quickcheck(check as fn(Vec<(u8, u8, u16, u16)>) -> bool);
}

/// Mesh whose daemons look for proofs; messages take no time.
struct Mesh {
    members: Vec<Member>,
    policies: Vec<ProofPolicy>,
    leases: Vec<ConfigLease>,
    /// Daemons that have said that they cannot read the platform.
    lost: Vec<usize>,
    /// Times of the reads, with the daemon.
    reads: Vec<(Duration, usize)>,
    random: u64,
}

impl Mesh {
    fn new(data_centres: usize, daemons: usize, seed: u64) -> Self {
        let members: Vec<Member> = (0..daemons).map(|i| member(i, i % data_centres)).collect();
        let mut mesh = Self {
            policies: Vec::new(),
            leases: vec![ConfigLease::new(BOUND); daemons],
            lost: Vec::new(),
            reads: Vec::new(),
            random: seed | 1,
            members,
        };
        mesh.policies = (0..daemons).map(|_| ProofPolicy::new(BOUND, mesh.draw())).collect();
        mesh
    }

    fn draw_number(&mut self) -> u64 {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        self.random >> 20
    }

    fn draw(&mut self) -> f64 {
        (self.draw_number() % 1_000) as f64 / 1_000.0
    }

    fn age(&self, i: usize, now: Duration) -> Option<Duration> {
        self.leases[i].age(1, now)
    }

    fn ask(&mut self, i: usize, from: usize, now: Duration) {
        let Some(age) = self.age(from, now) else { return };
        if self.leases[i].prove(1, now.saturating_sub(age)) {
            self.policies[i].peer_proved();
        }
    }

    /// Runs the mesh; the platform answers the daemons for which `serves` holds. Returns the oldest proof that any
    /// daemon had once half of the bound was over.
    fn run(
        &mut self,
        (begin, end): (Duration, Duration),
        serves: impl Fn(usize) -> bool,
    ) -> Duration {
        let mut oldest = Duration::ZERO;
        let members = self.members.clone();
        let live: Vec<&Member> = members.iter().collect();
        let can_read = |m: &Member| !self.lost.iter().any(|i| members[*i].id == m.id);
        // The members stay the same, and to rank them takes long.
        let views: Vec<_> = (members.iter())
            .map(|own| {
                let rank = reader_rank(&live, own, can_read);
                let role = rank.map_or(ProofRole::Other, |rank| ProofRole::Reader { rank });
                let (local, _) = document_relays(live.iter().copied(), own);
                (role, proof_sources(&live, own, can_read), local)
            })
            .collect();
        let mut now = begin;
        while now < end {
            now += MS(100);
            for (i, (role, sources, local)) in views.iter().enumerate() {
                let role = *role;
                let age = self.age(i, now);
                let query = self.policies[i].query(role, age, now);
                let (turn, random) = (self.draw_number(), self.draw_number());
                let targets = query.targets(sources, &live, turn as usize, random);
                let mut targets: Vec<String> = targets.iter().map(|m| m.id.clone()).collect();
                // Other daemons query a relay twice a second anyway, in turn.
                if role == ProofRole::Other && (now.as_millis() / 100 + i as u128).is_multiple_of(5)
                {
                    targets.push(local[turn as usize % local.len()].id.clone());
                }
                for target in targets {
                    let from = members.iter().position(|m| m.id == target).expect("a member");
                    self.ask(i, from, now);
                }
                let age = self.age(i, now);
                if self.policies[i].is_read_due(role, age, now) {
                    self.reads.push((now, i));
                    self.policies[i].read_began(now);
                    if serves(i) {
                        self.leases[i].prove(1, now);
                        self.policies[i].read_proved();
                    } else {
                        let jitter = self.draw();
                        self.policies[i].read_failed(role, jitter, now);
                    }
                }
            }
            if now >= begin + BOUND / 2 {
                let ages = (0..members.len()).map(|i| self.age(i, now).unwrap_or(Duration::MAX));
                oldest = oldest.max(ages.max().expect("there are daemons"));
            }
        }
        oldest
    }
}

/// Guards against proofs that come near the bound while all is well, and against more calls to the platform than one a
/// second and data centre.
#[test]
fn calm_mesh_has_young_proofs_from_one_read_a_second_and_data_centre() {
    fn check(daemons: u8, data_centres: u8, seed: u64) -> bool {
        let data_centres = usize::from(data_centres % 3) + 1;
        let daemons = data_centres + usize::from(daemons) % 60;
        let mut mesh = Mesh::new(data_centres, daemons, seed);
        let oldest = mesh.run((MS(0), MS(20_000)), |_| true);
        let in_calm = mesh.reads.iter().filter(|(at, _)| *at > MS(5_000)).count();
        oldest < BOUND / 2 && in_calm <= 15 * data_centres + data_centres
    }
    seeded_quickcheck(60, 42).quickcheck(check as fn(u8, u8, u64) -> bool);
}

/// Guards against keyed requests that are refused although some daemon reaches the platform: one data centre, or all
/// daemons but one that is no relay, are turned away.
#[test]
fn proof_of_any_daemon_reaches_all_others_before_the_bound() {
    for seed in 1..=10 {
        let mut mesh = Mesh::new(3, 86, seed);
        mesh.run((MS(0), MS(5_000)), |_| true);
        let oldest = mesh.run((MS(5_000), MS(25_000)), |i| i % 3 != 1);
        assert!(oldest < BOUND, "seed {seed}: a data centre is cut off, {oldest:?}");
        let mut mesh = Mesh::new(3, 86, seed);
        let live: Vec<&Member> = mesh.members.iter().collect();
        let other = live.iter().position(|own| reader_rank(&live, own, |_| true).is_none());
        let other = other.expect("a daemon is no relay");
        mesh.run((MS(0), MS(20_000)), |i| i == other);
        let oldest = mesh.run((MS(20_000), MS(40_000)), |i| i == other);
        assert!(oldest < BOUND, "seed {seed}: one daemon is served, {oldest:?}");
    }
}

/// Guards against reads by most daemons of a data centre whose relays are turned away, when one of them would do. The
/// first three that read in place of the relays may be turned away too.
#[test]
fn data_centre_without_its_relays_is_read_for_by_few() {
    for (seed, turned_away) in (1..=10).flat_map(|seed| [(seed, 0), (seed, 3)]) {
        let mut mesh = Mesh::new(3, 86, seed);
        let members = mesh.members.clone();
        let live: Vec<&Member> = members.iter().collect();
        let is_relay = |m: &Member| reader_rank(&live, m, |_| true).is_some();
        let is_lost = |m: &Member| m.data_centre == live[1].data_centre && is_relay(m);
        mesh.lost = (0..live.len()).filter(|i| is_lost(live[*i])).collect();
        let rank = |i: usize| reader_rank(&live, live[i], |m| !is_lost(m));
        let is_local = |i: usize| live[i].data_centre == live[1].data_centre && !is_lost(live[i]);
        let refused: Vec<usize> = (0..live.len())
            .filter(|i| is_lost(live[*i]) || is_local(*i) && rank(*i) < Some(turned_away))
            .collect();
        mesh.run((MS(0), MS(20_000)), |i| !refused.contains(&i));
        mesh.reads.clear();
        let oldest = mesh.run((MS(20_000), MS(40_000)), |i| !refused.contains(&i));
        assert!(oldest < BOUND, "seed {seed}: a proof was {oldest:?} old");
        let reads = mesh.reads.iter().filter(|(_, i)| is_local(*i)).count();
        // About one a second, or a few if it takes more than one to find who is served.
        let limit = if turned_away == 0 { 25 } else { 60 };
        assert!(reads <= limit, "seed {seed}: {reads} reads in 20 s, {turned_away} turned away");
    }
}

/// Guards against reads of all daemons at once when a platform that was down comes back, and against many while it is
/// down.
#[test]
fn platform_that_comes_back_is_not_read_by_all_at_once() {
    for seed in 1..=10 {
        let mut mesh = Mesh::new(3, 86, seed);
        mesh.run((MS(0), MS(5_000)), |_| true);
        mesh.run((MS(5_000), MS(60_000)), |_| false);
        let down = mesh.reads.iter().filter(|(at, _)| *at > MS(20_000)).count();
        assert!(down <= 40 * 20, "seed {seed}: {down} reads in 40 s");
        let before = mesh.reads.len();
        let oldest = mesh.run((MS(60_000), MS(64_000)), |_| true);
        let after = mesh.reads[before..].iter().filter(|(at, _)| *at <= MS(62_000)).count();
        assert!(after <= 30, "seed {seed}: {after} reads in the first 2 s");
        assert!(oldest < BOUND / 2, "seed {seed}: a proof was {oldest:?} old");
    }
}
