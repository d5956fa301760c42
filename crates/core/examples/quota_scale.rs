//! Measures the messages about quotas in a calm mesh: bytes and messages a second and daemon, and the time that the
//! decisions take.
//!
//! `cargo run --release -p baobabreel-core --example quota_scale -- TENANTS FACTOR SEED`
//!
//! 76 daemons in 3 data centres get 2,000 requests a second in all, evenly. The demand of the tenants falls off as
//! 1 / rank; their quotas are 1.6 times as much, and at least 5 a second. The largest tenant sends FACTOR times its
//! usual demand; what exceeds the usual is sent at the daemons of one data centre.

use std::time::{Duration, Instant};

use baobabreel_core::membership::{MESSAGE_OVERHEAD_BYTES, Member, MemberState, Members};
use baobabreel_core::quota::*;
use baobabreel_core::tenants::Quota;

const DAEMONS: usize = 76;
const CENTRES: usize = 3;
const REQUESTS_PER_SEC: f64 = 2_000.0;
const QUOTA_OF_DEMAND: f64 = 1.6;
const SMALLEST_QUOTA: f64 = 5.0;
const STEP: Duration = Duration::from_millis(1);
/// Time until all daemons agree, which is not measured, and the measured time.
const WARM_UP: Duration = Duration::from_secs(5);
const MEASURED: Duration = Duration::from_secs(20);
const BOUNDS: Bounds = Bounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };

/// Messages of one daemon, sent and received.
#[derive(Debug, Default, Clone, Copy)]
struct Traffic {
    messages: u64,
    body_bytes: u64,
}

struct Mesh {
    accounts: Vec<Accounts>,
    allowances: Vec<Allowances>,
    names: Vec<String>,
    quotas: Vec<Quota>,
    traffic: Vec<Traffic>,
    asked: u64,
    served: u64,
    refused: u64,
    /// Requests that had to wait for an answer.
    waited: u64,
}

/// Bytes of an unsigned number in MessagePack.
fn number(value: u32) -> u64 {
    match value {
        0..=127 => 1,
        128..=255 => 2,
        256..=65_535 => 3,
        _ => 5,
    }
}

fn text(value: &str) -> u64 {
    value.len() as u64 + if value.len() < 32 { 1 } else { 2 }
}

/// Bytes of `SightingWire`: an array of a digest and a flag.
const SEEN_BYTES: u64 = 1 + 5 + 1;

fn daemon_id(index: usize) -> String {
    format!("bidding-{index}")
}

fn member(index: usize) -> Member {
    Member {
        id: daemon_id(index),
        incarnation: 1,
        sequence: 0,
        data_centre: format!("hobart-{}", index % CENTRES),
        service: None,
        peer_addr: ([127, 0, 0, 1], 10_000).into(),
        state: MemberState::Ready,
        slots: 1,
        release: None,
    }
}

impl Mesh {
    fn new(tenants: usize) -> Self {
        let weights: Vec<f64> = (1..=tenants).map(|rank| 1.0 / rank as f64).collect();
        let sum: f64 = weights.iter().sum();
        let quotas = weights.iter().map(|weight| {
            let demand = weight / sum * REQUESTS_PER_SEC;
            let per_sec = (demand * QUOTA_OF_DEMAND).max(SMALLEST_QUOTA);
            Quota { per_sec, burst: per_sec }
        });
        let mut members = Members::default();
        (0..DAEMONS).for_each(|index| {
            members.merge(member(index));
        });
        let accounts = |index| {
            let own = member(index);
            let mut accounts = Accounts::new(own.id, own.data_centre, BOUNDS, Duration::ZERO);
            accounts.set_members(&members, Duration::ZERO);
            accounts
        };
        Self {
            accounts: (0..DAEMONS).map(accounts).collect(),
            allowances: (0..DAEMONS).map(|_| Allowances::new(BOUNDS)).collect(),
            names: (0..tenants).map(|index| format!("tenant-{index}")).collect(),
            quotas: quotas.collect(),
            traffic: vec![Traffic::default(); DAEMONS],
            asked: 0,
            served: 0,
            refused: 0,
            waited: 0,
        }
    }

    fn quota(&self, tenant: &str) -> Quota {
        let index: usize = tenant.trim_start_matches("tenant-").parse().expect("an index");
        self.quotas[index]
    }

    fn count(&mut self, daemon: usize, body_bytes: u64) {
        self.traffic[daemon].messages += 1;
        self.traffic[daemon].body_bytes += body_bytes;
    }

    fn exchange(&mut self, from: usize, to: usize, asked: Vec<(String, Ask)>, now: Duration) {
        let lease = BOUNDS.lease();
        let mut request = 1 + text(&daemon_id(from)) + SEEN_BYTES + 1;
        let mut grant = 1 + SEEN_BYTES + 1;
        let seen = self.accounts[from].sighting(&daemon_id(to));
        self.accounts[to].on_message(&daemon_id(from), seen, now);
        for (tenant, ask) in asked {
            let quota = self.quota(&tenant);
            let decision = self.accounts[to].grant(&tenant, quota, &daemon_id(from), ask, now);
            let Ask { needed, extra, held } = ask;
            request += 1 + text(&tenant) + number(needed) + number(extra) + number(held);
            grant += match decision {
                Decision::Granted { tokens, stocked, wait } => {
                    2 + number(tokens) + number(stocked) + number(wait.as_millis() as u32)
                }
                Decision::NotHeld => 5,
            };
            self.allowances[from].tenant(&tenant).on_decision(ask, decision, lease, now, now);
            self.asked += 1;
        }
        let seen = self.accounts[to].sighting(&daemon_id(from));
        self.accounts[from].on_message(&daemon_id(to), seen, now);
        for daemon in [from, to] {
            self.count(daemon, request);
            self.count(daemon, grant);
        }
    }

    /// Asks the holder of a tenant's account for what all tenants need there.
    fn ask(&mut self, from: usize, tenant: &str, now: Duration) {
        let Some(holder) = self.accounts[from].holder(tenant).map(str::to_owned) else { return };
        let accounts = &self.accounts[from];
        let is_held = |tenant: &str| accounts.holder(tenant) == Some(&holder);
        let asks = self.allowances[from].asks(is_held, now);
        let to = holder.trim_start_matches("bidding-").parse().expect("an index");
        if to != from {
            self.exchange(from, to, asks, now);
            return;
        }
        for (tenant, ask) in asks {
            let quota = self.quota(&tenant);
            let decision = self.accounts[to].grant(&tenant, quota, &daemon_id(to), ask, now);
            let allowance = self.allowances[to].tenant(&tenant);
            allowance.on_decision(ask, decision, BOUNDS.lease(), now, now);
        }
    }

    fn request(&mut self, daemon: usize, index: usize, now: Duration) {
        let tenant = self.names[index].clone();
        self.accounts[daemon].advance(now);
        let allowance = self.allowances[daemon].tenant(&tenant);
        allowance.on_arrival(now);
        let mut is_served = allowance.take(now).is_some();
        if !is_served && allowance.refused_for(now).is_none() {
            allowance.begin_wait();
            self.waited += u64::from(!self.accounts[daemon].is_holder(&tenant));
            self.ask(daemon, &tenant, now);
            let allowance = self.allowances[daemon].tenant(&tenant);
            allowance.end_wait();
            is_served = allowance.take(now).is_some();
        } else if is_served && allowance.wanted(now).is_some() {
            self.ask(daemon, &tenant, now);
        }
        if is_served {
            self.served += 1;
        } else {
            self.refused += 1;
        }
    }
}

fn main() {
    let mut args = std::env::args().skip(1);
    let mut arg =
        |default: f64| args.next().map_or(default, |text| text.parse().expect("a number"));
    let (tenants, factor, seed) = (arg(80.0) as usize, arg(1.0), arg(1.0) as u64);
    let mut random = seed;
    let mut next_random = |limit: usize| {
        // Linear congruential generator with the constants of Knuth's MMIX; its low bits are weak.
        random =
            random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (random >> 33) as usize % limit
    };
    let mut mesh = Mesh::new(tenants);
    let mut cumulated = Vec::new();
    let mut sum = 0.0;
    for rank in 1..=tenants {
        sum += 1.0 / rank as f64;
        cumulated.push(sum);
    }
    let largest = mesh.quotas[0].per_sec / QUOTA_OF_DEMAND;
    let mut now = Duration::ZERO;
    let (mut due, mut due_extra) = (0.0, 0.0);
    let mut start = Instant::now();
    let mut is_measured = false;
    while now < WARM_UP + MEASURED {
        now += STEP;
        if now > WARM_UP && !is_measured {
            is_measured = true;
            mesh.traffic = vec![Traffic::default(); DAEMONS];
            (mesh.served, mesh.refused, mesh.waited, mesh.asked) = (0, 0, 0, 0);
            start = Instant::now();
        }
        for daemon in 0..DAEMONS {
            if (now.as_millis() as usize + daemon).is_multiple_of(100) {
                mesh.accounts[daemon].advance(now);
                let random = next_random(1 << 30) as u64;
                let contacts = mesh.accounts[daemon].contacts();
                let due: Vec<usize> = contacts
                    .due(now, random)
                    .iter()
                    .map(|id| id.trim_start_matches("bidding-").parse().expect("an index"))
                    .collect();
                for to in due {
                    mesh.exchange(daemon, to, Vec::new(), now);
                }
            }
        }
        due += REQUESTS_PER_SEC * STEP.as_secs_f64();
        while due >= 1.0 {
            due -= 1.0;
            let point = next_random(1 << 30) as f64 / f64::from(1 << 30) * sum;
            let tenant = cumulated.partition_point(|end| *end < point).min(tenants - 1);
            mesh.request(next_random(DAEMONS), tenant, now);
        }
        due_extra += largest * (factor - 1.0).max(0.0) * STEP.as_secs_f64();
        while due_extra >= 1.0 {
            due_extra -= 1.0;
            mesh.request(next_random(DAEMONS / CENTRES) * CENTRES, 0, now);
        }
    }
    let elapsed = start.elapsed();
    let secs = MEASURED.as_secs_f64();
    let mean = |of: fn(&Traffic) -> u64| {
        mesh.traffic.iter().map(of).sum::<u64>() as f64 / DAEMONS as f64 / secs
    };
    let most = |of: fn(&Traffic) -> u64| {
        mesh.traffic.iter().map(of).max().unwrap_or_default() as f64 / secs
    };
    let bodies = |traffic: &Traffic| traffic.body_bytes;
    let all = |t: &Traffic| t.body_bytes + t.messages * u64::from(MESSAGE_OVERHEAD_BYTES);
    let messages = |traffic: &Traffic| traffic.messages;
    println!(
        "{tenants} tenants, factor {factor}, seed {seed}; sent and received, a second and daemon:"
    );
    println!("messages: mean {:.0}, most {:.0}", mean(messages), most(messages));
    println!("bytes of bodies: mean {:.0}, most {:.0}", mean(bodies), most(bodies));
    println!("bytes with framing: mean {:.0}, most {:.0}", mean(all), most(all));
    println!(
        "requests: {} served, {} refused, {} waited for an answer",
        mesh.served, mesh.refused, mesh.waited
    );
    let share = elapsed.as_secs_f64() / secs / DAEMONS as f64;
    println!("decisions: {:.3} % of a core for each daemon", share * 100.0);
}
