//! Runs many membership state machines in one process and prints what goes wrong at scale.
//!
//! `membership_scale WHAT MEMBERS DATA_CENTRES SEED LOSS_PERCENT`, where `WHAT` is one of
//! - `join`: all start at once;
//! - `kill`: one member dies;
//! - `half`: half of the members are cut off for 180 s;
//! - `30`: 30 members are cut off for 180 s.
//!
//! Bytes are the most that one member sent in a window of 10 s.

use std::collections::BTreeMap;

use baobabreel_core::membership::{MemberState, SwimSettings};
use net::Net;
use support::member;

#[path = "../tests/support/net.rs"]
mod net;

#[expect(dead_code, reason = "property checks are used by tests")]
#[path = "../tests/support/mod.rs"]
mod support;

/// Seconds until all tables are equal and complete, at most `limit`.
fn run_until_agreed(net: &mut Net, limit: u64) -> Option<u64> {
    (1..=limit).find(|_| {
        net.run(1);
        net.agrees()
    })
}

/// Members whose table differs from the most frequent one.
fn differing(net: &Net) -> usize {
    let mut counts = BTreeMap::new();
    for node in &net.nodes {
        *counts.entry(node.members().digest()).or_insert(0) += 1;
    }
    net.nodes.len() - counts.values().max().unwrap_or(&0)
}

fn kill(net: &mut Net, victim: usize) {
    net.frozen[victim] = true;
    let killed_at = net.now;
    net.run(25);
    let id = member(victim, 0).id;
    let dead = |m: &baobabreel_core::membership::Member| m.state == MemberState::Dead && m.id == id;
    let times = net.changes.iter().filter(|(_, _, m)| dead(m)).map(|(at, _, _)| at - killed_at);
    let mut times: Vec<u64> = times.collect();
    times.sort_unstable();
    let (first, median, last) = (times.first(), times.get(times.len() / 2), times.last());
    println!("{} concluded it; first {first:?} median {median:?} last {last:?} ms", times.len());
}

fn partition(net: &mut Net, cut: usize) {
    let wrong = |net: &Net| net.deaths().filter(|(i, of)| (*i < cut) == (*of < cut)).count();
    net.cut = Box::new(move |from, to| (from < cut) != (to < cut));
    let cut_at = net.now;
    net.run(180);
    let dead = net.changes.iter().filter(|(_, _, m)| m.state == MemberState::Dead);
    let mut times: Vec<u64> = dead.map(|(at, _, _)| at - cut_at).collect();
    times.sort_unstable();
    let median = times.get(times.len() / 2);
    println!("cut: wrong deaths {}, median of all {median:?} ms, {:?}", wrong(net), net.most_sent);
    net.changes.clear();
    net.most_sent = [0; 3];
    net.cut = Box::new(|_, _| false);
    let mut agreed = None;
    let mut differences = Vec::new();
    for second in 1..=120 {
        net.run(1);
        agreed = agreed.or_else(|| net.agrees().then_some(second));
        if second % 10 == 0 {
            differences.push(differing(net));
        }
    }
    println!("healed: agreed after {agreed:?} s, differing every 10 s {differences:?}");
    let (deaths, sent) = (net.deaths().count(), net.most_sent);
    println!("healed: deaths {deaths}, of them wrong within a side {}, {sent:?}", wrong(net));
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [what, n, data_centres, seed, loss] = args.as_slice() else {
        eprintln!(
            "usage: membership_scale join|kill|half|30 MEMBERS DATA_CENTRES SEED LOSS_PERCENT"
        );
        std::process::exit(2);
    };
    let number = |text: &String| text.parse::<usize>().expect("a number");
    let (n, data_centres, seed) = (number(n), number(data_centres), number(seed) as u64);
    let mut net = Net::new(n, data_centres, seed, &SwimSettings::new());
    net.enforces_limits = false;
    let joined = run_until_agreed(&mut net, 120);
    net.run(10 - net.now / 1_000 % 10);
    println!("{}: joined after {joined:?} s, most sent {:?}", args.join(" "), net.most_sent);
    net.loss = number(loss) as u64;
    net.run(20);
    net.changes.clear();
    net.most_sent = [0; 3];
    match what.as_str() {
        "kill" => kill(&mut net, n / 3),
        "half" => partition(&mut net, n / 2),
        "30" => partition(&mut net, 30),
        _ => {}
    }
}
