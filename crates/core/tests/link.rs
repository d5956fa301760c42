//! Tests of the link budget, by a replay of uploads to one instance.

use std::time::Duration;

use baobabreel_core::config::Class;
use baobabreel_core::link::{
    BodyOffer, BodyRate, LinkBudget, LinkDecision, LinkUse, MessageDelay, Pacer, body_rate,
};

const LINK_BITS: u64 = 10_000_000;
const LINK_BYTES_PER_SEC: f64 = 1_250_000.0;

/// Largest piece that is sent at once.
const PIECE: usize = 8 * 1024;

/// Time in which an upload must have arrived.
const TIME_LIMIT: Duration = Duration::from_secs(2);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn offer(id: u64, bytes: u64, now: Duration) -> BodyOffer {
    BodyOffer {
        id,
        bytes,
        class: Class::Command,
        source: 0,
        not_before: now,
        arrive_by: now + TIME_LIMIT,
        max_wait: None,
    }
}

/// Uniform numbers from 0 to 1.
struct Random(u64);

impl Random {
    fn next(&mut self) -> f64 {
        self.0 =
            self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) as f64 / f64::from(1_u32 << 31)
    }
}

/// Length of an upload: 60 KB on average, 360 KB at most.
fn upload_bytes(random: &mut Random) -> u64 {
    ((-60_000.0 * (1.0 - random.next()).ln()) as u64).clamp(1_000, 360_000)
}

/// Result of a replay.
#[derive(Debug, Default)]
struct Replayed {
    offered: u32,
    granted: u32,
    offered_bytes: u64,
    arrived_bytes: u64,
    late: u32,
    /// Largest number of bytes that waited on the link when a short call came.
    longest_queue: f64,
}

/// Replays uploads at `per_sec(now)` for `time`, in steps of a millisecond. The link passes what senders have written
/// at its rate, in order.
fn replay(per_sec: impl Fn(Duration) -> f64, time: Duration, paced: bool) -> Replayed {
    let mut budget = LinkBudget::new(LINK_BITS);
    let mut random = Random(7);
    let mut result = Replayed::default();
    let mut sending: Vec<(u64, usize, Duration, Pacer, Duration)> = Vec::new();
    let mut queue = 0.0_f64;
    let mut id = 0;
    for step in 0..time.as_millis() as u64 {
        let now = ms(step);
        if random.next() < per_sec(now) / 1_000.0 {
            id += 1;
            let bytes = upload_bytes(&mut random);
            result.offered += 1;
            result.offered_bytes += bytes;
            let start = if paced {
                match budget.offer(&offer(id, bytes, now), now) {
                    LinkDecision::Grant { start } => Some(start),
                    LinkDecision::Wait(_) | LinkDecision::Refuse { .. } => None,
                }
            } else {
                Some(now)
            };
            if let Some(start) = start {
                result.granted += 1;
                let pacer = Pacer::new(body_rate(LINK_BITS));
                sending.push((id, bytes as usize, start, pacer, now + TIME_LIMIT));
            }
        }
        queue = (queue - LINK_BYTES_PER_SEC / 1_000.0).max(0.0);
        sending.retain_mut(|(id, left, next, pacer, arrive_by)| {
            while *left > 0 && *next <= now {
                budget.begin(*id, *left as u64);
                let piece = if paced { PIECE.min(*left) } else { *left };
                *left -= piece;
                queue += piece as f64;
                result.arrived_bytes += piece as u64;
                budget.arrived(*id, piece as u64);
                pacer.reserve(piece, *next);
                *next = pacer.reserve(0, *next);
            }
            if *left == 0 {
                budget.end(*id);
                result.late += u32::from(now > *arrive_by);
            }
            *left > 0
        });
        result.longest_queue = result.longest_queue.max(queue);
    }
    result
}

/// Guards against uploads that are refused although the link has room for all of them.
#[test]
fn uploads_at_rest_are_granted() {
    let result = replay(|_| 15.1, Duration::from_secs(60), true);
    assert!(f64::from(result.granted) >= 0.95 * f64::from(result.offered), "{result:?}");
    assert_eq!(result.late, 0, "{result:?}");
}

/// Guards against short calls that wait behind bodies in a burst of 2.4 times the usual uploads, and against a link
/// that is left idle meanwhile. A short call of 30 ms has 400 ms, so the link may delay it by a tenth of that.
#[test]
fn short_calls_pass_a_burst_of_uploads() {
    let burst = |now: Duration| if (ms(5_000)..ms(13_000)).contains(&now) { 36.2 } else { 15.1 };
    let result = replay(burst, Duration::from_secs(18), true);
    let longest_wait = result.longest_queue / LINK_BYTES_PER_SEC;
    assert!(longest_wait < 0.04, "{result:?}");
    assert_eq!(result.late, 0, "{result:?}");
    let used = replay(|_| 36.2, Duration::from_secs(20), true).arrived_bytes as f64 / 20.0;
    assert!(used > 0.9 * body_rate(LINK_BITS), "{used} bytes per second");
    // Without the budget the same load makes short calls miss their time limit.
    let unpaced = replay(burst, Duration::from_secs(18), false);
    assert!(unpaced.longest_queue / LINK_BYTES_PER_SEC > 0.4, "{unpaced:?}");
}

/// Guards against a class, a route or a tenant that gets nothing while others keep the link busy.
#[test]
fn low_classes_are_not_starved() {
    let mut budget = LinkBudget::new(LINK_BITS);
    let (mut low, mut low_offered) = (0, 0);
    let mut ending: Vec<(u64, Duration)> = Vec::new();
    for step in 0..10_000 {
        let now = ms(step * 4);
        ending.retain(|(id, end)| {
            if *end <= now {
                budget.end(*id);
            }
            *end > now
        });
        let is_low = step % 4 == 0;
        let class = if is_low { Class::Bulk } else { Class::Check };
        let body = BodyOffer { class, source: u64::from(is_low), ..offer(step, 60_000, now) };
        low_offered += u32::from(is_low);
        if let LinkDecision::Grant { start } = budget.offer(&body, now) {
            budget.begin(step, 60_000);
            ending.push((step, start + Duration::from_secs_f64(60_000.0 / body_rate(LINK_BITS))));
            low += u32::from(is_low);
        }
    }
    // The link carries a fourteenth of what is offered; a quarter of the share of all is the users' limit.
    assert!(f64::from(low) > f64::from(low_offered) / 14.0 / 4.0, "{low} of {low_offered}");
}

/// Guards against grants whose senders have died, which would keep the link from others for good.
#[test]
fn an_unused_grant_expires() {
    let mut budget = LinkBudget::new(LINK_BITS);
    assert!(matches!(budget.offer(&offer(1, 360_000, ms(0)), ms(0)), LinkDecision::Grant { .. }));
    assert_eq!(budget.backlog(), 360_000);
    let decision = budget.offer(&offer(2, 60_000, ms(1_000)), ms(1_000));
    assert_eq!(decision, LinkDecision::Grant { start: ms(1_000) });
    assert_eq!((budget.backlog(), budget.pending()), (60_000, 1));
}

/// Guards against an upload that is granted although it cannot arrive in time, and a `Retry-After` that sends all
/// refused callers back at the same time or before there is room.
#[test]
fn a_refusal_tells_when_there_is_room() {
    let mut budget = LinkBudget::new(LINK_BITS);
    let hurried = BodyOffer { arrive_by: ms(300), ..offer(1, 360_000, ms(0)) };
    assert!(matches!(budget.offer(&hurried, ms(0)), LinkDecision::Refuse { .. }));
    let mut id = 1;
    let first = loop {
        id += 1;
        if let LinkDecision::Refuse { retry_after } = budget.offer(&offer(id, 60_000, ms(0)), ms(0))
        {
            break retry_after;
        }
    };
    let LinkDecision::Refuse { retry_after: second } =
        budget.offer(&offer(id + 1, 60_000, ms(0)), ms(0))
    else {
        panic!("the link has room after a refusal");
    };
    assert!(second > first);
    // The bytes admitted so far arrive at the rate of bodies.
    let passed = first.as_secs_f64() * body_rate(LINK_BITS);
    for granted in 2..id {
        budget.begin(granted, 60_000);
    }
    let mut left = passed as u64;
    for granted in 2..id {
        let arrived = left.min(60_000);
        budget.arrived(granted, arrived);
        left -= arrived;
    }
    let again = budget.offer(&offer(id, 60_000, first), first);
    assert!(matches!(again, LinkDecision::Grant { .. }), "{again:?}");
}

/// Guards against bodies that all go to the first host that takes them, while others have idle links.
#[test]
fn a_short_wait_can_be_asked_for() {
    let mut budget = LinkBudget::new(LINK_BITS);
    budget.begin(1, 360_000);
    let body = BodyOffer { max_wait: Some(ms(50)), ..offer(2, 60_000, ms(0)) };
    assert!(matches!(budget.offer(&body, ms(0)), LinkDecision::Wait(_)));
    assert_eq!(budget.backlog(), 360_000);
    let start = budget.wait();
    let decision = budget.offer(&BodyOffer { max_wait: None, ..body }, ms(0));
    assert_eq!(decision, LinkDecision::Grant { start });
}

/// Time between two observations of a link.
const LOOK: Duration = Duration::from_millis(200);

/// Observes a link in constant use for a time, in parts of the link.
fn observe(
    rate: &mut BodyRate,
    time: Duration,
    (bodies, others): (f64, f64),
    delay: Option<Duration>,
) {
    let bytes = |share: f64| (share * LINK_BYTES_PER_SEC * LOOK.as_secs_f64()) as u64;
    for _ in 0..time.as_millis() / LOOK.as_millis() {
        let (body_bytes, other_bytes) = (bytes(bodies), bytes(others));
        rate.observe(&LinkUse { elapsed: LOOK, body_bytes, other_bytes, delay });
    }
}

/// Part of the link that bodies may use.
fn share(rate: &BodyRate) -> f64 {
    rate.bytes_per_sec() / LINK_BYTES_PER_SEC
}

/// Guards against bodies that use a fixed part of a link of which others need more than the rest.
#[test]
fn bodies_give_way_to_what_else_passes_the_link() {
    let mut rate = BodyRate::new(LINK_BITS);
    observe(&mut rate, ms(5_000), (0.4, 0.3), Some(ms(5)));
    assert!((0.5..=0.6).contains(&share(&rate)), "{rate:?}");
    observe(&mut rate, ms(5_000), (0.1, 0.9), Some(ms(5)));
    assert!(share(&rate) <= 0.15, "{rate:?}");
    observe(&mut rate, ms(5_000), (0.4, 0.02), Some(ms(5)));
    assert!(share(&rate) >= 0.75, "{rate:?}");
}

/// Guards against bodies that go on at their rate while control messages wait on the link that they fill, and against a
/// rate that stays low for long afterwards.
#[test]
fn bodies_slow_down_while_short_messages_are_late() {
    let mut rate = BodyRate::new(LINK_BITS);
    observe(&mut rate, ms(2_000), (0.75, 0.05), Some(ms(5)));
    let usual = share(&rate);
    observe(&mut rate, ms(1_000), (0.75, 0.05), Some(ms(80)));
    assert!(share(&rate) <= 0.4 * usual, "{rate:?}");
    observe(&mut rate, ms(10_000), (0.75, 0.05), Some(ms(80)));
    assert!((0.05..=0.15).contains(&share(&rate)), "{rate:?}");
    observe(&mut rate, ms(4_000), (0.3, 0.05), Some(ms(5)));
    assert!(share(&rate) >= 0.95 * usual, "{rate:?}");
}

/// Guards against bodies that are slowed down for delays of which they cannot be the cause.
#[test]
fn bodies_keep_their_rate_while_the_link_is_not_busy() {
    let mut rate = BodyRate::new(LINK_BITS);
    observe(&mut rate, ms(10_000), (0.3, 0.1), Some(ms(400)));
    assert!(share(&rate) >= 0.7, "{rate:?}");
    rate.observe(&LinkUse { elapsed: Duration::ZERO, body_bytes: 1, other_bytes: 1, delay: None });
    assert!(rate.bytes_per_sec().is_finite(), "{rate:?}");
}

/// Guards against a budget that grants by its first rate after the link has become slower for bodies.
#[test]
fn grants_follow_the_rate() {
    let mut link = LinkBudget::new(LINK_BITS);
    let granted = link.offer(&offer(1, 90_000, Duration::ZERO), Duration::ZERO);
    assert_eq!(granted, LinkDecision::Grant { start: Duration::ZERO });
    link.set_rate(0.1 * LINK_BYTES_PER_SEC);
    // 90 KB at 125 KB/s.
    let next = link.offer(&offer(2, 50_000, Duration::ZERO), Duration::ZERO);
    assert_eq!(next, LinkDecision::Grant { start: ms(720) });
    let late = link.offer(&offer(3, 200_000, Duration::ZERO), Duration::ZERO);
    assert!(matches!(late, LinkDecision::Refuse { .. }), "{late:?}");
}

/// Guards against a delay that is seen only as long as some message is answered: on a full link none is.
#[test]
fn messages_without_an_answer_are_delayed() {
    let mut delay = MessageDelay::default();
    assert_eq!(delay.observe(LOOK, None, 0), None, "no messages");
    assert_eq!(delay.observe(LOOK, Some(ms(10)), 3), Some(ms(0)), "one of them was answered");
    let lost = delay.observe(LOOK, None, 3).expect("messages were lost");
    let mut rate = BodyRate::new(LINK_BITS);
    let before = rate.bytes_per_sec();
    observe(&mut rate, ms(2_000), (0.75, 0.05), Some(lost));
    assert!(rate.bytes_per_sec() < before, "{rate:?} after a delay of {lost:?}");
}

/// Guards against a distant peer that counts as a delay for good, and against a delay that becomes usual within the time
/// of a burst.
#[test]
fn delay_is_that_over_the_usual_time() {
    let mut delay = MessageDelay::default();
    assert_eq!(delay.observe(LOOK, Some(ms(80)), 0), Some(ms(0)), "a distant peer");
    assert_eq!(delay.observe(LOOK, Some(ms(10)), 0), Some(ms(0)));
    let mut late = |quickest| delay.observe(LOOK, Some(quickest), 0).expect("there are messages");
    for _ in 0..50 {
        assert!(late(ms(100)) >= ms(80), "after ten seconds the delay still counts");
    }
    // The path has become longer.
    let mut looks = 0;
    while late(ms(100)) > ms(0) {
        looks += 1;
        assert!(looks < 5 * 600, "after ten minutes the longer time is not usual");
    }
}
