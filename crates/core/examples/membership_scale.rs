//! Simulates many membership state machines in one process and prints how fast they converge, how much
//! they send, and which live members they declare dead by mistake.
//!
//! `membership_scale WHAT MEMBERS DATA_CENTRES SEED LOSS_PERCENT`, where `WHAT` is one of
//! - `join`: all members start at once;
//! - `kill`: one member dies;
//! - `half`: half of the members are cut off for 180 s;
//! - `30`: 30 members are cut off for 180 s.
//!
//! The numbers of messages, updates and bytes are the highest that one member sent in a window of 10 s.

use std::collections::BTreeMap;

use baobabreel_core::membership::{MemberState, SwimSettings};
use net::SimulatedNetwork;
use support::member;

#[path = "../tests/support/net.rs"]
mod net;

#[expect(dead_code, reason = "property checks are used by tests")]
#[path = "../tests/support/mod.rs"]
mod support;

/// Runs until all tables are equal and complete and returns the seconds taken, or `None` after `limit`.
fn run_until_converged(net: &mut SimulatedNetwork, limit: u64) -> Option<u64> {
    (1..=limit).find(|_| {
        net.run_secs(1);
        net.has_converged()
    })
}

/// Number of members whose table differs from the most common one.
fn count_differing_tables(net: &SimulatedNetwork) -> usize {
    let mut counts = BTreeMap::new();
    for node in &net.nodes {
        *counts.entry(node.members().digest()).or_insert(0) += 1;
    }
    net.nodes.len() - counts.values().max().unwrap_or(&0)
}

/// Stops one member and prints when the others declared it dead.
fn measure_death(net: &mut SimulatedNetwork, victim: usize) {
    net.frozen[victim] = true;
    let killed_at_ms = net.now_ms;
    net.run_secs(25);
    let id = member(victim, 0).id;
    let dead = |m: &baobabreel_core::membership::Member| m.state == MemberState::Dead && m.id == id;
    let times =
        net.state_changes.iter().filter(|(_, _, m)| dead(m)).map(|(at, _, _)| at - killed_at_ms);
    let mut times: Vec<u64> = times.collect();
    times.sort_unstable();
    let (first, median, last) = (times.first(), times.get(times.len() / 2), times.last());
    println!(
        "{} members declared it dead; first {first:?} median {median:?} last {last:?} ms",
        times.len()
    );
}

/// Cuts the first `cut` members off for 180 s, then heals the partition for 120 s, and prints the deaths
/// and the convergence.
fn measure_partition(net: &mut SimulatedNetwork, cut: usize) {
    let false_deaths = |net: &SimulatedNetwork| {
        net.concluded_deaths().filter(|(i, of)| (*i < cut) == (*of < cut)).count()
    };
    net.is_cut = Box::new(move |from, to| (from < cut) != (to < cut));
    let cut_at_ms = net.now_ms;
    net.run_secs(180);
    let dead = net.state_changes.iter().filter(|(_, _, m)| m.state == MemberState::Dead);
    let mut times: Vec<u64> = dead.map(|(at, _, _)| at - cut_at_ms).collect();
    times.sort_unstable();
    let median = times.get(times.len() / 2);
    println!(
        "partition: false deaths {}, median of all deaths {median:?} ms, most sent {:?}",
        false_deaths(net),
        net.max_sent
    );
    net.state_changes.clear();
    net.max_sent = [0; 3];
    net.is_cut = Box::new(|_, _| false);
    let mut converged_after = None;
    let mut differences = Vec::new();
    for second in 1..=120 {
        net.run_secs(1);
        converged_after = converged_after.or_else(|| net.has_converged().then_some(second));
        if second % 10 == 0 {
            differences.push(count_differing_tables(net));
        }
    }
    println!(
        "healed: converged after {converged_after:?} s, differing tables every 10 s {differences:?}"
    );
    let (deaths, sent) = (net.concluded_deaths().count(), net.max_sent);
    println!(
        "healed: deaths {deaths}, false deaths within a side {}, most sent {sent:?}",
        false_deaths(net)
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [what, n, data_centres, seed, loss] = args.as_slice() else {
        eprintln!(
            "usage: membership_scale join|kill|half|30 MEMBERS DATA_CENTRES SEED LOSS_PERCENT"
        );
        std::process::exit(2);
    };
    let number = |text: &String| text.parse::<usize>().expect("the argument is a number");
    let (n, data_centres, seed) = (number(n), number(data_centres), number(seed) as u64);
    let mut net = SimulatedNetwork::new(n, data_centres, seed, &SwimSettings::new());
    net.enforces_limits = false;
    let joined = run_until_converged(&mut net, 120);
    net.run_secs(10 - net.now_ms / 1_000 % 10);
    println!("{}: converged after {joined:?} s, most sent {:?}", args.join(" "), net.max_sent);
    net.loss_percent = number(loss) as u64;
    net.run_secs(20);
    net.state_changes.clear();
    net.max_sent = [0; 3];
    match what.as_str() {
        "kill" => measure_death(&mut net, n / 3),
        "half" => measure_partition(&mut net, n / 2),
        "30" => measure_partition(&mut net, 30),
        _ => {}
    }
}
