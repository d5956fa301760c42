//! A mesh of simulated daemons that keep the quota of one tenant.

use std::collections::VecDeque;
use std::time::Duration;

use baobabreel_core::membership::{MemberState, Members};
use baobabreel_core::quota::*;
use baobabreel_core::rendezvous::first;
use baobabreel_core::tenants::Quota;

use crate::support::member;

/// Number of daemons, and of their data centres.
pub const DAEMONS: usize = 9;
pub const CENTRES: usize = 3;
/// Time between two steps.
pub const STEP: Duration = Duration::from_millis(10);
pub const BOUNDS: Bounds = Bounds { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };

const TENANT: &str = "tenant-1";
/// Time after which others suspect a member that does not answer, declare it dead, and hear that it is back.
const SUSPECT_AFTER: Duration = Duration::from_millis(1_200);
const DEAD_AFTER: Duration = Duration::from_millis(4_200);
const BACK_AFTER: Duration = Duration::from_millis(400);
/// Largest difference between the times at which two daemons hear of the same change.
const SPREAD_STEPS: usize = 30;

/// Something that happens to the mesh.
#[derive(Debug, Clone)]
pub enum Disturbance {
    /// Two data centres that do not reach each other; both reach the third one.
    CutLink {
        between: (usize, usize),
        time: Duration,
    },
    Cut {
        centre: usize,
        time: Duration,
    },
    Pause {
        daemon: usize,
        time: Duration,
    },
    Crash {
        daemon: usize,
        time: Duration,
    },
    Leave {
        daemon: usize,
        time: Duration,
    },
    /// All others suspect a daemon that runs, and later hear that it does.
    Suspect {
        daemon: usize,
        time: Duration,
    },
    CrashAll {
        time: Duration,
    },
    /// The tenant sends this many times its rate at some of the daemons, evenly.
    Load {
        factor: f64,
        at: Vec<usize>,
    },
    Limit {
        per_sec: f64,
    },
}

#[derive(Debug)]
struct Daemon {
    accounts: Accounts,
    allowances: Allowances,
    down_until: Duration,
    /// Whether the daemon starts anew when it is up again; a paused one goes on.
    restarts: bool,
    down_since: Duration,
    up_since: Duration,
    has_left: bool,
    suspected_until: Duration,
    incarnation: u64,
    /// Requests that are due, in parts of one.
    due: f64,
}

pub struct Mesh {
    pub quota: Quota,
    pub refused: usize,
    daemons: Vec<Daemon>,
    /// Time until which each data centre is cut off.
    cut_until: [Duration; CENTRES],
    link_cut: ((usize, usize), Duration),
    load: (f64, Vec<usize>),
    sent: Vec<Duration>,
    limits: Vec<(Duration, Quota)>,
}

fn id(daemon: usize) -> String {
    member(daemon, daemon % CENTRES).id
}

fn start(daemon: usize, now: Duration) -> (Accounts, Allowances) {
    let own = member(daemon, daemon % CENTRES);
    (Accounts::new(own.id, own.data_centre, BOUNDS, now), Allowances::new(BOUNDS))
}

impl Mesh {
    pub fn new(quota: Quota) -> Self {
        let new_daemon = |daemon| {
            let (accounts, allowances) = start(daemon, Duration::ZERO);
            Daemon {
                accounts,
                allowances,
                down_until: Duration::ZERO,
                restarts: false,
                down_since: Duration::ZERO,
                up_since: Duration::ZERO,
                has_left: false,
                suspected_until: Duration::ZERO,
                incarnation: 1_000,
                // Daemons do not all send at the same moment.
                due: daemon as f64 / DAEMONS as f64,
            }
        };
        let mut mesh = Self {
            quota,
            refused: 0,
            daemons: (0..DAEMONS).map(new_daemon).collect(),
            cut_until: [Duration::ZERO; CENTRES],
            link_cut: ((0, 0), Duration::ZERO),
            load: (0.0, Vec::new()),
            sent: Vec::new(),
            limits: vec![(Duration::ZERO, quota)],
        };
        for daemon in 0..DAEMONS {
            mesh.update_members(daemon, Duration::ZERO);
        }
        mesh
    }

    /// The daemon that ranks first for the tenant.
    pub fn holder(&self) -> usize {
        self.holder_without(CENTRES)
    }

    /// The daemon that ranks first for the tenant outside a data centre.
    pub fn holder_without(&self, centre: usize) -> usize {
        let daemons: Vec<usize> = (0..DAEMONS).filter(|i| i % CENTRES != centre).collect();
        let ids: Vec<String> = daemons.iter().copied().map(id).collect();
        let first = first(TENANT.as_bytes(), ids.iter().map(String::as_str));
        let index = ids.iter().position(|id| Some(id.as_str()) == first);
        daemons[index.expect("a holder")]
    }

    pub fn reserve_parts(&self, tenant: &str) -> impl Iterator<Item = u32> {
        self.daemons.iter().map(|daemon| daemon.accounts.reserve_part(tenant, &self.quota))
    }

    fn is_up(&self, daemon: usize, now: Duration) -> bool {
        now >= self.daemons[daemon].down_until
    }

    fn is_linked(&self, a: usize, b: usize, now: Duration) -> bool {
        let (a, b) = (a % CENTRES, b % CENTRES);
        let ((c, d), until) = self.link_cut;
        let is_cut = now < until && ((a, b) == (c, d) || (a, b) == (d, c));
        a == b || (!is_cut && now >= self.cut_until[a] && now >= self.cut_until[b])
    }

    /// Members as `observer` knows them: changes arrive late, at each daemon at another time. A data centre that is
    /// cut off stays live, since the membership takes long to find out.
    fn update_members(&mut self, observer: usize, now: Duration) {
        let mut members = Members::default();
        for (index, other) in self.daemons.iter().enumerate() {
            let mut statement = member(index, index % CENTRES);
            statement.incarnation = other.incarnation;
            let spread = STEP * (((observer * 7 + index * 13) % SPREAD_STEPS) as u32);
            let down_for = now.saturating_sub(other.down_since + spread);
            let up_for = now.saturating_sub(other.up_since + spread);
            let was_down = other.down_since > Duration::ZERO;
            let seems_down = was_down && (now < other.down_until || up_for < BACK_AFTER);
            statement.state = match () {
                () if index != observer && now < other.suspected_until => MemberState::Suspect,
                () if index == observer || !seems_down => MemberState::Ready,
                () if other.has_left => MemberState::Left,
                () if down_for > DEAD_AFTER => MemberState::Dead,
                () if down_for > SUSPECT_AFTER => MemberState::Suspect,
                () => MemberState::Ready,
            };
            members.merge(statement);
        }
        self.daemons[observer].accounts.set_members(&members, now);
    }

    fn disturb(&mut self, event: &Disturbance, now: Duration) {
        let mut stop = |daemon: usize, time: Duration, restarts: bool, has_left: bool| {
            let daemon = &mut self.daemons[daemon];
            if now < daemon.down_until {
                return;
            }
            (daemon.down_since, daemon.down_until) = (now, now + time);
            daemon.up_since = now + time;
            (daemon.restarts, daemon.has_left) = (restarts, has_left);
        };
        match *event {
            Disturbance::Cut { centre, time } => self.cut_until[centre] = now + time,
            Disturbance::CutLink { between, time } => self.link_cut = (between, now + time),
            Disturbance::Pause { daemon, time } => stop(daemon, time, false, false),
            Disturbance::Crash { daemon, time } => stop(daemon, time, true, false),
            Disturbance::Leave { daemon, time } => stop(daemon, time, true, true),
            Disturbance::CrashAll { time } => {
                (0..DAEMONS).for_each(|daemon| stop(daemon, time, true, false));
            }
            Disturbance::Suspect { daemon, time } => {
                self.daemons[daemon].suspected_until = now + time;
            }
            Disturbance::Load { factor, ref at } => self.load = (factor, at.clone()),
            Disturbance::Limit { per_sec } => {
                self.quota.per_sec = per_sec;
                self.limits.push((now, self.quota));
            }
        }
    }

    pub fn run(&mut self, events: &[(Duration, Disturbance)], end: Duration) {
        let mut events: VecDeque<_> = events.iter().collect();
        let mut now = Duration::ZERO;
        for step in 0.. {
            now += STEP;
            if now >= end {
                return;
            }
            while let Some((_, event)) = events.front().filter(|(at, _)| *at <= now) {
                self.disturb(event, now);
                events.pop_front();
            }
            for daemon in 0..DAEMONS {
                if !self.is_up(daemon, now) {
                    continue;
                }
                if std::mem::take(&mut self.daemons[daemon].restarts) {
                    let (accounts, allowances) = start(daemon, now);
                    let known = &mut self.daemons[daemon];
                    (known.accounts, known.allowances) = (accounts, allowances);
                    known.incarnation += 1;
                }
                if (step + daemon) % 10 == 0 {
                    self.update_members(daemon, now);
                    self.keep_contact(daemon, step, now);
                }
            }
            let (factor, at) = self.load.clone();
            let count = factor * self.quota.per_sec * STEP.as_secs_f64();
            for daemon in &at {
                self.send_part(*daemon, count / at.len() as f64, now);
            }
        }
    }

    fn keep_contact(&mut self, daemon: usize, step: usize, now: Duration) {
        self.daemons[daemon].accounts.advance(now);
        let random = (step * 31 + daemon) as u64;
        let due: Vec<String> = self.daemons[daemon]
            .accounts
            .contacts()
            .due(now, random)
            .into_iter()
            .cloned()
            .collect();
        for to in due {
            let to = (0..DAEMONS).find(|other| id(*other) == to).expect("a daemon");
            self.exchange(daemon, to, None, now);
        }
    }

    /// Asks `to` for tokens; the answer takes no time in the simulation.
    fn exchange(
        &mut self,
        from: usize,
        to: usize,
        ask: Option<Ask>,
        now: Duration,
    ) -> Option<Decision> {
        if !self.is_up(to, now) || !self.is_linked(from, to, now) {
            return None;
        }
        let quota = self.quota;
        let seen = self.daemons[from].accounts.sighting(&id(to));
        let holder = &mut self.daemons[to].accounts;
        holder.on_message(&id(from), seen, now);
        let decision = ask.map(|ask| holder.grant(TENANT, quota, &id(from), ask, now));
        let seen = holder.sighting(&id(from));
        self.daemons[from].accounts.on_message(&id(to), seen, now);
        decision
    }

    /// Sends `count` requests, which may be a part of one, at a daemon.
    fn send_part(&mut self, daemon: usize, count: f64, now: Duration) {
        self.daemons[daemon].due += count;
        while self.daemons[daemon].due >= 1.0 {
            self.daemons[daemon].due -= 1.0;
            if self.is_up(daemon, now) {
                self.send(daemon, now);
            }
        }
    }

    fn send(&mut self, daemon: usize, now: Duration) {
        if self.spends(daemon, now) {
            self.sent.push(now);
        } else {
            self.refused += 1;
        }
    }

    /// As the entry daemon does.
    fn spends(&mut self, daemon: usize, now: Duration) -> bool {
        let entry = &mut self.daemons[daemon];
        entry.accounts.advance(now);
        let allowance = entry.allowances.tenant(TENANT);
        allowance.on_arrival(now);
        if allowance.take(now).is_some() {
            self.ask(daemon, now);
            return true;
        }
        if allowance.refused_for(now).is_some() {
            return false;
        }
        if !allowance.is_silent(now) {
            allowance.begin_wait();
            self.ask(daemon, now);
            let allowance = self.daemons[daemon].allowances.tenant(TENANT);
            allowance.end_wait();
            if allowance.take(now).is_some() {
                return true;
            }
        }
        let entry = &mut self.daemons[daemon];
        let allowance = entry.allowances.tenant(TENANT);
        let part = entry.accounts.reserve_part(TENANT, &self.quota);
        allowance.is_silent(now) && allowance.take_reserve(part, BOUNDS.window, now).is_some()
    }

    /// Asks the holder for the tokens that a daemon needs.
    fn ask(&mut self, daemon: usize, now: Duration) {
        let entry = &mut self.daemons[daemon];
        let holder = entry.accounts.holder(TENANT).map(str::to_owned);
        let holder = (0..DAEMONS).find(|other| holder.as_deref() == Some(&id(*other)));
        let Some((_, ask)) = entry.allowances.asks(|_| true, now).pop() else { return };
        let decision = match holder {
            Some(holder) if holder == daemon => {
                Some(entry.accounts.grant(TENANT, self.quota, &id(daemon), ask, now))
            }
            Some(holder) => self.exchange(daemon, holder, Some(ask), now),
            None => None,
        };
        let decision = decision.unwrap_or(Decision::NotHeld);
        let allowance = self.daemons[daemon].allowances.tenant(TENANT);
        allowance.on_decision(ask, decision, BOUNDS.lease(), now, now);
    }

    pub fn sent_between(&self, from: Duration, to: Duration) -> usize {
        self.sent.iter().filter(|at| (from..to).contains(at)).count()
    }

    /// Checks every window that begins with a request. A lower limit binds from a window after its change on.
    pub fn check_bound(&self) -> Result<(), String> {
        let mut end = 0;
        for (index, from) in self.sent.iter().enumerate() {
            let to = *from + BOUNDS.window;
            while self.sent.get(end).is_some_and(|at| *at < to) {
                end += 1;
            }
            let changed = self.limits.iter().enumerate().filter(|(i, (at, _))| {
                let until = self.limits.get(i + 1).map_or(Duration::MAX, |(at, _)| *at);
                *at < to && until > from.saturating_sub(BOUNDS.window)
            });
            let per_sec = changed.map(|(_, (_, quota))| quota.per_sec).fold(0.0, f64::max);
            let allowed = per_sec * BOUNDS.window.as_secs_f64() + self.quota.burst;
            let bound = allowed * (1.0 + BOUNDS.overage) + BOUNDS.slack;
            if (end - index) as f64 > bound {
                return Err(format!("{} requests from {from:?} on, {bound} allowed", end - index));
            }
        }
        Ok(())
    }
}
