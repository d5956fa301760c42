//! A simulation of a few daemons that own keys and share one log, with delayed messages, pauses and cut
//! connections.
//!
//! It records which daemons ran each key and how each call was answered, so that tests can check that no
//! key ran twice.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::config::Version;
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::idempotency::*;
use baobabreel_core::membership::Members;
use baobabreel_core::registry::{Incarnate, MemberEntry};
use serde::Deserialize;

/// Wall-clock time at the start of the simulation, in ms since the Unix epoch.
pub const WALL_CLOCK_START_MS: u64 = 1_800_000_000_000;
pub const SERVICE: &str = "bidding";
const LOG_RETENTION: Duration = Duration::from_secs(3600);

/// An operation on one daemon; durations are in ms.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Op {
    /// Starts an incarnation. The other values are the offset of its wall clock in ms and the ms by which
    /// its monotonic clock advances per second.
    Start(u64, i64, u64),
    /// Appends another `join` of the running incarnation.
    Rejoin,
    Leave,
    /// Ends the daemon without an entry in the log.
    Kill,
    /// Appends an `evict` of the daemon, which may still run.
    Evict,
    Pause(u64),
    /// Cuts the daemon off from the log and from the other daemons.
    Cut(u64),
    /// Makes the log unavailable to all daemons.
    LogDown(u64),
    /// Sends a caller's request to this daemon as the entry daemon, which routes it to the owner.
    Call(Call),
    /// Sends a request as if by an entry daemon that considers this daemon the owner of the key.
    CallOwner(Call),
}

/// A request of a caller with an idempotency key.
#[derive(Debug, Clone, Deserialize)]
pub struct Call {
    pub key: String,
    /// Fingerprint of the body.
    pub body: u128,
    /// Whether the caller states that this is its first attempt.
    pub first: bool,
    #[serde(default)]
    pub id: usize,
}

impl Call {
    fn attempt(&self) -> Attempt {
        [Attempt::MayRepeat, Attempt::First][usize::from(self.first)]
    }

    /// Calls `act` with the request as the owner sees it.
    pub fn request<T>(&self, act: impl FnOnce(&KeyedRequest<'_>) -> T) -> T {
        let key = &Key::parse(&self.key).expect("the key is valid");
        let (fingerprint, attempt) = (self.body, self.attempt());
        act(&KeyedRequest { service: SERVICE, key, fingerprint, attempt, origin: Origin::UNKNOWN })
    }
}

/// One running daemon.
struct Node {
    owner: KeyOwner,
    /// Answers of previous owners by id of the call.
    prior_answers: HashMap<usize, Vec<(Incarnate, PriorAnswer)>>,
    /// Offset of the wall clock in ms.
    skew: i64,
    /// Ms by which the monotonic clock advances per second.
    rate: u64,
    paused_until: u64,
    cut_until: u64,
}

impl Node {
    /// Reading of the monotonic clock at the simulated time `now`.
    fn monotonic_time(&self, now: u64) -> Duration {
        Duration::from_millis(50_000 + now * self.rate / 1000)
    }
}

/// An action that is due at a later time.
type ScheduledAction = Box<dyn FnOnce(&mut Simulation)>;

/// Daemons, the log and the messages between them. With a `seed` of 0, each message takes 1 ms.
#[derive(Default)]
pub struct Simulation {
    /// Simulated time in ms since the start.
    pub now: u64,
    pub seed: u64,
    pub fencing: Fencing,
    /// Daemons that ran each key and body, in order.
    pub runs: BTreeMap<(String, u128), Vec<String>>,
    /// Latest answer to each call by its id.
    pub replies: BTreeMap<usize, &'static str>,
    /// Keys for which a call was answered with the outcome `not_run` although they had run.
    pub false_not_run_answers: Vec<(String, ErrorKind)>,
    nodes: BTreeMap<String, Node>,
    log: Vec<(Version, String)>,
    log_down_until: u64,
    /// Pending actions by due time and order of scheduling, each with its daemon.
    queue: BTreeMap<(u64, u64), (String, ScheduledAction)>,
    scheduled: u64,
}

pub fn xorshift(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state
}

impl Simulation {
    /// Carries out an operation on the daemon `id` at the current time.
    pub fn apply(&mut self, id: &str, op: Op) {
        let (now, to) = (self.now, id.to_owned());
        match op {
            Op::Start(incarnation, skew, rate) => self.start(id, incarnation, skew, rate),
            Op::Rejoin => self.join(id),
            Op::Leave => self.leave(id),
            Op::Kill => drop(self.nodes.remove(id)),
            Op::Evict => self.evict(id),
            Op::Pause(ms) => self.update_node(id, |node| node.paused_until = now + ms),
            Op::Cut(ms) => self.update_node(id, |node| node.cut_until = now + ms),
            Op::LogDown(ms) => self.log_down_until = now + ms,
            Op::Call(call) => {
                self.start_call(id, call, move |sim, call| sim.route_at_entry(&to, call))
            }
            Op::CallOwner(call) => {
                self.start_call(id, call, move |sim, call| sim.decide_at_owner(&to, call))
            }
        }
    }

    /// Carries out all actions that are due by `end`; those of a paused daemon wait until it resumes.
    pub fn run_until(&mut self, end: u64) {
        while let Some(((at, order), (to, act))) = self.queue.pop_first() {
            if at > end {
                self.queue.insert((at, order), (to, act));
                break;
            }
            self.now = self.now.max(at);
            match self.nodes.get(&to).map(|node| node.paused_until) {
                Some(until) if until > self.now => self.schedule(until - self.now, &to, act),
                Some(_) => act(self),
                None => {}
            }
        }
        self.now = end;
    }

    fn start_call(&mut self, to: &str, call: Call, act: impl FnOnce(&mut Self, Call) + 'static) {
        // The answer if no daemon gives another one.
        self.replies.insert(call.id, ErrorKind::UpstreamLost.name());
        self.send(to, move |sim| act(sim, call));
    }

    /// Schedules an action at a daemon after `after` ms.
    fn schedule(&mut self, after: u64, to: &str, act: impl FnOnce(&mut Self) + 'static) {
        self.scheduled += 1;
        let at = (self.now + after, self.scheduled);
        self.queue.insert(at, (to.to_owned(), Box::new(act)));
    }

    /// Sends a message to a daemon with a random delay.
    fn send(&mut self, to: &str, act: impl FnOnce(&mut Self) + 'static) {
        // Most messages take up to 50 ms, one in eight up to 4 s.
        let is_slow = xorshift(&mut self.seed).is_multiple_of(8);
        let max_delay_ms = [50, 4_000][usize::from(is_slow)];
        let delay = 1 + xorshift(&mut self.seed) % max_delay_ms;
        self.schedule(delay, to, act);
    }

    /// Applies `act` to a daemon if it is running.
    fn update_node(&mut self, id: &str, act: impl FnOnce(&mut Node)) {
        if let Some(node) = self.nodes.get_mut(id) {
            act(node);
        }
    }

    fn append(&mut self, entry: &MemberEntry) {
        let (generation, offset) = (1, self.log.len() as u64 + 1);
        let text = serde_json::to_string(entry).expect("the entry is serializable");
        self.log.push((Version { generation, offset }, text));
    }

    fn start(&mut self, id: &str, incarnation: u64, skew: i64, rate: u64) {
        let me = Incarnate::new(id, incarnation);
        let lease = Lease::new(self.fencing, LOG_RETENTION);
        let owner = KeyOwner::new(me, lease, Limits::default());
        let prior_answers = HashMap::new();
        let (paused_until, cut_until) = (0, 0);
        let node = Node { owner, prior_answers, skew, rate, paused_until, cut_until };
        self.nodes.insert(id.to_owned(), node);
        self.fold(id, self.log.clone());
        self.join(id);
        self.poll_log(id);
    }

    fn join(&mut self, id: &str) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        node.owner.record_join_sent(node.monotonic_time(self.now));
        let Incarnate { id, incarnation } = node.owner.me().clone();
        let (data_centre, service) = ("hobart-a".to_owned(), SERVICE.to_owned());
        let peer_addr = "127.0.0.1:9000".parse().expect("the address is valid");
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

    /// Whether a daemon is cut off or not running.
    fn is_cut(&self, id: &str) -> bool {
        let node = self.nodes.get(id);
        node.is_none_or(|node| node.cut_until > self.now)
    }

    /// Answers a call with an error and checks that a key that ran is not reported as not run.
    fn record_refusal(&mut self, call: &Call, kind: ErrorKind) {
        let ran = self.runs.contains_key(&(call.key.clone(), call.body));
        if ran && kind.answer().outcome == Outcome::NotRun {
            self.false_not_run_answers.push((call.key.clone(), kind));
        }
        self.replies.insert(call.id, kind.name());
    }

    /// Reads newer entries and the head of the log, now and every second after.
    fn poll_log(&mut self, id: &str) {
        let to = id.to_owned();
        self.schedule(1000, id, move |sim| sim.poll_log(&to));
        if self.is_cut(id) || self.log_down_until > self.now {
            return;
        }
        let node = &self.nodes[id];
        let requested_at = node.monotonic_time(self.now);
        let from = node.owner.registry().version();
        let new_entries = self.log.iter().filter(|(version, _)| *version > from);
        let entries: Vec<_> = new_entries.cloned().collect();
        let head = entries.last().map_or(from, |(version, _)| *version);
        let to = id.to_owned();
        self.send(id, move |sim| {
            sim.fold(&to, entries);
            let age = Duration::ZERO;
            sim.update_node(&to, |node| node.owner.confirm(requested_at, age, head));
        });
    }

    fn fold(&mut self, id: &str, entries: Vec<(Version, String)>) {
        let now = self.now;
        self.update_node(id, |node| {
            let now = node.monotonic_time(now);
            for (version, text) in entries {
                let folded = node.owner.fold(version, &text, now, now);
                folded.expect("no entry is missing");
            }
        });
    }

    /// Routes a call at its entry daemon.
    fn route_at_entry(&mut self, via: &str, call: Call) {
        let owner = &self.nodes[via].owner;
        let attempt = call.attempt();
        let (registry, members) = (owner.registry(), Members::default());
        match call.request(|req| route(owner.me(), req, registry, &members)) {
            KeyRoute::Local => self.decide_at_owner(via, call),
            KeyRoute::Forward { owner, .. } if self.is_cut(via) || self.is_cut(&owner.id) => {
                self.record_refusal(&call, unreachable_owner(attempt, false));
            }
            KeyRoute::Forward { owner, .. } => {
                let to = owner.id.clone();
                self.send(&to, move |sim| sim.decide_at_owner(&owner.id, call));
            }
            KeyRoute::Refuse(kind) => self.record_refusal(&call, kind),
        }
    }

    /// Decides a call at the daemon that is taken for the owner of its key.
    fn decide_at_owner(&mut self, id: &str, call: Call) {
        let Some(node) = self.nodes.get_mut(id) else {
            return;
        };
        let wall = Duration::from_millis(
            (WALL_CLOCK_START_MS + self.now).saturating_add_signed(node.skew),
        );
        let now = node.monotonic_time(self.now);
        let reading =
            ClockReading::between(now, wall, now).expect("no time passes between the readings");
        let prior_answers = node.prior_answers.entry(call.id).or_default();
        match call.request(|request| node.owner.decide(request, reading, prior_answers)) {
            Decision::Run => {
                let runs = self.runs.entry((call.key.clone(), call.body));
                runs.or_default().push(id.to_owned());
                let to = id.to_owned();
                self.schedule(20, id, move |sim| sim.finish(&to, &call));
            }
            Decision::Answer(_) => drop(self.replies.insert(call.id, "answer")),
            Decision::Refuse(kind) => self.record_refusal(&call, kind),
            Decision::Ask(asked) => asked.into_iter().for_each(|asked| {
                let (call, from, to) = (call.clone(), id.to_owned(), asked.id.clone());
                if self.is_cut(id) || self.is_cut(&to) {
                    self.deliver_prior_answer(&from, asked, PriorAnswer::Unreachable, call);
                } else {
                    self.send(&to, move |sim| sim.ask_previous_owner(asked, &from, call));
                }
            }),
        }
    }

    /// Asks a previous owner about a key and sends its answer to the daemon `from`.
    fn ask_previous_owner(&mut self, asked: Incarnate, from: &str, call: Call) {
        let (now, mut answer) = (self.now, PriorAnswer::Unreachable);
        self.update_node(&asked.id, |node| {
            let now = node.monotonic_time(now);
            answer = call.request(|request| node.owner.answer_prior(&asked, request, now));
        });
        self.deliver_prior_answer(from, asked, answer, call);
    }

    /// Delivers the answer of a previous owner, after which the owner decides the call again.
    fn deliver_prior_answer(&mut self, to: &str, from: Incarnate, answer: PriorAnswer, call: Call) {
        let id = to.to_owned();
        self.send(to, move |sim| {
            sim.update_node(&id, |node| {
                node.prior_answers.entry(call.id).or_default().push((from, answer))
            });
            sim.decide_at_owner(&id, call);
        });
    }

    /// Records that the backend server answered a call.
    fn finish(&mut self, id: &str, call: &Call) {
        let now = self.now;
        self.update_node(id, |node| {
            let (now, ran) = (node.monotonic_time(now), RunOutcome::Ran(Some(Arc::from(*b"ok"))));
            call.request(|request| node.owner.finish(request, ran, now));
        });
        self.replies.insert(call.id, "ran");
    }
}

/// A UUID of version 7 issued at the simulated time `at`, in ms; `tail` makes it unique.
pub fn uuid(at: u64, tail: u64) -> String {
    let millis = WALL_CLOCK_START_MS + at;
    let (high, low) = (millis >> 16, millis & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{tail:012x}")
}
