//! Guards the promises of grants: what is granted stays within its share, and a holder has stopped
//! before its slots are given to others.

use std::time::Duration;

use baobabreel_core::grant::{Ask, Asked, Conditions, GRANT_TIME, Holder, Ledger, RENEW_INTERVAL};
use quickcheck::{Arbitrary, Gen, QuickCheck};

/// Slots that allow grants of 1, 2 and 4 connections.
const SLOTS: [u32; 3] = [10, 64, 128];

const HOLDERS: [&str; 3] = ["h0", "h1", "h2"];

/// Most time that a message takes to arrive, longer than a grant lasts.
const MAX_DELAY_MS: u64 = 3_000;

/// Drives `steps` random steps of three holders and one ledger, with messages that are delayed,
/// reordered and lost, and holders that are paused.
struct World {
    g: Gen,
    now: Duration,
    ledger: Ledger,
    holders: Vec<Holder>,
    /// Calls in flight by holder.
    calls: Vec<u32>,
    /// Arrival, holder, question, and its answer on the way back.
    messages: Vec<(Duration, usize, Ask, Option<u32>)>,
    conditions: Conditions,
    /// Time since which the backend server is not able.
    unable_since: Option<Duration>,
    granted: u32,
}

impl World {
    fn below(&mut self, limit: u64) -> u64 {
        u64::arbitrary(&mut self.g) % limit
    }

    fn pass(&mut self, most_ms: u64) {
        let passed = self.below(most_ms);
        self.now += Duration::from_millis(passed);
    }

    fn send(&mut self, holder: usize, ask: Ask, answer: Option<u32>) {
        if self.below(10) < 7 {
            let most = if self.below(4) == 0 { MAX_DELAY_MS } else { 20 };
            let at = self.now + Duration::from_millis(self.below(most));
            self.messages.push((at, holder, ask, answer));
        }
    }

    fn deliver(&mut self) {
        let due = self.messages.iter().position(|message| message.0 <= self.now);
        let Some((_, holder, ask, answer)) = due.map(|at| self.messages.remove(at)) else { return };
        if let Some(connections) = answer {
            self.holders[holder].answered(&ask, connections, self.now);
            return;
        }
        let asked = Asked {
            holder: HOLDERS[holder],
            incarnation: 1,
            sequence: ask.sequence,
            want: ask.want,
            busy: ask.busy,
        };
        let connections = self.ledger.ask(asked, self.conditions, self.now);
        let share = self.conditions.slots / 4;
        assert!(connections == 0 || self.conditions.able && self.conditions.queued == 0);
        assert!(connections == 0 || self.ledger.reserved(self.now) <= share, "over the share");
        self.granted += connections;
        self.send(holder, ask, Some(connections));
    }

    fn step(&mut self) {
        let holder = self.below(3) as usize;
        match self.below(12) {
            0..=3 => self.deliver(),
            4 | 5 => self.pass(300),
            // A paused holder takes no step meanwhile.
            6 => self.pass(2_500),
            7 => {
                let ask = self.holders[holder].want("catalogue", "host", 1, self.now);
                ask.into_iter().for_each(|ask| self.send(holder, ask, None));
            }
            8 => {
                for ask in self.holders[holder].tick(self.now) {
                    self.send(holder, ask, None);
                }
            }
            9 => self.start_call(holder),
            10 if self.calls[holder] > 0 => {
                self.calls[holder] -= 1;
                self.holders[holder].release("host", 1);
            }
            11 => {
                self.conditions.able = self.below(3) > 0;
                self.conditions.queued = u32::from(self.below(4) == 0);
                self.conditions.running = self.below(20) as u32;
                if self.conditions.able {
                    self.unable_since = None;
                } else {
                    self.unable_since.get_or_insert(self.now);
                }
            }
            _ => {}
        }
    }

    fn start_call(&mut self, holder: usize) {
        if self.holders[holder].take("catalogue", self.now, |_, _| true).is_none() {
            return;
        }
        let unable = self.unable_since.map(|since| self.now - since);
        assert!(unable.is_none_or(|unable| unable < GRANT_TIME), "withdrawn {unable:?} ago");
        self.calls[holder] += 1;
        let reserved = self.ledger.granted_to(HOLDERS[holder], self.now);
        assert!(reserved >= self.calls[holder], "a call on a slot that others may use");
    }
}

fn run(seed: u64) -> u32 {
    let mut world = World {
        g: Gen::from_size_and_seed(100, seed),
        now: Duration::from_secs(10),
        ledger: Ledger::default(),
        holders: (0..3).map(|_| Holder::default()).collect(),
        calls: vec![0; 3],
        messages: Vec::new(),
        conditions: Conditions {
            able: true,
            slots: SLOTS[seed as usize % 3],
            running: 0,
            queued: 0,
        },
        unable_since: None,
        granted: 0,
    };
    for _ in 0..400 {
        world.step();
    }
    world.granted
}

/// Guards against granted calls after a withdrawal that the holder has not heard of, against calls
/// on slots that the granting daemon has already given to others, and against grants over a quarter
/// of the slots, also when messages are late, lost or out of order.
#[test]
fn holders_stop_before_their_slots_are_used_by_others() {
    let mut granted = 0;
    for seed in 0..300 {
        granted += run(seed);
    }
    assert!(granted > 300, "the runs grant something: {granted}");
}

fn ask_of(ask: &Ask) -> Asked<'_> {
    Asked { holder: "h0", incarnation: 1, sequence: ask.sequence, want: ask.want, busy: ask.busy }
}

/// Guards against a call after a pause that outlasted the grant, whatever the length of the pause and
/// however late the answer came.
#[test]
fn a_paused_holder_makes_no_call_when_it_wakes() {
    fn check(delay_ms: u16, pause_ms: u16) -> bool {
        let (asked, free) =
            (Duration::from_secs(1), Conditions { able: true, slots: 10, running: 0, queued: 0 });
        let (mut holder, mut ledger) = (Holder::default(), Ledger::default());
        let ask = holder.want("catalogue", "host", 1, asked).expect("a question");
        let connections = ledger.ask(ask_of(&ask), free, asked);
        let heard = asked + Duration::from_millis(delay_ms.into());
        holder.answered(&ask, connections, heard);
        let woken = heard + Duration::from_millis(pause_ms.into());
        let taken = holder.take("catalogue", woken, |_, _| true);
        taken.is_some() == (woken < asked + GRANT_TIME)
    }
    QuickCheck::new().tests(2_000).quickcheck(check as fn(u16, u16) -> bool);
}

/// Guards against a further call on a grant whose return was announced while a call was in flight:
/// the granting daemon keeps the slots of the calls that it was told of only.
#[test]
fn a_returned_grant_takes_no_further_call() {
    let free = Conditions { able: true, slots: 128, running: 0, queued: 0 };
    let (mut holder, mut ledger) = (Holder::default(), Ledger::default());
    let mut now = Duration::from_secs(1);
    let first = holder.want("catalogue", "host", 1, now).expect("a question");
    let connections = ledger.ask(ask_of(&first), free, now);
    assert_eq!(connections, 4);
    holder.answered(&first, connections, now);
    let taken = holder.take("catalogue", now, |_, _| true);
    assert_eq!(taken, Some(("host".to_owned(), 1)));
    for (want, kept) in [(true, 4), (false, 1)] {
        now += RENEW_INTERVAL;
        let asks = holder.tick(now);
        assert_eq!((asks.len(), asks[0].want, asks[0].busy), (1, want, 1));
        let connections = ledger.ask(ask_of(&asks[0]), free, now);
        assert_eq!(ledger.granted_to("h0", now), kept);
        if want {
            holder.answered(&asks[0], connections, now);
        }
    }
    assert_eq!(holder.take("catalogue", now, |_, _| true), None);
}
