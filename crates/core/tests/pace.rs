//! Tests of admission to a backend server that limits the rate of its requests.

use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, Decision, Ticket, TicketId};
use baobabreel_core::condition::RateLimit;
use baobabreel_core::config::Class;
use baobabreel_core::error::ErrorKind;
use quickcheck::QuickCheck;

/// Time between two events of a replayed load.
const STEP: Duration = Duration::from_millis(1);

/// Window in which starts are counted.
const WINDOW: Duration = Duration::from_secs(4);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limit(per_second: f64) -> RateLimit {
    RateLimit::try_from(per_second).expect("the rate is valid")
}

/// Replays a load millisecond by millisecond and records when requests start.
struct Replay {
    admission: Admission,
    now: Duration,
    run_time: Duration,
    /// Time that a request may take from its arrival.
    deadline: Duration,
    /// Whether the deadline is also the target of its latency.
    has_target: bool,
    next_id: TicketId,
    running: Vec<(TicketId, Duration)>,
    started: Vec<Duration>,
    refusals: Vec<ErrorKind>,
}

impl Replay {
    fn new(slots: u32, run_time: Duration, deadline: Duration) -> Self {
        Self {
            admission: Admission::builder().slots(slots).build(),
            now: ms(1_000),
            run_time,
            deadline,
            has_target: false,
            next_id: 0,
            running: Vec::new(),
            started: Vec::new(),
            refusals: Vec::new(),
        }
    }

    fn start(&mut self, id: TicketId) {
        self.running.push((id, self.now + self.run_time));
        self.started.push(self.now);
    }

    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(id),
                Action::Refuse { kind, .. } => self.refusals.push(kind),
            }
        }
    }

    fn set_limit(&mut self, limit: Option<RateLimit>) {
        let actions = self.admission.set_rate_limit(limit, self.now);
        self.apply(actions);
    }

    fn arrive(&mut self, class: Class) -> Decision {
        self.next_id += 1;
        let id = self.next_id;
        let deadline = self.now + self.deadline;
        let (route, tenant, nested) = ("r", None, false);
        let target = self.has_target.then_some(deadline);
        let ticket = Ticket { id, class, route, deadline, target, tenant, nested };
        let offer = self.admission.offer(ticket, self.now);
        self.apply(offer.evicted);
        match offer.decision {
            Decision::Start => self.start(id),
            Decision::Queued => {}
            Decision::Refuse { kind, .. } => self.refusals.push(kind),
        }
        offer.decision
    }

    /// Moves on by one step: requests end, and the timer of the rate limit fires.
    fn step(&mut self) {
        self.now += STEP;
        let now = self.now;
        let (ended, running) = self.running.drain(..).partition(|(_, end)| *end <= now);
        self.running = running;
        let ended: Vec<(TicketId, Duration)> = ended;
        for (id, _) in ended {
            let actions = self.admission.finish(id, now);
            self.apply(actions);
        }
        if self.admission.next_due().is_some_and(|due| due <= now) {
            let actions = self.admission.start_due(now);
            self.apply(actions);
        }
    }

    /// Most starts at or after `since` in any window.
    fn most_in_window(&self, since: Duration) -> usize {
        let counted: Vec<Duration> =
            self.started.iter().copied().filter(|at| *at >= since).collect();
        let in_window = |(first, from): (usize, &Duration)| {
            counted[first..].iter().take_while(|at| **at - *from <= WINDOW).count()
        };
        counted.iter().enumerate().map(in_window).max().unwrap_or_default()
    }
}

/// Most starts in any window at a limit: its requests, those of a quarter of a second more, and one.
fn allowed(per_second: f64) -> usize {
    (per_second * (WINDOW.as_secs_f64() + 0.25)) as usize + 1
}

/// Guards against more starts than a backend server allows, whatever the arrivals, the run times and the
/// limits, and against a limit that keeps requests from starting that it allows.
#[test]
fn starts_follow_the_limit() {
    fn check(per_second: u16, gap: u8, slots: u8, run: u8) -> bool {
        let per_second = f64::from(per_second % 400) / 4.0 + 1.0;
        let (gap, slots) = (u64::from(gap % 60) + 1, u32::from(slots % 30) + 1);
        let mut replay = Replay::new(slots, ms(u64::from(run)), ms(600));
        replay.set_limit(Some(limit(per_second)));
        let since = replay.now;
        for step in 0..10_000_u64 {
            if step % gap == 0 {
                replay.arrive(Class::Lookup);
            }
            replay.step();
        }
        let by_slots = f64::from(slots) * 1_000.0 / (f64::from(run) + 1.0);
        let demand = (1_000.0 / gap as f64).min(per_second).min(by_slots);
        replay.most_in_window(since) <= allowed(per_second)
            && replay.started.len() as f64 >= demand * 10.0 * 0.9 - 2.0
    }
    QuickCheck::new().tests(60).quickcheck(check as fn(u16, u8, u8, u8) -> bool);
}

/// Guards against changes of the limit that let requests start which neither limit allows.
#[test]
fn changes_of_the_limit_allow_no_extra_burst() {
    let mut replay = Replay::new(18, ms(50), ms(600));
    replay.set_limit(Some(limit(20.0)));
    let since = replay.now;
    for step in 0..12_000_u64 {
        if step % 500 == 0 {
            let per_second = if step % 1_000 == 0 { 20.0 } else { 10.0 };
            replay.set_limit(Some(limit(per_second)));
        }
        replay.arrive(Class::Lookup);
        replay.step();
    }
    let most = replay.most_in_window(since);
    assert!(most <= allowed(20.0), "{most} starts");
}

/// Guards against a limit that a little change in each response makes ineffective.
#[test]
fn limit_that_changes_with_each_response_is_kept() {
    let mut replay = Replay::new(18, ms(50), ms(600));
    replay.set_limit(Some(limit(20.0)));
    let since = replay.now;
    let mut ended = 0;
    for _ in 0..12_000_u64 {
        replay.arrive(Class::Lookup);
        replay.step();
        let responses = replay.started.len() - replay.running.len();
        if responses > ended {
            ended = responses;
            replay.set_limit(Some(limit(20.0 - (ended % 7) as f64 * 0.01)));
        }
    }
    let most = replay.most_in_window(since);
    assert!(most <= allowed(20.0), "{most} starts");
}

/// Guards against requests that wait at a limited backend server although they cannot start in time.
#[test]
fn request_that_the_limit_lets_start_too_late_is_refused_at_once() {
    let mut replay = Replay::new(18, ms(1), ms(600));
    replay.set_limit(Some(limit(1.0)));
    assert_eq!(replay.arrive(Class::Lookup), Decision::Start);
    let refused = replay.arrive(Class::Lookup);
    let Decision::Refuse { kind, retry_after } = refused else {
        panic!("not refused: {refused:?}");
    };
    assert_eq!(kind, ErrorKind::DeadlineUnreachable);
    assert!(retry_after >= ms(1_000), "{retry_after:?}");
}

/// Guards against a request that overtakes a queued one of a higher class when the limit allows a start.
#[test]
fn queued_request_of_a_higher_class_starts_first() {
    let mut replay = Replay::new(18, ms(1), ms(600));
    replay.has_target = true;
    replay.set_limit(Some(limit(4.0)));
    assert_eq!(replay.arrive(Class::Lookup), Decision::Start);
    assert_eq!(replay.arrive(Class::Command), Decision::Queued);
    replay.now += ms(260);
    // The timer has not fired yet.
    assert_eq!(replay.arrive(Class::Lookup), Decision::Queued);
    let actions = replay.admission.start_due(replay.now);
    assert_eq!(actions, [Action::Start(2)]);
}

/// Guards against a limited backend server that other daemons take for idle.
#[test]
fn backend_server_at_its_limit_counts_as_full() {
    let mut replay = Replay::new(18, ms(1), ms(600));
    assert!(replay.admission.has_free_slot(replay.now));
    replay.set_limit(Some(limit(2.0)));
    replay.arrive(Class::Lookup);
    replay.step();
    assert_eq!(replay.admission.load().running, 0);
    assert!(!replay.admission.has_free_slot(replay.now));
    assert_eq!(replay.admission.visible_load(replay.now).running, 18);
    replay.now += ms(500);
    assert!(replay.admission.has_free_slot(replay.now));
    assert_eq!(replay.admission.visible_load(replay.now).running, 0);
}

/// Guards against a limit of 0 that stays in force for ever because no request learns of its end, and
/// against a queue that does not move when the limit ends.
#[test]
fn limit_of_nothing_lets_single_requests_through_and_ends() {
    let mut replay = Replay::new(18, ms(1), ms(20_000));
    replay.has_target = true;
    replay.set_limit(Some(limit(0.0)));
    let since = replay.now;
    for _ in 0..8_000 {
        replay.arrive(Class::Lookup);
        replay.step();
    }
    assert_eq!(replay.most_in_window(since), 3);
    let queued = replay.admission.load().queued as usize;
    assert!(queued > 0, "no request waits");
    let started = replay.started.len();
    replay.set_limit(None);
    for _ in 0..queued {
        replay.step();
    }
    assert_eq!(replay.started.len(), started + queued, "a queued request did not start");
}

/// Guards against a panic or an endless wait on extreme limits and on changes between them.
#[test]
fn extreme_limits_and_changes_are_survived() {
    let mut replay = Replay::new(18, ms(1), ms(600));
    for per_second in [1e30, 1e12, 0.0, 1e30, 0.001, 1_000.0, 10.0] {
        replay.set_limit(Some(limit(per_second)));
        for _ in 0..2_500 {
            replay.arrive(Class::Lookup);
            replay.step();
        }
    }
    let started = replay.started.len();
    replay.set_limit(Some(limit(1_000.0)));
    for _ in 0..1_000 {
        replay.arrive(Class::Lookup);
        replay.step();
    }
    let early = replay.started.len();
    assert!(early > started);
    replay.set_limit(Some(limit(10.0)));
    for _ in 0..1_000 {
        replay.arrive(Class::Lookup);
        replay.step();
    }
    assert!(
        replay.started.len() >= early + 8,
        "requests are held up although the limit allows them"
    );
}
