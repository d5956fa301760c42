//! Tests the search for a free slot in a simulation of many entry daemons, each of which sends few requests.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, Decision, Ticket};
use baobabreel_core::balance::{Balancer, Endpoint, FreeSlotOdds, FreeSlotSearch, LoadReport};
use baobabreel_core::config::Class;

const ENTRY_DAEMONS: usize = 60;
const HOSTS: usize = 24;
const SLOTS: u32 = 6;
/// Run time of each request in milliseconds.
const RUN_TIME: u64 = 110;
const MS: fn(u64) -> Duration = Duration::from_millis;

/// Xorshift generator, so that each run uses the same random numbers.
struct Xorshift(u64);

impl Xorshift {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// Random index below `limit`.
    fn index_below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    /// Random number from 0 up to but not including 1.
    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Simulates entry daemons, each with its own balancer, that send requests to the backend servers (hosts)
/// of one service. Times are in milliseconds.
struct Mesh {
    entries: Vec<Balancer>,
    hosts: Vec<Admission>,
    /// Running requests: end time and id, to entry daemon, host and time of sending.
    running: BTreeMap<(u64, u64), (usize, usize, u64)>,
    /// Queued requests: id, to entry daemon, host and time of sending.
    waiting: BTreeMap<u64, (usize, usize, u64)>,
    random: Xorshift,
    /// Whether entry daemons search for a free slot.
    search_enabled: bool,
    calls: u64,
    /// Wait for a slot of each request that started.
    waits: Vec<u64>,
    refused: u64,
    /// Number of hosts tried for all calls together.
    attempts: u64,
}

fn name(host: usize) -> String {
    format!("host-{host:02}")
}

impl Mesh {
    fn new(search_enabled: bool) -> Self {
        let endpoint = |host| Endpoint {
            name: name(host),
            data_centre: "hobart-a".to_owned(),
            slots: SLOTS,
            enabled: true,
        };
        let endpoints: Vec<Endpoint> = (0..HOSTS).map(endpoint).collect();
        let entry = |_| {
            let mut balancer =
                Balancer::builder().data_centre("hobart-a").slow_start(Duration::ZERO).build();
            balancer.update(&endpoints, Duration::ZERO);
            balancer
        };
        Self {
            entries: (0..ENTRY_DAEMONS).map(entry).collect(),
            hosts: (0..HOSTS).map(|_| Admission::builder().slots(SLOTS).build()).collect(),
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            random: Xorshift(0x9e37_79b9),
            search_enabled,
            calls: 0,
            waits: Vec::new(),
            refused: 0,
            attempts: 0,
        }
    }

    fn report(&self, host: usize) -> LoadReport {
        self.hosts[host].load()
    }

    /// Sends requests for `millis`, at a random rate whose average is `share` of the capacity.
    fn run(&mut self, share: f64, millis: u64) {
        let capacity = (HOSTS as u64 * u64::from(SLOTS)) as f64 / RUN_TIME as f64;
        let mut due = 0.0;
        for now in 0..millis {
            self.end_until(now);
            due += capacity * share * 2.0 * self.random.fraction();
            while due >= 1.0 {
                due -= 1.0;
                self.request(now);
            }
        }
    }

    /// Finishes the requests that end by `now`.
    fn end_until(&mut self, now: u64) {
        while let Some(((at, id), (entry, host, sent))) = self.running.pop_first() {
            if at > now {
                self.running.insert((at, id), (entry, host, sent));
                break;
            }
            let actions = self.hosts[host].finish(id, MS(at));
            let report = self.report(host);
            self.entries[entry].answered(&name(host), MS(at), MS(at - sent), Some(report));
            self.apply(actions, at);
        }
    }

    fn apply(&mut self, actions: Vec<Action>, now: u64) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let (entry, host, sent) =
                        self.waiting.remove(&id).expect("only a queued request gets an action");
                    self.start(id, entry, host, sent, now);
                }
                Action::Refuse { id, .. } => {
                    let (entry, host, _) =
                        self.waiting.remove(&id).expect("only a queued request gets an action");
                    self.entries[entry].cancelled(&name(host));
                    self.refused += 1;
                }
            }
        }
    }

    fn start(&mut self, id: u64, entry: usize, host: usize, sent: u64, now: u64) {
        self.waits.push(now - sent);
        self.running.insert((now + RUN_TIME, id), (entry, host, sent));
    }

    /// Sends a request from a random entry daemon; tries hosts until one has a free slot or the search ends.
    fn request(&mut self, now: u64) {
        self.calls += 1;
        let entry = self.random.index_below(ENTRY_DAEMONS);
        let max_attempts = if self.search_enabled {
            self.entries[entry].free_slot_attempts(MS(now), self.random.fraction())
        } else {
            0
        };
        let mut search: FreeSlotSearch<Arc<str>> = FreeSlotSearch::new(max_attempts);
        let mut tried: Vec<Arc<str>> = Vec::new();
        loop {
            let chosen = if search.has_attempts_left() || !search.has_full_servers() {
                let exclude: Vec<&str> = tried.iter().map(|name| &**name).collect();
                self.entries[entry].choose(MS(now), self.random.next(), &exclude)
            } else {
                search.least_loaded()
            };
            let host = chosen.expect("every host is enabled");
            let index: usize =
                host["host-".len()..].parse().expect("a host name ends in its index");
            self.attempts += 1;
            self.entries[entry].dispatched(&host, MS(now));
            let (only_if_free, is_further_attempt) =
                (search.has_attempts_left(), search.has_full_servers());
            let is_free = self.hosts[index].has_free_slot(MS(now));
            if only_if_free && is_further_attempt {
                self.entries[entry].record_further_attempt(is_free);
            }
            if only_if_free && !is_free {
                let report = self.report(index);
                self.entries[entry].refused_as_full(&host, MS(now), report);
                search.record_full(Arc::clone(&host), report, SLOTS);
                tried.push(host);
                continue;
            }
            return self.offer(entry, index, now);
        }
    }

    /// Offers the current request to the admission of `host`.
    fn offer(&mut self, entry: usize, host: usize, now: u64) {
        let id = self.calls;
        let ticket = Ticket {
            id,
            class: Class::Lookup,
            route: "lot-view",
            deadline: MS(now + 1_200),
            target: Some(MS(now + 400)),
            tenant: None,
            nested: false,
        };
        let offer = self.hosts[host].offer(ticket, MS(now));
        self.apply(offer.evicted, now);
        match offer.decision {
            Decision::Start => self.start(id, entry, host, now, now),
            Decision::Queued => {
                self.waiting.insert(id, (entry, host, now));
            }
            Decision::Refuse { .. } => {
                self.entries[entry].cancelled(&name(host));
                self.refused += 1;
            }
        }
    }

    /// Share of the requests that waited for a slot or were refused.
    fn delayed_share(&self) -> f64 {
        let waited = self.waits.iter().filter(|wait| **wait > 0).count() as u64;
        (waited + self.refused) as f64 / self.calls as f64
    }
}

/// Guards against requests that wait at a full backend server while others have free slots: 60 entry daemons
/// load a service to 70 % of its capacity, each with few requests a second, so that the loads they know are
/// out of date.
#[test]
fn search_finds_free_slots_despite_outdated_loads() {
    let [plain, searching] = [false, true].map(|search_enabled| {
        let mut mesh = Mesh::new(search_enabled);
        mesh.run(0.7, 20_000);
        mesh
    });
    assert!(
        plain.delayed_share() > 0.05,
        "only {:.3} of the requests are delayed without a search",
        plain.delayed_share()
    );
    assert!(
        searching.delayed_share() < plain.delayed_share() / 4.0,
        "{:.3} of the requests are delayed with a search, {:.3} without",
        searching.delayed_share(),
        plain.delayed_share()
    );
    let attempts = searching.attempts as f64 / searching.calls as f64;
    assert!(attempts < 1.5, "{attempts:.2} hosts tried per request");
}

/// Guards against a search that tries three hosts for each request when all of them are full: the service gets
/// 1.6 times the load that it can run.
#[test]
fn search_stops_when_all_servers_are_full() {
    let mut mesh = Mesh::new(true);
    mesh.run(1.6, 10_000);
    let (attempts, calls) = (mesh.attempts, mesh.calls);
    mesh.run(1.6, 10_000);
    let later = (mesh.attempts - attempts) as f64 / (mesh.calls - calls) as f64;
    assert!(later < 1.6, "{later:.2} hosts tried per request");
}

/// Guards against a search that never resumes after a time in which all hosts were full.
#[test]
fn search_resumes_when_servers_have_free_slots() {
    let mut odds = FreeSlotOdds::default();
    for _ in 0..200 {
        odds.observe(false);
    }
    assert_eq!((odds.free_slot_attempts(8, 0.5), odds.free_slot_attempts(8, 0.05)), (0, 3));
    for _ in 0..20 {
        odds.observe(true);
    }
    assert_eq!(odds.free_slot_attempts(8, 0.5), 3);
    assert_eq!(odds.free_slot_attempts(1, 0.5), 0, "there is no other host to try");
}
