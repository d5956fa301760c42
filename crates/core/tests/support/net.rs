//! A deterministic queue of messages between membership state machines.

use std::collections::BTreeMap;
use std::time::Duration;

use super::support::{addr, member};
use baobabreel_core::membership::*;

/// Bytes of a statement of [`member`]: ids, names, address and numbers in rmp-serde.
const STATEMENT_BYTES: usize = 85;
/// Limits are checked over windows of this many seconds.
const WINDOW_SECS: usize = 10;

pub struct Net {
    pub nodes: Vec<Swim>,
    pub frozen: Vec<bool>,
    pub now: u64,
    pub loss: u64,
    /// Whether messages between two nodes are lost.
    pub cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Time, observer, statement.
    pub changes: Vec<(u64, usize, Member)>,
    /// Time, proposer, evicted daemon.
    pub evictions: Vec<(u64, usize, String)>,
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    /// Messages of their own accord, updates and bytes that each node sent in this window.
    sent: Vec<[usize; 3]>,
    /// The most of each that a node sent in a window.
    pub most_sent: [usize; 3],
    /// Whether a node that sends more than its limits is a failure; measurements only record it.
    pub enforces_limits: bool,
    rng: u64,
}

impl Net {
    /// `n` nodes in `dcs` data centres of equal size; all know the first one of each.
    pub fn new(n: usize, dcs: usize, seed: u64, settings: &SwimSettings) -> Self {
        let seeds = (0..dcs).map(|dc| addr(dc * n / dcs)).collect::<Vec<_>>();
        let settings = settings.clone().seeds(seeds);
        let node = |i| Swim::new(member(i, i * dcs / n), settings.clone());
        Self {
            nodes: (0..n).map(node).collect(),
            frozen: vec![false; n],
            now: 0,
            loss: 0,
            cut: Box::new(|_, _| false),
            changes: Vec::new(),
            evictions: Vec::new(),
            queue: BTreeMap::new(),
            sent: vec![[0; 3]; n],
            most_sent: [0; 3],
            enforces_limits: true,
            rng: seed,
        }
    }

    pub fn random(&mut self) -> u64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.rng ^ (self.rng >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (z ^ (z >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb)
    }

    pub fn handle(&mut self, i: usize, event: Event) {
        let (now, random) = (Duration::from_millis(self.now), self.random());
        let actions = self.nodes[i].handle(event, now, random);
        self.carry_out(i, actions);
    }

    pub fn run(&mut self, secs: u64) {
        for _ in 0..secs * 10 {
            self.now += 100;
            let later = self.queue.split_off(&(self.now, 0));
            for ((_, order), (to, event)) in std::mem::replace(&mut self.queue, later) {
                if self.frozen[to] {
                    self.queue.insert((self.now, order), (to, event));
                } else {
                    self.handle(to, event);
                }
            }
            for i in (0..self.nodes.len()).filter(|i| !self.frozen[*i]).collect::<Vec<_>>() {
                let (now, random) = (Duration::from_millis(self.now), self.random());
                let actions = self.nodes[i].tick(now, random);
                self.carry_out(i, actions);
            }
            if self.now.is_multiple_of(WINDOW_SECS as u64 * 1_000) {
                self.check_limits();
            }
        }
    }

    /// One more second's worth may have been saved up before the window.
    fn check_limits(&mut self) {
        for sent in self.sent.iter_mut().map(std::mem::take) {
            for (most, sent) in self.most_sent.iter_mut().zip(sent) {
                *most = sent.max(*most);
            }
            if !self.enforces_limits {
                continue;
            }
            let limits = [24, 7_500 / STATEMENT_BYTES].map(|limit| limit * (WINDOW_SECS + 1));
            assert!(sent[0] <= limits[0] && sent[1] <= limits[1], "{sent:?}");
            assert!(sent[2] <= WINDOW_SECS * 9 * 1_024, "{sent:?}");
        }
    }

    fn carry_out(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            let (to, event) = match action {
                Action::SendProbe { to, probe } => (to, Event::Probe(probe)),
                Action::SendAck { to, ack } => (to, Event::Ack(ack)),
                Action::SendProbeRequest { via, request } => (via, Event::ProbeRequest(request)),
                Action::SendProbeAnswer { to, answer } => (to, Event::ProbeAnswer(answer)),
                Action::Push { to, updates } => (to, Event::Pushed(updates)),
                Action::SendSyncRequest { to, request } => (to, Event::SyncRequest(request)),
                Action::SendDelta { to, delta } => (to, Event::Delta(delta)),
                Action::StateChanged { member } => {
                    self.changes.push((self.now, i, member));
                    continue;
                }
                Action::ProposeEvict { id, .. } => {
                    self.evictions.push((self.now, i, id));
                    continue;
                }
                Action::SelfEvicted | Action::Superseded { .. } => continue,
            };
            self.send(i, usize::from(to.port()) - 10_000, &event);
        }
    }

    /// Every tenth message arrives twice, and messages overtake each other.
    fn send(&mut self, from: usize, to: usize, event: &Event) {
        for (total, sent) in self.sent[from].iter_mut().zip(size(event)) {
            *total += sent;
        }
        for _ in 0..1 + u64::from(self.random().is_multiple_of(10)) {
            let lost = self.random() % 100 < self.loss || (self.cut)(from, to);
            let order = self.random();
            if !lost {
                let at = self.now + 1 + order % 150;
                self.queue.insert((at, order), (to, event.clone()));
            }
        }
    }

    /// Whether all running nodes see exactly the running nodes as live, in equal tables.
    pub fn agrees(&self) -> bool {
        let running = self.nodes.iter().zip(&self.frozen).filter(|(_, frozen)| !**frozen);
        let tables: Vec<_> = running.map(|(node, _)| node.members()).collect();
        let same = |digest| digest == tables[0].digest();
        tables.iter().all(|t| t.live().count() == tables.len() && same(t.digest()))
    }

    /// Observer and subject of each death that was concluded.
    pub fn deaths(&self) -> impl Iterator<Item = (usize, usize)> {
        let dead = self.changes.iter().filter(|(_, _, m)| m.state == MemberState::Dead);
        dead.map(|(_, i, m)| (*i, usize::from(m.peer_addr.port()) - 10_000))
    }
}

/// Messages of a node's own accord, updates, and bytes with 100 for the framing of each message.
fn size(event: &Event) -> [usize; 3] {
    let filter = |filter: &Filter| 9 * (filter.words() + 1);
    let (own, updates, digest, most) = match event {
        Event::Probe(m) => (1, m.updates.len(), 9, 16),
        Event::Ack(m) => (0, m.updates.len(), 9, 16),
        Event::Pushed(updates) => (1, updates.len(), 0, 1),
        Event::Delta(m) => (0, m.updates.len(), m.filter.as_ref().map_or(0, filter), 32),
        Event::SyncRequest(m) => (1, 0, filter(&m.filter), 0),
        event => (usize::from(matches!(event, Event::ProbeRequest(_))), 0, 40, 0),
    };
    assert!(updates <= most, "{event:?}");
    [own, updates, 100 + STATEMENT_BYTES * (updates + 1) + digest]
}
