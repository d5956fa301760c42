//! A deterministic simulation of the network between membership state machines.
//!
//! Messages are delayed, reordered, duplicated and lost by a seeded random generator, so that a failing
//! run can be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use super::support::{addr, member};
use baobabreel_core::membership::*;

/// Encoded size of one [`member`] in rmp-serde: id, names, address and numbers.
const MEMBER_BYTES: usize = 85;
/// Length of the windows over which the sending limits are checked.
const WINDOW_SECS: usize = 10;

/// Membership state machines, their clock and the messages between them.
pub struct SimulatedNetwork {
    pub nodes: Vec<Swim>,
    /// Nodes that neither tick nor receive; messages to them wait.
    pub frozen: Vec<bool>,
    /// Simulated time in milliseconds.
    pub now_ms: u64,
    /// Share of messages that are lost at random.
    pub loss_percent: u64,
    /// Whether all messages from the first node to the second are lost.
    pub is_cut: Box<dyn Fn(usize, usize) -> bool>,
    /// Time in milliseconds, observing node, and the member with its new state.
    pub state_changes: Vec<(u64, usize, Member)>,
    /// Time in milliseconds, proposing node, and the id of the daemon to evict.
    pub evictions: Vec<(u64, usize, String)>,
    /// Messages in flight by delivery time and a random tie-breaker, each with its receiver.
    queue: BTreeMap<(u64, u64), (usize, Event)>,
    /// Unsolicited messages, updates and bytes that each node sent in the current window.
    sent_in_window: Vec<[usize; 3]>,
    /// Highest value of each that one node sent in one window.
    pub max_sent: [usize; 3],
    /// Whether to panic when a node exceeds its sending limits; measurements only record them.
    pub enforces_limits: bool,
    rng: u64,
}

impl SimulatedNetwork {
    /// Creates `n` nodes in `dcs` data centres of equal size; the first node of each is a seed of all.
    pub fn new(n: usize, dcs: usize, seed: u64, settings: &SwimSettings) -> Self {
        let seeds = (0..dcs).map(|dc| addr(dc * n / dcs)).collect::<Vec<_>>();
        let settings = settings.clone().seeds(seeds);
        let node = |i| Swim::new(member(i, i * dcs / n), settings.clone());
        Self {
            nodes: (0..n).map(node).collect(),
            frozen: vec![false; n],
            now_ms: 0,
            loss_percent: 0,
            is_cut: Box::new(|_, _| false),
            state_changes: Vec::new(),
            evictions: Vec::new(),
            queue: BTreeMap::new(),
            sent_in_window: vec![[0; 3]; n],
            max_sent: [0; 3],
            enforces_limits: true,
            rng: seed,
        }
    }

    pub fn random(&mut self) -> u64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.rng ^ (self.rng >> 31)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        (z ^ (z >> 29)).wrapping_mul(0x94d0_49bb_1331_11eb)
    }

    /// Passes an event to a node and carries out its actions.
    pub fn handle(&mut self, i: usize, event: Event) {
        let (now, random) = (Duration::from_millis(self.now_ms), self.random());
        let actions = self.nodes[i].handle(event, now, random);
        self.apply_actions(i, actions);
    }

    /// Advances the time in steps of 100 ms; each step delivers the due messages and ticks the nodes.
    pub fn run_secs(&mut self, secs: u64) {
        for _ in 0..secs * 10 {
            self.now_ms += 100;
            let later = self.queue.split_off(&(self.now_ms, 0));
            for ((_, order), (to, event)) in std::mem::replace(&mut self.queue, later) {
                if self.frozen[to] {
                    self.queue.insert((self.now_ms, order), (to, event));
                } else {
                    self.handle(to, event);
                }
            }
            for i in (0..self.nodes.len()).filter(|i| !self.frozen[*i]).collect::<Vec<_>>() {
                let (now, random) = (Duration::from_millis(self.now_ms), self.random());
                let actions = self.nodes[i].tick(now, random);
                self.apply_actions(i, actions);
            }
            if self.now_ms.is_multiple_of(WINDOW_SECS as u64 * 1_000) {
                self.check_limits();
            }
        }
    }

    /// Checks the traffic of the window that ends and starts a new one.
    ///
    /// A node may have saved up to one second's worth of its budget before the window, so the limits on
    /// messages and updates allow for one second more.
    fn check_limits(&mut self) {
        for sent in self.sent_in_window.iter_mut().map(std::mem::take) {
            for (most, sent) in self.max_sent.iter_mut().zip(sent) {
                *most = sent.max(*most);
            }
            if !self.enforces_limits {
                continue;
            }
            let limits = [24, 7_500 / MEMBER_BYTES].map(|limit| limit * (WINDOW_SECS + 1));
            assert!(sent[0] <= limits[0] && sent[1] <= limits[1], "{sent:?}");
            assert!(sent[2] <= WINDOW_SECS * 9 * 1_024, "{sent:?}");
        }
    }

    fn apply_actions(&mut self, i: usize, actions: Vec<Action>) {
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
                    self.state_changes.push((self.now_ms, i, member));
                    continue;
                }
                Action::ProposeEvict { id, .. } => {
                    self.evictions.push((self.now_ms, i, id));
                    continue;
                }
                Action::SelfEvicted | Action::Superseded { .. } => continue,
            };
            self.send(i, usize::from(to.port()) - 10_000, &event);
        }
    }

    /// Queues a message with a delay of 1 to 150 ms, so that messages are reordered; one in ten is
    /// duplicated.
    fn send(&mut self, from: usize, to: usize, event: &Event) {
        for (total, sent) in self.sent_in_window[from].iter_mut().zip(message_cost(event)) {
            *total += sent;
        }
        for _ in 0..1 + u64::from(self.random().is_multiple_of(10)) {
            let lost = self.random() % 100 < self.loss_percent || (self.is_cut)(from, to);
            let order = self.random();
            if !lost {
                let at = self.now_ms + 1 + order % 150;
                self.queue.insert((at, order), (to, event.clone()));
            }
        }
    }

    /// Whether all running nodes have equal member tables in which exactly the running nodes are live.
    pub fn has_converged(&self) -> bool {
        let running = self.nodes.iter().zip(&self.frozen).filter(|(_, frozen)| !**frozen);
        let tables: Vec<_> = running.map(|(node, _)| node.members()).collect();
        let is_same = |digest| digest == tables[0].digest();
        tables.iter().all(|t| t.live().count() == tables.len() && is_same(t.digest()))
    }

    /// Observing and dead node of each death that a node concluded.
    pub fn concluded_deaths(&self) -> impl Iterator<Item = (usize, usize)> {
        let dead = self.state_changes.iter().filter(|(_, _, m)| m.state == MemberState::Dead);
        dead.map(|(_, i, m)| (*i, usize::from(m.peer_addr.port()) - 10_000))
    }
}

/// Unsolicited messages, updates and bytes of a message, with 100 bytes for its framing.
fn message_cost(event: &Event) -> [usize; 3] {
    let filter_bytes = |filter: &Filter| 9 * (filter.words() + 1);
    let (unsolicited, updates, digest_bytes, max_updates) = match event {
        Event::Probe(m) => (1, m.updates.len(), 9, 16),
        Event::Ack(m) => (0, m.updates.len(), 9, 16),
        Event::Pushed(updates) => (1, updates.len(), 0, 1),
        Event::Delta(m) => (0, m.updates.len(), m.filter.as_ref().map_or(0, filter_bytes), 32),
        Event::SyncRequest(m) => (1, 0, filter_bytes(&m.filter), 0),
        event => (usize::from(matches!(event, Event::ProbeRequest(_))), 0, 40, 0),
    };
    assert!(updates <= max_updates, "{event:?}");
    [unsolicited, updates, 100 + MEMBER_BYTES * (updates + 1) + digest_bytes]
}
