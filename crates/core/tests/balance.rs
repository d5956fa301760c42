//! Tests the choice of backend servers: which endpoints may be chosen, and how load shifts between them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use baobabreel_core::balance::{Balancer, DataCentreReach, Endpoint, Failure, LoadReport};
use quickcheck::{Gen, QuickCheck};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Endpoints `e0`, `e1`, ... with 10 slots; the last `remote` ones are in another data centre.
fn endpoints(count: usize, remote: usize) -> Vec<Endpoint> {
    let of = |n| Endpoint {
        name: format!("e{n}"),
        data_centre: if n + remote < count { "a" } else { "b" }.to_owned(),
        slots: 10,
        enabled: true,
    };
    (0..count).map(of).collect()
}

fn balancer(endpoints: &[Endpoint]) -> Balancer {
    let mut balancer = Balancer::builder().data_centre("a").build();
    balancer.update(endpoints, ms(0));
    balancer
}

/// Pseudorandom number `n` of a fixed sequence.
fn random(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23)
}

/// Sends a call every 2 ms between the times `from` and `to` in ms; every response reports an idle backend
/// server. Returns the names of the chosen endpoints, in order.
fn send_calls(b: &mut Balancer, from: u64, to: u64, latency: &dyn Fn(&str) -> u64) -> Vec<String> {
    let mut chosen: Vec<String> = Vec::new();
    let mut pending: BTreeSet<(u64, usize)> = BTreeSet::new();
    for now in (from..to).step_by(2) {
        while pending.first().is_some_and(|&(at, _)| at <= now) {
            let (at, call) = pending.pop_first().expect("a call is pending");
            let name = chosen[call].as_str();
            b.answered(name, ms(at), ms(latency(name)), Some(LoadReport::default()));
        }
        let name = b.choose(ms(now), random(now), &[]).expect("an endpoint is enabled");
        b.dispatched(&name, ms(now));
        pending.insert((now + latency(&name), chosen.len()));
        chosen.push(name.to_string());
    }
    let rest = pending.iter().map(|&(_, call)| chosen[call].as_str());
    rest.for_each(|name| b.answered(name, ms(to), ms(latency(name)), None));
    chosen
}

/// Calls to `name` divided by an even share of the calls among `count` endpoints.
fn relative_share(chosen: &[String], name: &str, count: usize) -> f64 {
    let calls = chosen.iter().filter(|other| *other == name).count();
    (calls * count) as f64 / chosen.len() as f64
}

/// The enabled endpoints, with the time at which each was added or last failed.
type Known = BTreeMap<String, Duration>;

/// Chooses an endpoint other than `exclude` and checks the choice and the number of ejected endpoints.
/// Returns the chosen name, which is empty if there is none.
fn check_choice(
    b: &mut Balancer,
    known: &Known,
    now: Duration,
    seed: u64,
    exclude: &str,
) -> String {
    let ejected = known.keys().filter(|name| b.is_ejected(name, now)).count();
    assert!(ejected * 3 <= known.len(), "{ejected} of {} endpoints are ejected", known.len());
    let choice = b.choose(now, seed, &[exclude]);
    let choice = choice.map_or(String::new(), |name| name.to_string());
    let ready = |name: &str| known[name] + ms(1_000) <= now && !b.is_ejected(name, now);
    if choice.is_empty() || b.is_ejected(&choice, now) {
        let mut others = known.keys().filter(|name| *name != exclude);
        assert_eq!(
            others.find(|name| ready(name)),
            None,
            "chosen instead of a ready endpoint: {choice}"
        );
    }
    assert!(choice != exclude && (choice.is_empty() || known.contains_key(&choice)));
    choice
}

/// Guards against calls to excluded, disabled or ejected endpoints, and against ejection of too many.
#[test]
fn chooses_only_enabled_endpoints_for_any_events() {
    fn property(events: Vec<(u8, u8, u16)>) -> bool {
        let all = endpoints(8, 1);
        let mut b = balancer(&all);
        let mut known: Known = all.iter().map(|e| (e.name.clone(), ms(0))).collect();
        let mut now = ms(5_000);
        for (op, a, seed) in events {
            now += ms(u64::from(a % 16));
            let exclude = format!("e{}", a % 10);
            let name = check_choice(&mut b, &known, now, random(seed.into()), &exclude);
            if op == 0 {
                let present = (0..8).filter(|n| seed >> n & 1 == 1);
                let mut present: Vec<Endpoint> = present.map(|n| all[n].clone()).collect();
                present.iter_mut().skip(4).for_each(|e| e.enabled = false);
                b.update(&present, now);
                let enabled_endpoints = present.into_iter().filter(|e| e.enabled);
                known = enabled_endpoints.map(|e| (e.name, now)).collect();
                continue;
            }
            b.dispatched(&name, now);
            let failure = match op % 32 {
                0 => Failure::Refused,
                1 => Failure::Lost,
                2 => Failure::Overloaded,
                _ => {
                    let slow = name.as_str() < "e4";
                    b.answered(&name, now, ms(if slow { 90 } else { 3 }), None);
                    continue;
                }
            };
            b.failed(&name, now, failure);
            known.entry(name).and_modify(|at| *at = now);
        }
        true
    }
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(600, 4));
    let mut check = seeded.tests(200);
    check.quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against a slow endpoint that keeps its share of calls because its load reports say that it is
/// idle, as when a noisy neighbour slows it down.
#[test]
fn slowed_endpoint_loses_its_share_and_regains_it() {
    let mut b = balancer(&endpoints(6, 0));
    let slowed = |name: &str| if name == "e3" { 100 } else { 10 };
    send_calls(&mut b, 6_000, 8_000, &|_| 10);
    let chosen = send_calls(&mut b, 8_000, 10_000, &slowed);
    let early = chosen[..300].iter().filter(|name| *name == "e3").count();
    assert!(early <= 16, "{early} of the first 300 calls went to the slowed endpoint");
    let late = relative_share(&chosen[300..], "e3", 6);
    assert!(late < 0.1, "share {late} after 300 calls");
    send_calls(&mut b, 10_000, 26_000, &|_| 10);
    let back = relative_share(&send_calls(&mut b, 26_000, 34_000, &|_| 10), "e3", 6);
    assert!((0.8..1.2).contains(&back), "share {back} after recovery");
}

/// Guards against a slow endpoint that keeps its share when no more endpoints may be ejected.
#[test]
fn slow_endpoint_is_avoided_without_ejection() {
    let mut b = balancer(&endpoints(2, 0));
    let now = ms(6_000);
    for (name, latency) in [("e0", 30), ("e1", 3)].repeat(20) {
        b.answered(name, now, ms(latency), None);
    }
    assert!(
        !b.is_ejected("e0", now),
        "one of two endpoints is more than the third that may be ejected"
    );
    let avoids = |b: &mut Balancer, n| b.choose(now, random(n), &[]).as_deref() == Some("e1");
    assert!((0..64).all(|n| avoids(&mut b, n)));
    // With enough calls outstanding, the fast one is the worse choice.
    (0..30).for_each(|_| b.dispatched("e1", now));
    assert!((0..64).all(|n| !avoids(&mut b, n)));
    (0..30).for_each(|_| b.cancelled("e1"));
    assert!((0..64).all(|n| avoids(&mut b, n)));
}

/// Guards against a reference latency that one fast endpoint lowers or a slow half raises.
#[test]
fn slowness_is_relative_to_the_lower_median() {
    let now = ms(6_000);
    for (latencies, expected) in [([1, 8, 8, 8], [0.5, 1.0]), ([4, 40, 4, 40], [1.0, 10.0])] {
        let mut b = balancer(&endpoints(4, 0));
        for (n, latency) in latencies.into_iter().enumerate().cycle().take(8) {
            b.answered(&format!("e{n}"), now, ms(latency), None);
        }
        let slowness = ["e0", "e1"].map(|name| (b.slowness(name, now) * 1e6).round() / 1e6);
        assert_eq!(slowness, expected);
    }
}

/// Guards against ejection times that do not grow for an endpoint that stays slow.
#[test]
fn ejection_time_doubles_up_to_its_limit() {
    let mut b = balancer(&endpoints(3, 0));
    let mut now = ms(6_000);
    let mut times = Vec::new();
    for _ in 0..7 {
        for _ in 0..20 {
            if b.is_ejected("e0", now) {
                break;
            }
            for (name, latency) in [("e0", 30), ("e1", 3), ("e2", 3)] {
                b.answered(name, now, ms(latency), None);
            }
            now += ms(31);
        }
        let start = now - ms(31);
        while b.is_ejected("e0", now) {
            now += ms(1);
        }
        times.push((now - start).as_secs());
    }
    assert_eq!(times, [1, 2, 4, 8, 16, 30, 30]);
    now += ms(31);
    (0..12).for_each(|_| b.answered("e0", now, ms(30), None));
    b.update(&endpoints(3, 0)[1..], now);
    b.update(&endpoints(3, 0), now + ms(20_000));
    assert!(b.is_ejected("e0", now + ms(20_000)), "a temporary removal must not end an ejection");
}

/// Guards against a backend server that gets its full share at once although it is new or has just
/// returned.
#[test]
fn slow_start_raises_the_share_gradually() {
    let all = endpoints(4, 0);
    let mut b = balancer(&all[..3]);
    let mut begin = 10_000;
    for _ in 0..2 {
        b.update(&all, ms(begin));
        let mut shares = Vec::new();
        for from in [begin, begin + 2_000, begin + 6_000] {
            let chosen = send_calls(&mut b, from, from + 1_000, &|_| 1);
            shares.push(relative_share(&chosen, "e3", 4));
        }
        assert!(shares[0] < 0.3, "shares {shares:?}, the first one in the first second");
        assert!(
            (0.35..0.75).contains(&shares[1]),
            "shares {shares:?}, the second one in the third second"
        );
        assert!(
            (0.85..1.15).contains(&shares[2]),
            "shares {shares:?}, the third one in the seventh second"
        );
        begin += 10_000;
        b.update(&all[..3], ms(begin));
        begin += 1_000;
    }
    b.update(&all, ms(begin));
    b.set_slow_start(ms(0));
    let even = relative_share(&send_calls(&mut b, begin, begin + 1_000, &|_| 1), "e3", 4);
    assert!((0.85..1.15).contains(&even), "share {even} without slow start");
}

/// Guards against overload of the local data centre while others are idle, and against calls that do not
/// return to it.
#[test]
fn overflows_to_another_data_centre_and_returns() {
    let all = endpoints(4, 2);
    let mut b = balancer(&all);
    let chosen_are_local = |b: &mut Balancer, now| {
        let mut choices = (0..64).filter_map(|n| b.choose(now, random(n), &[]));
        let choices: BTreeSet<_> = choices.by_ref().collect();
        choices.iter().map(|name| b.is_local(name)).collect::<Vec<_>>()
    };
    let now = ms(6_000);
    // Local load at most 0.8; above 0.8; the same with the other data centre above half of the local load;
    // the same with the other data centre at half of it.
    let steps = [(8, 0, true), (12, 0, false), (12, 7, true), (12, 6, false)];
    for (own, other, stays) in steps {
        for (name, running) in [("e0", own), ("e1", own), ("e2", other), ("e3", other)] {
            let report = LoadReport { running, queued: 0 };
            b.answered(name, now, ms(2), Some(report));
        }
        assert_eq!(
            chosen_are_local(&mut b, now),
            [stays; 2],
            "{own} requests running locally, {other} in the other data centre"
        );
    }
    assert_eq!(
        chosen_are_local(&mut b, now + ms(1_000)),
        [true; 2],
        "outdated reports must be ignored"
    );
    b.update(&all[2..], now);
    assert_eq!(chosen_are_local(&mut b, now), [false; 2], "there is no local endpoint");
    b.update(&all, now);
    assert_eq!(
        chosen_are_local(&mut b, now + ms(1_000)),
        [true; 2],
        "the local endpoints are back"
    );
}

/// Guards against calls to an endpoint that refuses connections, until membership removes it.
#[test]
fn failing_endpoint_is_avoided_at_once() {
    let mut b = balancer(&endpoints(2, 0));
    let usable = |b: &mut Balancer, now| b.choose(now, 0, &["e1"]).is_some();
    let mut now = ms(6_000);
    for time in [50, 100, 200, 400, 800, 1_000, 1_000] {
        b.failed("e0", now, Failure::Refused);
        assert!(!usable(&mut b, now + ms(time - 1)), "must be unusable for {time} ms");
        now += ms(time);
        assert!(usable(&mut b, now), "must be usable after {time} ms");
    }
    (0..3).for_each(|_| b.failed("e0", now, Failure::Lost));
    assert!(!usable(&mut b, now), "must be unusable after three lost calls");
    b.answered("e0", now, ms(3), None);
    now += ms(1_000);
    b.failed("e0", now, Failure::Refused);
    assert!(usable(&mut b, now + ms(50)), "an answer must reset the pause");
    now += ms(5_000);
    b.failed("e0", now, Failure::Overloaded);
    let avoids = (0..64).all(|n| b.choose(now, random(n), &[]).as_deref() == Some("e1"));
    assert!(avoids, "an idle endpoint must be preferred to an overloaded one");
}

/// Guards against ejection of an endpoint for its network distance, and against a distant endpoint that is
/// not ejected when it is slow.
#[test]
fn network_distance_does_not_count_as_slowness() {
    let all = endpoints(6, 2);
    let mut b = balancer(&all);
    let mut now = ms(6_000);
    for slow in [2, 20] {
        for _ in 0..40 {
            for (n, e) in all.iter().enumerate() {
                let distance = if n < 4 { 0 } else { 30 };
                let work = if n == 5 { slow } else { 2 };
                b.answered(&e.name, now, ms(distance + work), None);
            }
            now += ms(5);
        }
        let ejected = ["e4", "e5"].map(|name| b.is_ejected(name, now));
        assert_eq!(ejected, [false, slow == 20]);
    }
}

/// Guards against a baseline for measurements that still prefers the local data centre or avoids slow
/// endpoints, which would make the default policy look worse than it is.
#[test]
fn round_robin_takes_usable_endpoints_in_turn() {
    let mut b = Balancer::builder().data_centre("a").round_robin(true).build();
    b.update(&endpoints(4, 2), ms(0));
    let chosen = send_calls(&mut b, 10_000, 10_800, &|name| {
        if name == "e0" { 200 } else { 2 }
    });
    for name in ["e0", "e1", "e2", "e3"] {
        assert_eq!(relative_share(&chosen, name, 4), 1.0, "{name}");
    }
    b.failed("e1", ms(10_900), Failure::Refused);
    let next: BTreeSet<String> = (0..6)
        .filter_map(|n| b.choose(ms(10_900), random(n), &["e2"]))
        .map(|name| name.to_string())
        .collect();
    assert_eq!(next, BTreeSet::from(["e0".to_owned(), "e3".to_owned()]));
}

/// Guards against a data centre that is cut off and whose daemons are all tried, each at the price of a
/// connection timeout, against one that is avoided after its return, and against one that is avoided
/// because a single daemon is silent.
///
/// The load pattern: a few calls a second to a service whose backend servers are all elsewhere, ten in
/// each of three data centres, one of which answers nothing for three seconds.
#[test]
fn silent_data_centre_is_avoided_until_it_answers() {
    const CUT_END: u64 = 3_000;
    let of = |n: usize| Endpoint {
        name: format!("e{n:02}"),
        data_centre: ["b", "c", "d"][n % 3].to_owned(),
        slots: 10,
        enabled: true,
    };
    let all: Vec<Endpoint> = (0..30).map(of).collect();
    let data_centre =
        |name: &str| &*all.iter().find(|e| e.name == name).expect("known").data_centre;
    let mut b = balancer(&all);
    let mut reach = DataCentreReach::default();
    let (mut lost, mut served_after) = (0, 0);
    for now in (0..6_000).step_by(20) {
        let name = b.choose(ms(now), random(now), &[]).expect("an endpoint is enabled");
        b.dispatched(&name, ms(now));
        let called = data_centre(&name);
        if called == "b" && now < CUT_END {
            lost += 1;
            b.failed(&name, ms(now), Failure::Refused);
            if let Some(until) = reach.silent(called, &name, ms(now)) {
                b.avoid_data_centre(called, until);
            }
            continue;
        }
        b.answered(&name, ms(now), ms(1), Some(LoadReport::default()));
        if reach.answered(called) {
            b.avoid_data_centre(called, ms(0));
        }
        served_after += usize::from(called == "b" && now >= CUT_END + 2_000);
    }
    assert!(lost <= 8, "{lost} of 150 calls were sent to the data centre that is cut off");
    assert!(served_after >= 10, "{served_after} of 50 calls were sent there after its return");
    assert_eq!(reach.silent("c", "e01", ms(7_000)), None);
    assert_eq!(reach.silent("c", "e01", ms(7_100)), None, "one daemon says nothing of the others");
    assert!(reach.silent("c", "e04", ms(7_200)).is_some());
}
