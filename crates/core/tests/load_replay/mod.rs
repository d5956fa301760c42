//! Replay of requests and their returns against the hosts of one service.
//!
//! Callers are a closed loop: a refused caller comes back as `Returns` says, with the time that it has left.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, AdmissionBuilder, Decision, Ticket};
use baobabreel_core::config::Class;
use baobabreel_core::retry::ToldTimes;

/// What a refused caller does.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Returns {
    /// Comes back once, after `Retry-After` if that is at most a third of the time that it has left.
    AsTold,
    /// Comes back at once, up to three times.
    AtOnce,
    /// Gives up.
    Never,
}

/// Requests of one kind; times in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Flow {
    pub route: &'static str,
    pub tenant: Option<&'static str>,
    pub nested: bool,
    pub class: Class,
    pub work: u64,
    pub target: u64,
    pub limit: u64,
    /// Requests per second.
    pub rate: f64,
    /// Factor of the rate from `Replay::surge_at` on.
    pub surge: f64,
    pub returns: Returns,
    pub value: f64,
}

impl Flow {
    /// A safe lookup of 65 ms of work.
    pub const LOOKUP: Self = Self {
        route: "lookup",
        tenant: None,
        nested: false,
        class: Class::Lookup,
        work: 65,
        target: 250,
        limit: 1_000,
        rate: 0.0,
        surge: 1.0,
        returns: Returns::AsTold,
        value: 1.0,
    };
}

/// What happened to the requests of one flow that were sent after the warm-up.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Outcome {
    pub offered: u32,
    /// Answered before the caller's time limit.
    pub served: u32,
    /// Sum of the use of the answers: 1 until the target, then falling to 0 at the limit.
    pub use_sum: f64,
    /// Refused at least once.
    pub refused: u32,
    /// Refused again after the caller had come back.
    pub refused_again: u32,
    /// Started after a wait in the queue.
    pub waited: u32,
}

impl Outcome {
    pub fn served_share(&self) -> f64 {
        f64::from(self.served) / f64::from(self.offered.max(1))
    }

    pub fn use_share(&self) -> f64 {
        self.use_sum / f64::from(self.offered.max(1))
    }

    fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.served += other.served;
        self.use_sum += other.use_sum;
        self.refused += other.refused;
        self.refused_again += other.refused_again;
        self.waited += other.waited;
    }
}

/// Sum over the outcomes.
pub fn total<'a>(outcomes: impl IntoIterator<Item = &'a Outcome>) -> Outcome {
    let mut sum = Outcome::default();
    outcomes.into_iter().for_each(|outcome| sum.add(outcome));
    sum
}

#[derive(Debug)]
struct Caller {
    flow: usize,
    sent: u64,
    returns: u32,
    /// What its entry daemon has told it; each caller has its own connection.
    told: ToldTimes,
    counted: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A running request ends: host, ticket.
    End(usize, u64),
    /// The next new request of a flow.
    Arrive(usize),
    /// A refused caller comes back.
    Return(usize),
}

/// Hosts with their queues, and the callers; times in microseconds.
pub struct Replay {
    hosts: Vec<Admission>,
    flows: Vec<Flow>,
    surge_at: u64,
    count_from: u64,
    end: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    callers: Vec<Caller>,
    /// Caller, work and time of sending of each ticket that waits or runs.
    tickets: HashMap<u64, (usize, u64, u64)>,
    now: u64,
    next: u64,
    random: u64,
    outcomes: Vec<Outcome>,
}

impl Replay {
    /// Replays `flows` for `secs` at `hosts` hosts; what is sent in the first `warm_up` seconds is not counted,
    /// and surges begin at their end.
    pub fn run(
        builder: &AdmissionBuilder,
        hosts: usize,
        flows: &[Flow],
        (warm_up, secs): (u64, u64),
        seed: u64,
    ) -> Vec<Outcome> {
        let mut replay = Self {
            hosts: (0..hosts).map(|_| builder.clone().build()).collect(),
            flows: flows.to_vec(),
            surge_at: warm_up * 1_000_000,
            count_from: warm_up * 1_000_000,
            end: secs * 1_000_000,
            events: BinaryHeap::new(),
            callers: Vec::new(),
            tickets: HashMap::new(),
            now: 0,
            next: 0,
            random: seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1,
            outcomes: vec![Outcome::default(); flows.len()],
        };
        for flow in 0..flows.len() {
            replay.schedule_arrival(flow);
        }
        while let Some(Reverse((at, _, event))) = replay.events.pop() {
            replay.now = at;
            match event {
                Event::End(host, ticket) => replay.finish(host, ticket),
                Event::Arrive(flow) => replay.arrive(flow),
                Event::Return(caller) => replay.send(caller),
            }
        }
        replay.outcomes
    }

    /// Xorshift; from 0 up to but not including 1.
    fn fraction(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }

    fn push(&mut self, at: u64, event: Event) {
        self.next += 1;
        self.events.push(Reverse((at, self.next, event)));
    }

    fn schedule_arrival(&mut self, flow: usize) {
        let kind = self.flows[flow];
        let rate = if self.now >= self.surge_at { kind.rate * kind.surge } else { kind.rate };
        let gap = -(1.0 - self.fraction()).ln() / rate * 1e6;
        let at = self.now + gap as u64;
        if at < self.end {
            self.push(at, Event::Arrive(flow));
        }
    }

    fn arrive(&mut self, flow: usize) {
        let counted = self.now >= self.count_from;
        self.outcomes[flow].offered += u32::from(counted);
        self.callers.push(Caller {
            flow,
            sent: self.now,
            returns: 0,
            told: ToldTimes::default(),
            counted,
        });
        self.send(self.callers.len() - 1);
        self.schedule_arrival(flow);
    }

    /// Host with a free slot among three at random, otherwise the least loaded of them.
    fn choose_host(&mut self) -> usize {
        let count = self.hosts.len() as f64;
        let some: Vec<usize> = (0..3).map(|_| (self.fraction() * count) as usize).collect();
        let load = |host: &usize| {
            let load = self.hosts[*host].load();
            load.running + load.queued
        };
        some.into_iter().min_by_key(load).unwrap_or_default()
    }

    fn send(&mut self, caller: usize) {
        let at = Duration::from_micros(self.now);
        if let Some(left) = self.callers[caller].told.time_left(0, at) {
            self.refuse_caller(caller, left);
            return;
        }
        let host = self.choose_host();
        let &Caller { flow, sent, .. } = &self.callers[caller];
        let kind = self.flows[flow];
        self.next += 1;
        let id = self.next;
        let work = (kind.work as f64 * 1e3 * (0.5 + self.fraction())) as u64;
        let ticket = Ticket {
            id,
            class: kind.class,
            route: kind.route,
            deadline: Duration::from_micros(sent + kind.limit * 1_000),
            target: Some(at + Duration::from_millis(kind.target)),
            tenant: kind.tenant,
            nested: kind.nested,
        };
        self.tickets.insert(id, (caller, work, self.now));
        let offer = self.hosts[host].offer(ticket, at);
        match offer.decision {
            Decision::Start => self.start(host, id),
            Decision::Queued => {}
            Decision::Refuse { retry_after, .. } => self.refuse(id, retry_after),
        }
        self.apply(host, offer.evicted);
    }

    fn apply(&mut self, host: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(host, id),
                Action::Refuse { id, retry_after, .. } => self.refuse(id, retry_after),
            }
        }
    }

    fn start(&mut self, host: usize, id: u64) {
        let (caller, work, sent) = self.tickets[&id];
        let &Caller { flow, counted, .. } = &self.callers[caller];
        self.outcomes[flow].waited += u32::from(counted && self.now > sent);
        self.push(self.now + work, Event::End(host, id));
    }

    fn finish(&mut self, host: usize, id: u64) {
        let (caller, ..) = self.tickets.remove(&id).expect("a request that runs");
        let &Caller { flow, sent, counted, .. } = &self.callers[caller];
        let kind = self.flows[flow];
        let took = (self.now - sent) as f64 / 1e3;
        if counted && took <= kind.limit as f64 {
            let outcome = &mut self.outcomes[flow];
            outcome.served += 1;
            let left = (kind.limit as f64 - took) / (kind.limit - kind.target) as f64;
            outcome.use_sum += left.min(1.0);
        }
        let actions = self.hosts[host].finish(id, Duration::from_micros(self.now));
        self.apply(host, actions);
    }

    fn refuse(&mut self, id: u64, retry_after: Duration) {
        let (caller, ..) = self.tickets.remove(&id).expect("a request that waits");
        self.refuse_caller(caller, retry_after);
    }

    fn refuse_caller(&mut self, number: usize, retry_after: Duration) {
        let now = Duration::from_micros(self.now);
        let caller = &mut self.callers[number];
        let kind = self.flows[caller.flow];
        let left = (caller.sent + kind.limit * 1_000).saturating_sub(self.now);
        let after = u64::try_from(retry_after.as_micros()).unwrap_or(u64::MAX);
        if caller.counted {
            let outcome = &mut self.outcomes[caller.flow];
            outcome.refused += u32::from(caller.returns == 0);
            outcome.refused_again += u32::from(caller.returns > 0);
        }
        caller.told.record_refused(0, now + retry_after, now);
        let back = match kind.returns {
            Returns::AsTold if caller.returns < 1 && after <= left / 3 => Some(after),
            Returns::AtOnce if caller.returns < 3 => Some(1_000),
            _ => None,
        };
        if let Some(after) = back {
            caller.returns += 1;
            self.push(self.now + after, Event::Return(number));
        }
    }
}
