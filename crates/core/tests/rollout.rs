//! Traces of roll-outs: the state machine with generated responses of two releases.

use std::time::Duration;

use baobabreel_core::id::DaemonId;
use baobabreel_core::membership::{Member, MemberState};
use baobabreel_core::rollout::{
    DaemonReport, DefaultRelease, LatencyHistogram, Observation, ReleaseFilter, Rollout,
    RolloutLimits, RolloutOrder, RolloutPhase, RolloutRecord, Side, Stratum, default_release,
};

#[allow(dead_code, reason = "each test binary uses a part")]
mod support;

const STEP: Duration = Duration::from_millis(500);
const WITHIN: Duration = Duration::from_secs(12);
const ROUTES: usize = 4;

/// One request of a trace.
#[derive(Debug, Clone, Copy)]
struct Request {
    at: f64,
    route: usize,
    side: Side,
    /// Data centre of caller and backend server, 0 or 1.
    place: usize,
    server: usize,
    /// Requests per second that each backend server of its side gets.
    load: f64,
    /// Uniform from 0 to 1.
    luck: f64,
}

/// Latency in milliseconds of a response; `None` if it failed.
type Response = Option<f64>;

struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

#[derive(Debug, PartialEq)]
struct Run {
    end: RolloutPhase,
    ended_at: f64,
    at_new: f64,
    bad: usize,
}

fn record() -> RolloutRecord {
    let (service, target) = ("catalogue".to_owned(), "v2".to_owned());
    let order = RolloutOrder { service, target, within: WITHIN, offset: 4, generation: 1 };
    RolloutRecord::begin(&order, None, Some("v1".to_owned()), 0)
}

/// Plays a roll-out of a service with `rate` requests per second. Reports arrive after each step, and daemons
/// follow a decision one step late.
fn play(rate: f64, seed: u64, respond: impl Fn(Request) -> Response) -> Run {
    let limits = RolloutLimits { share: 0.1, slack: 50.0 };
    let mut rollout = Rollout::new(record(), limits, Duration::ZERO, Duration::ZERO);
    let mut random = Random(seed);
    let (mut at_new, mut bad, mut due) = (0, 0, 0.0);
    let (mut share, mut next_share) = (0.0, 0.06);
    let mut end = None;
    for step in 0..28 {
        let now = STEP * step;
        due += rate * STEP.as_secs_f64();
        let count = due as u32;
        due -= f64::from(count);
        let mut observations = Vec::new();
        for _ in 0..count {
            let side = if random.fraction() < share { Side::Canary } else { Side::Main };
            let (route, place) =
                ((random.next() % ROUTES as u64) as usize, (random.next() % 2) as usize);
            // The canary is concentrated on as many servers as its share needs.
            let load = if side == Side::Main { (1.0 - share) * rate / 10.0 } else { rate / 10.0 };
            let server = if side == Side::Canary { (step as usize / 3) % 3 } else { 0 };
            let request = Request {
                at: now.as_secs_f64(),
                route,
                side,
                place,
                server,
                load,
                luck: random.fraction(),
            };
            let response = respond(request);
            if side == Side::Canary {
                at_new += 1;
                bad += usize::from(response.is_none());
            }
            observations.push(observation(request, response));
        }
        let phase = rollout.record().phase;
        let own = DaemonReport { phase, is_unsure: false, base_in_flight: 0, requests: count };
        rollout.report("d", own, observations, now);
        share = next_share;
        if end.is_none()
            && let Some(transition) = rollout.step(["d"], 3, now)
        {
            if transition.record.phase.is_final() {
                end = Some((transition.record.phase, now.as_secs_f64()));
            }
            rollout.advance(transition.record, now);
        }
        next_share = rollout.share(now);
        if end.is_some() && share == next_share {
            break;
        }
    }
    let (end, ended_at) = end.unwrap_or((rollout.record().phase, f64::INFINITY));
    Run { end, ended_at, at_new: f64::from(at_new), bad }
}

fn observation(request: Request, response: Response) -> Observation {
    let mut latencies = LatencyHistogram::default();
    if let Some(millis) = response {
        latencies.record(Duration::from_secs_f64(millis / 1_000.0));
    }
    let place = format!("dc-{}", request.place);
    let route = format!("r-{}", request.route);
    Observation {
        stratum: Stratum { route, entry: place.clone(), server: place },
        side: request.side,
        server: DaemonId::from(format!("{:?}-{}", request.side, request.server)),
        failures: u32::from(response.is_none()),
        latencies,
    }
}

/// Latencies of a healthy backend server: 8 ms on average, exponential above 2 ms, and a failure of one in 500.
fn healthy(request: Request) -> Response {
    (request.luck > 0.002).then(|| 2.0 - 6.0 * ((request.luck - 0.002) / 0.998).ln())
}

fn is_new(request: Request) -> bool {
    request.side == Side::Canary
}

/// Checks over many seeds that a bad release is rolled back and stays within its part of the requests.
#[track_caller]
fn assert_reverted(rate: f64, respond: impl Fn(Request) -> Response + Copy) {
    for seed in 0..40 {
        let run = play(rate, seed, respond);
        assert_eq!(run.end, RolloutPhase::RolledBack, "seed {seed}: {run:?}");
        let limit = 0.1 * rate * WITHIN.as_secs_f64() + 50.0;
        assert!(run.at_new <= limit, "seed {seed}: {run:?}, limit {limit}");
    }
}

#[track_caller]
fn assert_succeeds(rate: f64, respond: impl Fn(Request) -> Response + Copy) {
    for seed in 0..100 {
        let run = play(rate, seed, respond);
        assert_eq!(run.end, RolloutPhase::Succeeded, "seed {seed}: {run:?}");
        assert!(run.ended_at <= WITHIN.as_secs_f64(), "seed {seed}: {run:?}");
    }
}

/// Guards against a good release that is rolled back because of noise alone.
#[test]
fn good_release_succeeds() {
    assert_succeeds(60.0, healthy);
    assert_succeeds(300.0, healthy);
}

/// Guards against a roll-out of a quiet service that never ends.
#[test]
fn good_release_of_a_quiet_service_succeeds() {
    assert_succeeds(0.0, healthy);
    assert_succeeds(1.0, healthy);
}

/// Guards against a release whose failures or latencies are not seen.
#[test]
fn release_that_is_bad_at_once_is_reverted() {
    for rate in [30.0, 300.0] {
        assert_reverted(rate, |r| healthy(r).filter(|_| !is_new(r) || r.luck > 0.3));
        assert_reverted(rate, |r| healthy(r).map(|ms| if is_new(r) { 4.0 * ms } else { ms }));
    }
}

/// Guards against early good responses that hide a release which turns bad after some seconds.
#[test]
fn release_that_turns_bad_late_is_reverted() {
    let is_bad = |r: Request| is_new(r) && r.at > 4.0;
    assert_reverted(100.0, move |r| healthy(r).filter(|_| !is_bad(r) || r.luck > 0.4));
    assert_reverted(100.0, move |r| healthy(r).map(|ms| if is_bad(r) { 5.0 * ms } else { ms }));
}

/// Guards against good routes that hide a bad one.
#[test]
fn release_that_is_bad_on_one_route_is_reverted() {
    let is_bad = |r: Request| is_new(r) && r.route == 2;
    assert_reverted(100.0, move |r| healthy(r).filter(|_| !is_bad(r) || r.luck > 0.5));
    assert_reverted(100.0, move |r| healthy(r).map(|ms| if is_bad(r) { 5.0 * ms } else { ms }));
}

/// Guards against a canary with so little load for each backend server that the fault does not show.
#[test]
fn release_that_is_bad_under_load_is_reverted() {
    let is_bad = |r: Request| is_new(r) && r.load > 8.0;
    assert_reverted(100.0, move |r| healthy(r).map(|ms| if is_bad(r) { 5.0 * ms } else { ms }));
}

/// Guards against a good release that is blamed for a fault of a data centre, of a dependency of both releases, or
/// of one instance.
#[test]
fn fault_elsewhere_does_not_roll_back() {
    let slow_place = |r: Request| r.place == 1 && r.at > 1.0;
    assert_succeeds(100.0, move |r| {
        healthy(r).map(|ms| if slow_place(r) { ms + 80.0 } else { ms })
    });
    let dependency = |r: Request| r.at > 2.0 && r.at < 5.0;
    assert_succeeds(100.0, move |r| healthy(r).filter(|_| !dependency(r) || r.luck > 0.3));
    let instance = |r: Request| is_new(r) && r.server == 1;
    assert_succeeds(100.0, move |r| healthy(r).map(|ms| if instance(r) { 6.0 * ms } else { ms }));
}

/// Guards against a final state that is replaced, an order that is taken for an earlier one, and one that begins
/// anew when it is read again.
#[test]
fn records_are_ordered() {
    let record = record();
    let at = |phase| RolloutRecord { phase, ..record.clone() };
    let (back, succeeded) = (at(RolloutPhase::RolledBack), at(RolloutPhase::Succeeded));
    assert!(back.supersedes(&record) && !record.supersedes(&back));
    assert!(!back.supersedes(&succeeded) && !succeeded.supersedes(&back));
    let order = |target: &str, offset, generation| RolloutOrder {
        service: record.service.clone(),
        target: target.to_owned(),
        within: WITHIN,
        offset,
        generation,
    };
    assert!(!back.is_before(&order("v2", 4, 1)), "the same order");
    assert!(!back.is_before(&order("v2", 4, 2)), "the same order in a restored store");
    assert!(back.is_before(&order("v2", 9, 1)), "the same target again");
    assert!(back.is_before(&order("v3", 3, 2)), "an offset that a restored store gives out again");
    assert!(!back.is_before(&order("v3", 3, 1)), "an older order");
    assert!(
        !back.is_before(&order("v3", 3, 0)),
        "an older order, read after the store was restored"
    );
    let next = RolloutRecord::begin(&order("v3", 9, 0), Some(&back), None, 0);
    assert!(next.supersedes(&back) && !back.supersedes(&next));
}

fn server(index: usize, release: &str) -> Member {
    let release = Some(release.to_owned());
    let incarnation = 1_000 + index as u64;
    Member { release, incarnation, ..support::member(index, index % 2) }
}

/// Guards against requests for a new release before its order, or of a canary that gets more than its share, and
/// against retries that leave the old release.
#[test]
fn only_one_release_gets_requests_without_an_order() {
    let members: Vec<Member> = (0..6).map(|i| server(i, if i < 3 { "v1" } else { "v2" })).collect();
    let all: Vec<&Member> = members.iter().collect();
    let release = default_release(&all, None);
    assert_eq!(release.as_deref(), Some("v1"), "the earlier one of equally many");
    let known = Some("v2".to_owned());
    assert_eq!(default_release(&all, Some(&known)), known, "the one that had the requests");
    let (main, canary) = ReleaseFilter::only(release).split(&all, 0);
    assert_eq!((main.len(), canary.len()), (3, 0));
    let filter = ReleaseFilter::of(&record(), 0.06);
    let (main, canary) = filter.split(&all, 0);
    assert!(main.iter().all(|m| m.release.as_deref() == Some("v1")) && main.len() == 3);
    assert!(canary.iter().all(|m| m.release.as_deref() == Some("v2")));
    assert_eq!(canary.len(), 2, "one in each data centre");
    let mut random = Random(1);
    let draws: Vec<u64> = (0..10_000).map(|_| random.next()).collect();
    let taken = draws.iter().filter(|draw| filter.side(**draw, true) == Side::Canary).count();
    assert!((500..700).contains(&taken), "{taken}");
    assert!(draws.iter().all(|draw| filter.side(*draw, false) == Side::Main), "a retry");
}

/// Guards against a daemon that keeps a new release because it knew one of its members first, and then sends it
/// all requests without an order.
#[test]
fn first_member_known_does_not_choose_the_release() {
    let members: Vec<Member> = (0..5).map(|i| server(i, if i < 3 { "v1" } else { "v2" })).collect();
    let mut default = DefaultRelease::default();
    assert_eq!(default.update(&[&members[4]], Duration::ZERO).as_deref(), Some("v2"));
    let all: Vec<&Member> = members.iter().collect();
    for second in 1..30 {
        let release = default.update(&all, Duration::from_secs(second));
        assert_eq!(release.as_deref(), Some("v1"), "after {second} s");
    }
}

/// Guards against a choice that changes to a new release and back while the releases of members become known: those
/// that are not known yet may all belong to the chosen one.
#[test]
fn members_without_a_known_release_do_not_change_the_choice() {
    let of = |i: usize| if i < 3 { "v1" } else { "v2" };
    let all: Vec<Member> = (0..5).map(|i| server(i, of(i))).collect();
    for first in 0..5 {
        for order in [[0, 1, 2, 3, 4], [4, 3, 2, 1, 0], [3, 0, 4, 1, 2]] {
            let mut members = all.clone();
            members.iter_mut().for_each(|member| member.release = None);
            let mut default = DefaultRelease::default();
            let mut chosen = Vec::new();
            for i in [first].into_iter().chain(order) {
                members[i].release = Some(of(i).to_owned());
                let known: Vec<&Member> = members.iter().collect();
                chosen.push(default.update(&known, Duration::ZERO));
            }
            chosen.dedup();
            let expected: &[&str] = if first < 3 { &["v1"] } else { &["v2", "v1"] };
            let chosen: Vec<&str> =
                chosen.iter().filter_map(|release| release.as_deref()).collect();
            assert_eq!(chosen, expected, "first {first}, then {order:?}");
        }
    }
}

/// Guards against a release that loses the requests without an order: to one with more members, or because its
/// own are suspected or draining for a while. It has to lose them once its members are gone.
#[test]
fn settled_release_keeps_the_requests_until_its_members_are_gone() {
    let mut members: Vec<Member> =
        (0..5).map(|i| server(i, if i < 3 { "v1" } else { "v2" })).collect();
    let mut default = DefaultRelease::default();
    let mut choose = |members: &[Member], second: u64| {
        let all: Vec<&Member> = members.iter().collect();
        default.update(&all, Duration::from_secs(second))
    };
    assert_eq!(choose(&members, 0).as_deref(), Some("v1"));
    members.extend((5..9).map(|i| server(i, "v2")));
    assert_eq!(choose(&members, 60).as_deref(), Some("v1"), "more of the other");
    for state in [MemberState::Suspect, MemberState::Draining, MemberState::Ready] {
        members[..3].iter_mut().for_each(|member| member.state = state);
        assert_eq!(choose(&members, 61).as_deref(), Some("v1"), "{state:?}");
    }
    for state in [MemberState::Left, MemberState::Dead, MemberState::Left] {
        members[..3].iter_mut().for_each(|member| member.state = state);
        assert_eq!(choose(&members, 62).as_deref(), Some("v2"), "{state:?}");
    }
}

/// Guards against a rolled-back release that gets requests when the old one is gone for a moment, and against a
/// service without any when its release was changed without an order.
#[test]
fn reverted_release_gets_nothing() {
    let mut members = vec![server(0, "v1"), server(1, "v2")];
    members[0].state = MemberState::Draining;
    let record = RolloutRecord { phase: RolloutPhase::RolledBack, ..record() };
    let filter = ReleaseFilter::of(&record, 0.0);
    assert!(filter.split(&[&members[1]], 0).0.is_empty());
    members.push(server(2, "v3"));
    assert_eq!(filter.split(&[&members[1], &members[2]], 0).0, [&members[2]]);
}

/// Guards against a success that is written while the old release still works, and against a daemon that is cut
/// off and keeps the roll-out from ending.
#[test]
fn success_waits_for_the_old_release() {
    let limits = RolloutLimits { share: 0.1, slack: 50.0 };
    let promoting = RolloutRecord { phase: RolloutPhase::Promoting, ..record() };
    let second = Duration::from_secs(1);
    let mut rollout = Rollout::new(promoting, limits, 6 * second, 6 * second);
    let done = DaemonReport {
        phase: RolloutPhase::Promoting,
        is_unsure: false,
        base_in_flight: 0,
        requests: 1,
    };
    for busy in [
        DaemonReport { base_in_flight: 1, ..done },
        DaemonReport { is_unsure: true, ..done },
        DaemonReport { phase: RolloutPhase::Ramp, ..done },
    ] {
        rollout.report("a", done, [], 8 * second);
        rollout.report("b", busy, [], 8 * second);
        assert_eq!(rollout.step(["a", "b"], 3, 8 * second), None, "{busy:?}");
    }
    let mut cut_off = rollout.clone();
    rollout.report("b", done, [], 8 * second);
    let ended = rollout.step(["a", "b"], 3, 8 * second).expect("all are done");
    assert_eq!(ended.record.phase, RolloutPhase::Succeeded);
    assert_eq!(cut_off.step(["a", "b"], 3, 10 * second), None, "there is time left");
    let ended = cut_off.step(["a", "b"], 3, 11 * second).expect("the ordered time ends");
    assert_eq!(ended.record.phase, RolloutPhase::Succeeded);
}
