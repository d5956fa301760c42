//! Measures how long the lookup of a key's owner takes among the 22 members of a service.
//!
//! `cargo run --release -p baobabreel-core --example owner_lookup`

use std::hint::black_box;
use std::time::{Duration, Instant};

use baobabreel_core::registry::{FIRST_GENERATION, Registry};

/// Members of one service at the target size of 960 members in 43 services.
const MEMBERS_PER_SERVICE: u64 = 22;

/// Lookups in one round.
const LOOKUPS_PER_ROUND: u32 = 1_000_000;

/// Number of rounds. The fastest is reported, as other processes may slow down the rest.
const ROUNDS: u32 = 5;

/// A registry in which all members of the service have joined.
fn registry_of_one_service() -> Registry {
    let mut registry = Registry::new();
    for member in 1..=MEMBERS_PER_SERVICE {
        let join = format!(
            r#"{{"type":"join","id":"hobart-a-bidding-{member}","incarnation":1,
            "data_centre":"hobart-a","service":"bidding","peer_addr":"127.0.0.1:7"}}"#
        );
        let folded = registry.fold(FIRST_GENERATION, member, &join, Duration::ZERO);
        folded.expect("the offsets have no gap");
    }
    registry
}

fn main() {
    let registry = registry_of_one_service();
    let keys: Vec<String> =
        (0..1024).map(|n| format!("01931f2e-{n:04x}-7000-8000-0123456789ab")).collect();
    let timed_round = || {
        let start = Instant::now();
        for key in keys.iter().cycle().take(LOOKUPS_PER_ROUND as usize) {
            black_box(registry.owner("bidding", black_box(key)));
        }
        start.elapsed()
    };
    let fastest = (0..ROUNDS).map(|_| timed_round()).min().unwrap_or_default();
    let nanos = fastest.as_secs_f64() * 1e9 / f64::from(LOOKUPS_PER_ROUND);
    println!("{nanos:.0} ns per lookup among {MEMBERS_PER_SERVICE} members");
}
