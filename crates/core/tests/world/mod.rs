//! A few owners of keys around one log, with delayed messages, pauses and cut connections.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::config::Version;
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::idempotency::*;
use baobabreel_core::membership::Members;
use baobabreel_core::registry::{Incarnate, MemberEntry};
use serde::Deserialize;

pub const WALL_CLOCK_START_MS: u64 = 1_800_000_000_000;
pub const SERVICE: &str = "bidding";
const LOG_RETENTION: Duration = Duration::from_secs(3600);

/// What happens to or at one daemon; times are in ms.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Incarnation, difference of the wall clock, and ticks of the monotonic clock a second.
    Start(u64, i64, u64),
    Rejoin,
    Leave,
    Kill,
    Evict,
    Pause(u64),
    /// Cuts the daemon off from the log and from the other daemons.
    Cut(u64),
    LogDown(u64),
    /// A caller's request, through this daemon as the entry daemon.
    Call(Call),
    /// The same through an entry daemon that takes this daemon for the owner.
    CallOwner(Call),
}

#[derive(Debug, Clone, Deserialize)]
pub struct Call {
    pub key: String,
    pub body: u128,
    pub first: bool,
    #[serde(default)]
    pub id: usize,
}

impl Call {
    fn attempt(&self) -> Attempt {
        [Attempt::MayRepeat, Attempt::First][usize::from(self.first)]
    }

    pub fn request<T>(&self, act: impl FnOnce(&KeyedRequest<'_>) -> T) -> T {
        let key = &Key::parse(&self.key).expect("a key");
        let (fingerprint, attempt) = (self.body, self.attempt());
        act(&KeyedRequest { service: SERVICE, key, fingerprint, attempt })
    }
}

struct Node {
    owner: KeyOwner,
    told: HashMap<usize, Vec<(Incarnate, PriorAnswer)>>,
    skew: i64,
    rate: u64,
    paused_until: u64,
    cut_until: u64,
}

impl Node {
    fn mono(&self, now: u64) -> Duration {
        Duration::from_millis(50_000 + now * self.rate / 1000)
    }
}

type Act = Box<dyn FnOnce(&mut Simulation)>;

/// Time, daemons, log and messages; without a `seed`, each message takes 1 ms.
#[derive(Default)]
pub struct Simulation {
    pub now: u64,
    pub seed: u64,
    pub fencing: Fencing,
    /// Daemons that ran a key with a body.
    pub runs: BTreeMap<(String, u128), Vec<String>>,
    /// Final answers by id of the call.
    pub replies: BTreeMap<usize, &'static str>,
    /// Keys that were answered as not run after they ran.
    pub false_not_run_answers: Vec<(String, ErrorKind)>,
    nodes: BTreeMap<String, Node>,
    log: Vec<(Version, String)>,
    log_down_until: u64,
    queue: BTreeMap<(u64, u64), (String, Act)>,
    sent: u64,
}

pub fn xorshift(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

impl Simulation {
    pub fn apply(&mut self, id: &str, op: Op) {
        let (now, to) = (self.now, id.to_owned());
        match op {
            Op::Start(incarnation, skew, rate) => self.start(id, incarnation, skew, rate),
            Op::Rejoin => self.join(id),
            Op::Leave => self.leave(id),
            Op::Kill => drop(self.nodes.remove(id)),
            Op::Evict => self.evict(id),
            Op::Pause(ms) => self.with(id, |node| node.paused_until = now + ms),
            Op::Cut(ms) => self.with(id, |node| node.cut_until = now + ms),
            Op::LogDown(ms) => self.log_down_until = now + ms,
            Op::Call(call) => self.call(id, call, move |world, call| world.enter(&to, call)),
            Op::CallOwner(call) => self.call(id, call, move |world, call| world.handle(&to, call)),
        }
    }

    /// Delivers all messages that are due by `end`; a paused daemon gets them when it resumes.
    pub fn run_until(&mut self, end: u64) {
        while let Some(((at, sent), (to, act))) = self.queue.pop_first() {
            if at > end {
                self.queue.insert((at, sent), (to, act));
                break;
            }
            self.now = self.now.max(at);
            match self.nodes.get(&to).map(|node| node.paused_until) {
                Some(until) if until > self.now => self.post(until - self.now, &to, act),
                Some(_) => act(self),
                None => {}
            }
        }
        self.now = end;
    }

    fn call(&mut self, to: &str, call: Call, act: impl FnOnce(&mut Self, Call) + 'static) {
        // Holds unless somebody answers.
        self.replies.insert(call.id, ErrorKind::UpstreamLost.name());
        self.send(to, move |world| act(world, call));
    }

    fn post(&mut self, after: u64, to: &str, act: impl FnOnce(&mut Self) + 'static) {
        self.sent += 1;
        let at = (self.now + after, self.sent);
        self.queue.insert(at, (to.to_owned(), Box::new(act)));
    }

    fn send(&mut self, to: &str, act: impl FnOnce(&mut Self) + 'static) {
        // Most messages are fast, some take up to 4 s.
        let slow = xorshift(&mut self.seed).is_multiple_of(8);
        let slowest = [50, 4_000][usize::from(slow)];
        let delay = 1 + xorshift(&mut self.seed) % slowest;
        self.post(delay, to, act);
    }

    fn with(&mut self, id: &str, act: impl FnOnce(&mut Node)) {
        if let Some(node) = self.nodes.get_mut(id) {
            act(node);
        }
    }

    fn append(&mut self, entry: &MemberEntry) {
        let (generation, offset) = (1, self.log.len() as u64 + 1);
        let text = serde_json::to_string(entry).expect("entries are serialisable");
        self.log.push((Version { generation, offset }, text));
    }

    fn start(&mut self, id: &str, incarnation: u64, skew: i64, rate: u64) {
        let me = Incarnate::new(id, incarnation);
        let lease = Lease::new(self.fencing, LOG_RETENTION);
        let owner = KeyOwner::new(me, lease, Limits::default());
        let told = HashMap::new();
        let (paused_until, cut_until) = (0, 0);
        let node = Node { owner, told, skew, rate, paused_until, cut_until };
        self.nodes.insert(id.to_owned(), node);
        self.fold(id, self.log.clone());
        self.join(id);
        self.poll(id);
    }

    fn join(&mut self, id: &str) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.owner.record_join_sent(node.mono(self.now));
        let Incarnate { id, incarnation } = node.owner.me().clone();
        let (data_centre, service) = ("hobart-a".to_owned(), SERVICE.to_owned());
        let peer_addr = "127.0.0.1:9000".parse().expect("an address");
        self.append(&MemberEntry::Join { id, incarnation, data_centre, service, peer_addr });
    }

    fn evict(&mut self, id: &str) {
        let node = self.nodes.get(id);
        let incarnation = node.map_or(1, |node| node.owner.me().incarnation);
        let id = id.to_owned();
        self.append(&MemberEntry::Evict { id, incarnation });
    }

    fn leave(&mut self, id: &str) {
        if let Some(node) = self.nodes.remove(id) {
            let Incarnate { id, incarnation } = node.owner.me().clone();
            self.append(&MemberEntry::Leave { id, incarnation });
        }
    }

    fn is_cut(&self, id: &str) -> bool {
        let node = self.nodes.get(id);
        node.is_none_or(|node| node.cut_until > self.now)
    }

    fn refuse(&mut self, call: &Call, kind: ErrorKind) {
        let ran = self.runs.contains_key(&(call.key.clone(), call.body));
        if ran && kind.answer().outcome == Outcome::NotRun {
            self.false_not_run_answers.push((call.key.clone(), kind));
        }
        self.replies.insert(call.id, kind.name());
    }

    fn poll(&mut self, id: &str) {
        let to = id.to_owned();
        self.post(1000, id, move |world| world.poll(&to));
        if self.is_cut(id) || self.log_down_until > self.now {
            return;
        }
        let node = &self.nodes[id];
        let asked_at = node.mono(self.now);
        let from = node.owner.registry().version();
        let newer = self.log.iter().filter(|(version, _)| *version > from);
        let entries: Vec<_> = newer.cloned().collect();
        let head = entries.last().map_or(from, |(version, _)| *version);
        let to = id.to_owned();
        self.send(id, move |world| {
            world.fold(&to, entries);
            let age = Duration::ZERO;
            world.with(&to, |node| node.owner.confirm(asked_at, age, head));
        });
    }

    fn fold(&mut self, id: &str, entries: Vec<(Version, String)>) {
        let now = self.now;
        self.with(id, |node| {
            let now = node.mono(now);
            for (version, text) in entries {
                let folded = node.owner.fold(version, &text, now, now);
                folded.expect("no entry is missing");
            }
        });
    }

    fn enter(&mut self, via: &str, call: Call) {
        let owner = &self.nodes[via].owner;
        let attempt = call.attempt();
        let (registry, members) = (owner.registry(), Members::default());
        match call.request(|req| route(owner.me(), req, registry, &members)) {
            KeyRoute::Local => self.handle(via, call),
            KeyRoute::Forward { owner, .. } if self.is_cut(via) || self.is_cut(&owner.id) => {
                self.refuse(&call, unreachable_owner(attempt, false));
            }
            KeyRoute::Forward { owner, .. } => {
                let to = owner.id.clone();
                self.send(&to, move |world| world.handle(&owner.id, call));
            }
            KeyRoute::Refuse(kind) => self.refuse(&call, kind),
        }
    }

    fn handle(&mut self, id: &str, call: Call) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let wall = Duration::from_millis(
            (WALL_CLOCK_START_MS + self.now).saturating_add_signed(node.skew),
        );
        let now = node.mono(self.now);
        let reading = ClockReading::between(now, wall, now).expect("no time passes");
        let told = node.told.entry(call.id).or_default();
        match call.request(|request| node.owner.decide(request, reading, told)) {
            Decision::Run => {
                let runs = self.runs.entry((call.key.clone(), call.body));
                runs.or_default().push(id.to_owned());
                let to = id.to_owned();
                self.post(20, id, move |world| world.finish(&to, &call));
            }
            Decision::Answer(_) => drop(self.replies.insert(call.id, "answer")),
            Decision::Refuse(kind) => self.refuse(&call, kind),
            Decision::Ask(asked) => asked.into_iter().for_each(|asked| {
                let (call, from, to) = (call.clone(), id.to_owned(), asked.id.clone());
                if self.is_cut(id) || self.is_cut(&to) {
                    self.tell(&from, asked, PriorAnswer::Unreachable, call);
                } else {
                    self.send(&to, move |world| world.ask(asked, &from, call));
                }
            }),
        }
    }

    fn ask(&mut self, asked: Incarnate, from: &str, call: Call) {
        let (now, mut answer) = (self.now, PriorAnswer::Unreachable);
        self.with(&asked.id, |node| {
            let now = node.mono(now);
            answer = call.request(|request| node.owner.answer_prior(&asked, request, now));
        });
        self.tell(from, asked, answer, call);
    }

    fn tell(&mut self, to: &str, from: Incarnate, answer: PriorAnswer, call: Call) {
        let id = to.to_owned();
        self.send(to, move |world| {
            world.with(&id, |node| node.told.entry(call.id).or_default().push((from, answer)));
            world.handle(&id, call);
        });
    }

    fn finish(&mut self, id: &str, call: &Call) {
        let now = self.now;
        self.with(id, |node| {
            let (now, ran) = (node.mono(now), RunOutcome::Ran(Some(Arc::from(*b"ok"))));
            call.request(|request| node.owner.finish(request, ran, now));
        });
        self.replies.insert(call.id, "ran");
    }
}

/// UUID version 7 issued at `at` of the world's clock; `tail` tells keys apart.
pub fn uuid(at: u64, tail: u64) -> String {
    let millis = WALL_CLOCK_START_MS + at;
    let (high, low) = (millis >> 16, millis & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{tail:012x}")
}
