//! Guards the choice of backend servers: who may be chosen, and how load moves.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use baobabreel_core::balance::{Balancer, Endpoint, Failure, LoadReport};
use quickcheck::{Gen, QuickCheck};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn endpoint(name: &str, data_centre: &str) -> Endpoint {
    Endpoint {
        name: name.to_owned(),
        data_centre: data_centre.to_owned(),
        slots: 10,
        enabled: true,
    }
}

fn endpoints(count: usize) -> Vec<Endpoint> {
    (0..count)
        .map(|n| endpoint(&format!("e{n:02}"), "a"))
        .collect()
}

fn balancer(endpoints: &[Endpoint]) -> Balancer {
    let mut balancer = Balancer::builder().data_centre("a").build();
    balancer.update(endpoints, ms(0));
    balancer
}

/// A fixed sequence of numbers that serve as random.
fn random(n: u64) -> u64 {
    n.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23)
}

type Latencies<'a> = dyn Fn(&str) -> Duration + 'a;

/// Sends a call every `gap` from `from` to `to`; every response reports an idle backend server.
/// Returns the names that were chosen, in order.
fn drive(
    b: &mut Balancer,
    from: Duration,
    to: Duration,
    gap: Duration,
    of: &Latencies<'_>,
) -> Vec<String> {
    let mut chosen: Vec<String> = Vec::new();
    let mut pending: BTreeSet<(Duration, usize)> = BTreeSet::new();
    let mut now = from;
    let answer = |b: &mut Balancer, at: Duration, name: &str| {
        b.answered(name, at, of(name), Some(LoadReport::default()));
    };
    while now < to {
        while let Some((at, call)) = pending.pop_first() {
            if at > now {
                pending.insert((at, call));
                break;
            }
            answer(b, at, &chosen[call]);
        }
        let name = b
            .choose(now, random(chosen.len() as u64), &[])
            .expect("one is able");
        b.dispatched(&name, now);
        pending.insert((now + of(&name), chosen.len()));
        chosen.push(name.to_string());
        now += gap;
    }
    for (at, call) in pending {
        answer(b, at.min(to), &chosen[call]);
    }
    chosen
}

/// Calls to `name` relative to an even share among `count` endpoints.
fn share(chosen: &[String], name: &str, count: usize) -> f64 {
    let calls = chosen.iter().filter(|other| *other == name).count();
    (calls * count) as f64 / chosen.len() as f64
}

/// What a test knows about the endpoints.
#[derive(Default)]
struct Known {
    able: BTreeSet<String>,
    failed_at: BTreeMap<String, Duration>,
    refused_at: BTreeMap<String, Duration>,
}

impl Known {
    fn check_choice(
        &self,
        b: &mut Balancer,
        now: Duration,
        seed: u64,
        exclude: &str,
    ) -> Option<String> {
        let choice = b.choose(now, seed, &[exclude]).map(|name| name.to_string());
        let recent = |map: &BTreeMap<String, Duration>, name: &str, time| {
            map.get(name).is_some_and(|&at| now < at + time)
        };
        let mut others = self.able.iter().filter(|name| *name != exclude);
        let able = |name: &&String| !recent(&self.failed_at, name, ms(1_000));
        let Some(name) = &choice else {
            assert_eq!(others.find(able), None, "none chosen though one is able");
            return None;
        };
        assert!(
            name != exclude && self.able.contains(name),
            "{name} is not able"
        );
        assert!(
            !recent(&self.refused_at, name, ms(50)),
            "{name} refused a connection"
        );
        if b.ejected(name, now) {
            let better = others.find(|name| able(name) && !b.ejected(name, now));
            assert_eq!(better, None, "{name} is ejected");
        }
        choice
    }

    fn check_ejected(&self, b: &Balancer, now: Duration) {
        let ejected = self.able.iter().filter(|name| b.ejected(name, now)).count();
        assert!(
            ejected * 3 <= self.able.len(),
            "{ejected} of {} ejected",
            self.able.len()
        );
    }
}

/// Guards against calls to endpoints that must not get any, and against ejection of too many.
#[test]
fn chooses_only_able_endpoints_over_any_events() {
    fn property(events: Vec<(u8, u8, u16)>) -> bool {
        let mut all = endpoints(8);
        all[7].data_centre = "b".to_owned();
        let mut b = balancer(&all);
        let mut known = Known::default();
        known.able.extend(all.iter().map(|e| e.name.clone()));
        let mut now = ms(5_000);
        for (op, a, seed) in events {
            now += ms(u64::from(a % 16));
            let exclude = format!("e{:02}", a % 10);
            let choice = known.check_choice(&mut b, now, random(seed.into()), &exclude);
            if op == 0 {
                let present: Vec<Endpoint> = (0..8)
                    .filter(|n| seed >> n & 1 == 1)
                    .map(|n| Endpoint {
                        enabled: seed >> (8 + n) & 7 != 0,
                        ..all[n].clone()
                    })
                    .collect();
                b.update(&present, now);
                known.able = present
                    .into_iter()
                    .filter(|e| e.enabled)
                    .map(|e| e.name)
                    .collect();
            } else if let Some(name) = choice {
                b.dispatched(&name, now);
                let slow = name.as_str() < "e04";
                match op % 32 {
                    0 => {
                        b.failed(&name, now, Failure::Refused);
                        known.refused_at.insert(name.clone(), now);
                        known.failed_at.insert(name, now);
                    }
                    1 => {
                        b.failed(&name, now, Failure::Lost);
                        known.failed_at.insert(name, now);
                    }
                    2 => b.failed(&name, now, Failure::Overloaded),
                    _ => b.answered(&name, now, ms(if slow { 90 } else { 3 }), None),
                }
            }
            known.check_ejected(&b, now);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_500, 4))
        .tests(200)
        .quickcheck(property as fn(Vec<(u8, u8, u16)>) -> bool);
}

/// Guards against a noisy neighbour whose load report stays at idle keeping its share of calls.
#[test]
fn slowed_endpoint_loses_its_share_and_regains_it() {
    let mut b = balancer(&endpoints(6));
    let healthy = |_: &str| ms(10);
    let slowed = |name: &str| ms(if name == "e03" { 100 } else { 10 });
    drive(&mut b, ms(6_000), ms(8_000), ms(2), &healthy);
    let chosen = drive(&mut b, ms(8_000), ms(10_000), ms(2), &slowed);
    let early = chosen[..300].iter().filter(|name| *name == "e03").count();
    assert!(early <= 16, "{early} calls before the slowness counted");
    let late = share(&chosen[300..], "e03", 6);
    assert!(late < 0.1, "share {late} after 300 answers of the service");
    drive(&mut b, ms(10_000), ms(26_000), ms(2), &healthy);
    let back = share(
        &drive(&mut b, ms(26_000), ms(30_000), ms(2), &healthy),
        "e03",
        6,
    );
    assert!((0.8..1.2).contains(&back), "share {back} after recovery");
}

/// Guards against ejections that do not grow for an endpoint that stays slow.
#[test]
fn ejection_doubles() {
    let mut b = balancer(&endpoints(3));
    let mut now = ms(6_000);
    let mut times = Vec::new();
    for _ in 0..7 {
        while !b.ejected("e00", now) {
            for (name, latency) in [("e00", 30), ("e01", 3), ("e02", 3)] {
                b.answered(name, now, ms(latency), None);
            }
            now += ms(31);
        }
        let start = now - ms(31);
        while b.ejected("e00", now) {
            now += ms(1);
        }
        times.push((now - start).as_secs());
    }
    assert_eq!(times, [1, 2, 4, 8, 16, 30, 30]);
}

/// Guards against a cold backend server getting its full share at once, new or returned.
#[test]
fn slow_start_ramps() {
    let all = endpoints(4);
    let mut b = balancer(&all[..3]);
    let latency = |_: &str| ms(1);
    let mut begin = 10_000;
    for _ in 0..2 {
        b.update(&all, ms(begin));
        let mut shares = Vec::new();
        for from in [begin, begin + 2_000, begin + 6_000] {
            let chosen = drive(&mut b, ms(from), ms(from + 1_000), ms(1), &latency);
            shares.push(share(&chosen, "e03", 4));
        }
        assert!(shares[0] < 0.3, "first second {shares:?}");
        assert!((0.35..0.75).contains(&shares[1]), "third second {shares:?}");
        assert!(
            (0.85..1.15).contains(&shares[2]),
            "after the ramp {shares:?}"
        );
        begin += 10_000;
        b.update(&all[..3], ms(begin));
        begin += 1_000;
    }
}

/// Guards against overload of the own data centre while others idle, and against staying away.
#[test]
fn spills_to_other_data_centres_and_returns() {
    let all = ["a", "a", "b", "b"].iter().enumerate();
    let all: Vec<Endpoint> = all
        .map(|(n, dc)| endpoint(&format!("e{n:02}"), dc))
        .collect();
    let mut b = balancer(&all);
    let report = |b: &mut Balancer, names: [&str; 2], running, queued, now| {
        for name in names {
            b.answered(name, now, ms(2), Some(LoadReport { running, queued }));
        }
    };
    let is_local = |b: &mut Balancer, now, n| {
        let name = b.choose(now, random(n), &[]).expect("one is able");
        b.local(&name)
    };
    let now = ms(6_000);
    let (own, other) = (["e00", "e01"], ["e02", "e03"]);
    report(&mut b, own, 8, 0, now);
    assert!(
        (0..64).all(|n| is_local(&mut b, now, n)),
        "load 0.8 is not over the threshold"
    );
    report(&mut b, own, 10, 2, now);
    assert!(
        (0..64).all(|n| !is_local(&mut b, now, n)),
        "load 1.2 spills"
    );
    report(&mut b, other, 7, 0, now);
    assert!(
        (0..64).all(|n| is_local(&mut b, now, n)),
        "0.7 is over half of 1.2"
    );
    report(&mut b, other, 6, 0, now);
    assert!(
        (0..64).all(|n| !is_local(&mut b, now, n)),
        "0.6 is half of 1.2"
    );
    assert!(
        (0..64).all(|n| is_local(&mut b, now + ms(1_000), n)),
        "old reports lose weight"
    );
    b.update(&all[2..], now);
    assert!(
        (0..64).all(|n| !is_local(&mut b, now, n)),
        "no own candidate"
    );
    b.update(&all, now + ms(10));
    assert!(
        (0..64).all(|n| is_local(&mut b, now + ms(2_000), n)),
        "own candidates are back"
    );
}

/// Guards against calls to an endpoint that refuses, in the gap before membership removes it.
#[test]
fn failures_lower_attraction_at_once() {
    let mut b = balancer(&endpoints(2));
    let chosen = |b: &mut Balancer, now: Duration| {
        (0..64)
            .filter(|&n| b.choose(now, random(n), &["e01"]).is_some())
            .count()
    };
    let mut now = ms(6_000);
    for time in [50, 100, 200, 400, 800, 1_000, 1_000] {
        b.failed("e00", now, Failure::Refused);
        assert_eq!(
            chosen(&mut b, now + ms(time - 1)),
            0,
            "unusable for {time} ms"
        );
        now += ms(time);
        assert_eq!(chosen(&mut b, now), 64, "usable after {time} ms");
    }
    b.answered("e00", now, ms(3), None);
    b.failed("e00", now, Failure::Refused);
    assert_eq!(
        chosen(&mut b, now + ms(50)),
        64,
        "an answer resets the time"
    );
    now += ms(5_000);
    b.failed("e00", now, Failure::Overloaded);
    let avoids = (0..64).all(|n| b.choose(now, random(n), &[]).as_deref() == Some("e01"));
    assert!(avoids, "an overloaded endpoint loses to an idle one");
}

/// Guards against ejection of a distant endpoint for its distance, or none when it is slow.
#[test]
fn distance_is_not_slowness() {
    let mut all = endpoints(6);
    all[4].data_centre = "b".to_owned();
    all[5].data_centre = "b".to_owned();
    let mut b = balancer(&all);
    let mut now = ms(6_000);
    let mut run = |b: &mut Balancer, slow: u64| {
        for _ in 0..40 {
            for e in &all {
                let distance = if e.data_centre == "b" { 30 } else { 0 };
                let work = if e.name == "e05" { slow } else { 2 };
                b.answered(&e.name, now, ms(distance + work), None);
            }
            now += ms(5);
        }
        [b.ejected("e04", now), b.ejected("e05", now)]
    };
    assert_eq!(run(&mut b, 2), [false, false]);
    assert_eq!(run(&mut b, 20), [false, true]);
}
