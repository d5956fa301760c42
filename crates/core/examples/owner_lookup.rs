//! Measures the lookup of a key's owner among 22 members of a service.
//!
//! `cargo run --release -p baobabreel-core --example owner_lookup`

use std::hint::black_box;
use std::time::{Duration, Instant};

use baobabreel_core::registry::{FIRST_GENERATION, Registry};

/// Members of a service at the target size: 960 in 43 services.
const MEMBERS: u64 = 22;

/// Lookups of one round.
const LOOKUPS: u32 = 1_000_000;

/// Rounds; the fastest counts, as others may use the machine.
const ROUNDS: u32 = 5;

fn registry() -> Registry {
    let mut registry = Registry::new();
    for member in 1..=MEMBERS {
        let join = format!(
            r#"{{"type":"join","id":"hobart-a-bidding-{member}","incarnation":1,
            "data_centre":"hobart-a","service":"bidding","peer_addr":"127.0.0.1:7"}}"#
        );
        let folded = registry.fold(FIRST_GENERATION, member, &join, Duration::ZERO);
        folded.expect("the entries have no gap");
    }
    registry
}

fn main() {
    let registry = registry();
    let keys: Vec<String> =
        (0..1024).map(|n| format!("01931f2e-{n:04x}-7000-8000-0123456789ab")).collect();
    let round = || {
        let start = Instant::now();
        for key in keys.iter().cycle().take(LOOKUPS as usize) {
            black_box(registry.owner("bidding", black_box(key)));
        }
        start.elapsed()
    };
    let fastest = (0..ROUNDS).map(|_| round()).min().unwrap_or_default();
    let nanos = fastest.as_secs_f64() * 1e9 / f64::from(LOOKUPS);
    println!("{nanos:.0} ns per lookup among {MEMBERS} members");
}
