//! Search for a free slot by many entry daemons, each of which sends little.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, Decision, Ticket};
use baobabreel_core::balance::{Balancer, Endpoint, FreeSlotOdds, FreeSlotSearch, LoadReport};
use baobabreel_core::config::Class;

const ENTRIES: usize = 60;
const HOSTS: usize = 24;
const SLOTS: u32 = 6;
const RUN_TIME: u64 = 110;
const MS: fn(u64) -> Duration = Duration::from_millis;

/// Draws the same numbers in each run.
struct Draw(u64);

impl Draw {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn below(&mut self, limit: usize) -> usize {
        (self.next() % limit as u64) as usize
    }

    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Many entry daemons with balancers of their own before the hosts of one service.
struct Mesh {
    entries: Vec<Balancer>,
    hosts: Vec<Admission>,
    ends: BTreeMap<(u64, u64), (usize, usize, u64)>,
    waiting: BTreeMap<u64, (usize, usize, u64)>,
    draw: Draw,
    searches: bool,
    calls: u64,
    waits: Vec<u64>,
    refused: u64,
    asked: u64,
}

fn name(host: usize) -> String {
    format!("host-{host:02}")
}

impl Mesh {
    fn new(searches: bool) -> Self {
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
            entries: (0..ENTRIES).map(entry).collect(),
            hosts: (0..HOSTS).map(|_| Admission::builder().slots(SLOTS).build()).collect(),
            ends: BTreeMap::new(),
            waiting: BTreeMap::new(),
            draw: Draw(0x9e37_79b9),
            searches,
            calls: 0,
            waits: Vec::new(),
            refused: 0,
            asked: 0,
        }
    }

    fn report(&self, host: usize) -> LoadReport {
        self.hosts[host].load()
    }

    /// Sends `share` of the capacity for `millis`.
    fn run(&mut self, share: f64, millis: u64) {
        let capacity = (HOSTS as u64 * u64::from(SLOTS)) as f64 / RUN_TIME as f64;
        let mut due = 0.0;
        for now in 0..millis {
            self.end_until(now);
            due += capacity * share * 2.0 * self.draw.fraction();
            while due >= 1.0 {
                due -= 1.0;
                self.request(now);
            }
        }
    }

    fn end_until(&mut self, now: u64) {
        while let Some(((at, id), (entry, host, sent))) = self.ends.pop_first() {
            if at > now {
                self.ends.insert((at, id), (entry, host, sent));
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
                    let (entry, host, sent) = self.waiting.remove(&id).expect("it waits");
                    self.start(id, entry, host, sent, now);
                }
                Action::Refuse { id, .. } => {
                    let (entry, host, _) = self.waiting.remove(&id).expect("it waits");
                    self.entries[entry].cancelled(&name(host));
                    self.refused += 1;
                }
            }
        }
    }

    fn start(&mut self, id: u64, entry: usize, host: usize, sent: u64, now: u64) {
        self.waits.push(now - sent);
        self.ends.insert((now + RUN_TIME, id), (entry, host, sent));
    }

    fn request(&mut self, now: u64) {
        self.calls += 1;
        let entry = self.draw.below(ENTRIES);
        let looks = if self.searches {
            self.entries[entry].free_slot_attempts(MS(now), self.draw.fraction())
        } else {
            0
        };
        let mut room: FreeSlotSearch<Arc<str>> = FreeSlotSearch::new(looks);
        let mut tried: Vec<Arc<str>> = Vec::new();
        loop {
            let chosen = if room.has_attempts_left() || !room.has_full_servers() {
                let exclude: Vec<&str> = tried.iter().map(|name| &**name).collect();
                self.entries[entry].choose(MS(now), self.draw.next(), &exclude)
            } else {
                room.least_loaded()
            };
            let host = chosen.expect("a host");
            let index: usize = host["host-".len()..].parse().expect("a number");
            self.asked += 1;
            self.entries[entry].dispatched(&host, MS(now));
            let (only_if_free, further) = (room.has_attempts_left(), room.has_full_servers());
            let is_free = self.hosts[index].has_free_slot();
            if only_if_free && further {
                self.entries[entry].record_further_attempt(is_free);
            }
            if only_if_free && !is_free {
                let report = self.report(index);
                self.entries[entry].refused_as_full(&host, MS(now), report);
                room.record_full(Arc::clone(&host), report, SLOTS);
                tried.push(host);
                continue;
            }
            return self.offer(entry, index, now);
        }
    }

    fn offer(&mut self, entry: usize, host: usize, now: u64) {
        let id = self.calls;
        let ticket = Ticket {
            id,
            class: Class::Lookup,
            route: "lot-view",
            deadline: MS(now + 1_200),
            target: Some(MS(now + 400)),
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
    fn delayed(&self) -> f64 {
        let waited = self.waits.iter().filter(|wait| **wait > 0).count() as u64;
        (waited + self.refused) as f64 / self.calls as f64
    }
}

/// Guards against requests that wait at a full backend server while others have free slots: 60 entry daemons
/// send a service 70 % of what it can run, each a few requests a second.
#[test]
fn requests_find_free_slots_although_loads_are_known_late() {
    let [plain, searching] = [false, true].map(|searches| {
        let mut mesh = Mesh::new(searches);
        mesh.run(0.7, 20_000);
        mesh
    });
    assert!(plain.delayed() > 0.05, "the pattern delays {:.3} without a search", plain.delayed());
    assert!(
        searching.delayed() < plain.delayed() / 4.0,
        "{:.3} delayed against {:.3}",
        searching.delayed(),
        plain.delayed()
    );
    let asked = searching.asked as f64 / searching.calls as f64;
    assert!(asked < 1.5, "{asked:.2} hosts asked for a request");
}

/// Guards against a search that asks three hosts for each request when all of them are full: the service gets
/// 1.6 times of what it can run.
#[test]
fn search_ends_when_all_are_full() {
    let mut mesh = Mesh::new(true);
    mesh.run(1.6, 10_000);
    let (asked, calls) = (mesh.asked, mesh.calls);
    mesh.run(1.6, 10_000);
    let later = (mesh.asked - asked) as f64 / (mesh.calls - calls) as f64;
    assert!(later < 1.6, "{later:.2} hosts asked for a request");
}

/// Guards against a search that never begins again after a time in which all were full.
#[test]
fn odds_recover() {
    let mut odds = FreeSlotOdds::default();
    for _ in 0..200 {
        odds.observe(false);
    }
    assert_eq!((odds.free_slot_attempts(8, 0.5), odds.free_slot_attempts(8, 0.05)), (0, 3));
    for _ in 0..20 {
        odds.observe(true);
    }
    assert_eq!(odds.free_slot_attempts(8, 0.5), 3);
    assert_eq!(odds.free_slot_attempts(1, 0.5), 0, "there is nobody else to ask");
}
