//! Measures memory, bytes of a document and time of a lookup for different numbers of tenants with three API keys each.
//!
//! `cargo run --release -p baobabreel-core --example tenant_scale`

use std::hint::black_box;
use std::io::Write;
use std::time::{Duration, Instant};

use baobabreel_core::config::Class;
use baobabreel_core::tenants::{Quota, Tenant, TenantTable, digest_key};
use flate2::Compression;
use flate2::write::DeflateEncoder;

/// Tenants today, and as many as the design must hold for.
const TENANTS: [usize; 2] = [80, 20_000];

/// API keys of a tenant.
const KEYS: usize = 3;

/// Tenants whose memory is measured at once, so that it is large compared to a page.
const MEASURED_TENANTS: usize = 100_000;

/// Lookups in one round.
const LOOKUPS_PER_ROUND: u32 = 1_000_000;

/// Number of rounds. The fastest is reported, as other processes may slow down the rest.
const ROUNDS: u32 = 5;

/// Key of 32 hexadecimal digits that hardly compresses.
fn key(number: usize) -> String {
    let digest = |part: &str| digest_key(&format!("{part}{number}"));
    format!("{:016x}{:016x}", digest("first"), digest("second"))
}

fn tenants(count: usize) -> Vec<Tenant> {
    let tenant = |n: usize| Tenant {
        name: format!("tenant-{n:05}"),
        keys: (0..KEYS).map(|k| key(n * KEYS + k)).collect(),
        class: Some(Class::Lookup),
        quota: Some(Quota { per_sec: 50.0, burst: 50.0 }),
    };
    (0..count).map(tenant).collect()
}

/// Resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|rest| rest.trim().trim_end_matches(" kB").parse().ok());
    kib.unwrap_or(0_usize) * 1024
}

/// Memory of one of the values that `make` returns, measured over so many that they have [`MEASURED_TENANTS`].
fn measure_bytes<T>(tenants: usize, make: impl Fn() -> T) -> usize {
    let copies = MEASURED_TENANTS / tenants;
    let before = resident_bytes();
    let values: Vec<T> = (0..copies).map(|_| make()).collect();
    let bytes = (resident_bytes() - before) / copies;
    // Kept, since the next measurement would otherwise reuse their memory.
    std::mem::forget(black_box(values));
    bytes
}

/// Time of one lookup in the fastest round.
fn lookup_time(table: &TenantTable, keys: &[String]) -> Duration {
    let timed_round = || {
        let start = Instant::now();
        for key in keys.iter().cycle().take(LOOKUPS_PER_ROUND as usize) {
            black_box(table.find(black_box(key)));
        }
        start.elapsed() / LOOKUPS_PER_ROUND
    };
    (0..ROUNDS).map(|_| timed_round()).min().unwrap_or_default()
}

fn main() {
    for count in TENANTS {
        let tenants = tenants(count);
        let make_table = || TenantTable::new(tenants.clone()).expect("no key is shared");
        // Before anything else, whose freed memory would be used again.
        let (list_bytes, table_bytes) =
            (measure_bytes(count, || tenants.clone()), measure_bytes(count, make_table));
        let encoded = rmp_serde::to_vec(&tenants).expect("the tenants can be encoded");
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        encoder.write_all(&encoded).expect("the encoder writes to memory");
        let compressed = encoder.finish().expect("the encoder writes to memory").len();
        let timed_build = || {
            let start = Instant::now();
            black_box(make_table());
            start.elapsed()
        };
        let build_time = (0..ROUNDS).map(|_| timed_build()).min().unwrap_or_default();
        let table = make_table();
        let keys: Vec<String> = tenants.iter().flat_map(|tenant| tenant.keys.clone()).collect();
        let unknown: Vec<String> = (0..keys.len()).map(|n| key(usize::MAX / 2 + n)).collect();
        println!(
            "{count} tenants: list {list_bytes} bytes, table {table_bytes} bytes, document {} bytes, \
             compressed {compressed}, table built in {build_time:?}, lookup of a known key {:?}, of an \
             unknown one {:?}, digest of a key {:?}",
            encoded.len(),
            lookup_time(&table, &keys),
            lookup_time(&table, &unknown),
            digest_time(&keys),
        );
    }
}

/// Time to compute the digest of a key, which each request with a key needs once.
fn digest_time(keys: &[String]) -> Duration {
    let start = Instant::now();
    for key in keys.iter().cycle().take(LOOKUPS_PER_ROUND as usize) {
        black_box(digest_key(black_box(key)));
    }
    start.elapsed() / LOOKUPS_PER_ROUND
}
