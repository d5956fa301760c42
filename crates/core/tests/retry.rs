//! Tests the limits on retries, hedged requests and repeated reads.

use std::time::Duration;

use baobabreel_core::retry::{
    Attempt, Backoff, Failure, LatencyEstimate, ReadSize, RetryBudget, RetryDecision, StopReason,
    decide_retry, hedge_delay,
};
use quickcheck::{Gen, QuickCheck};

const FIRST_ATTEMPT: Attempt = Attempt {
    idempotent: true,
    number: 1,
    marked_as_retry: false,
    remaining: Duration::from_secs(1),
    max_retries: 3,
};

/// Guards against retries that multiply the load in an outage, and against a budget that allows none.
#[test]
fn budget_bounds_retries_for_any_sequence() {
    fn property(events: Vec<(bool, u16)>) -> bool {
        let start = Duration::from_secs(77);
        let mut budget = RetryBudget::new(0.1, 5);
        let (mut now, mut requests, mut retries) = (start, 0_u64, 0_u64);
        for (is_request, gap) in events {
            now += Duration::from_micros(u64::from(gap) * 4);
            if is_request {
                requests += 1;
                budget.on_request(now);
            } else {
                retries += u64::from(budget.try_take(now));
            }
            let micros = (now - start).as_micros() as u64;
            assert!(retries * 1_000_000 <= 5_000_000 + requests * 100_000 + micros);
        }
        budget.available() <= 5
    }
    let seeded = QuickCheck::new().rng(Gen::from_size_and_seed(1_000, 2));
    let mut check = seeded.tests(200);
    check.quickcheck(property as fn(Vec<(bool, u16)>) -> bool);
    // First the burst, then one retry a second without requests, then a tenth of the requests on top.
    let mut budget = RetryBudget::new(0.1, 5);
    for (secs, requests, expected) in [(0, 0, 5), (2, 0, 2), (2, 30, 3)] {
        let now = Duration::from_secs(secs);
        (0..requests).for_each(|_| budget.on_request(now));
        let taken = (0..100).filter(|_| budget.try_take(now)).count();
        assert_eq!(taken, expected);
    }
}

/// Guards against a second run of a request that is not idempotent, and against retries of retries.
#[test]
fn retry_depends_on_failure_mark_count_and_time() {
    use RetryDecision::{Retry, Stop};
    use StopReason::{AttemptsUsed, MarkedAsRetry, NoTime, NotIdempotent};
    let attempt_with = |idempotent, number, marked_as_retry, ms| Attempt {
        idempotent,
        number,
        marked_as_retry,
        remaining: Duration::from_millis(ms),
        max_retries: 2,
    };
    for (attempt, expected) in [
        (attempt_with(true, 2, false, 2), [Retry; 2]),
        (attempt_with(false, 2, false, 2), [Retry, Stop(NotIdempotent)]),
        (attempt_with(true, 1, true, 9), [Stop(MarkedAsRetry); 2]),
        (attempt_with(true, 3, false, 9), [Stop(AttemptsUsed); 2]),
        (attempt_with(true, 1, false, 1), [Stop(NoTime); 2]),
    ] {
        let decided = [Failure::NotRun, Failure::MayHaveRun].map(|f| decide_retry(&attempt, f));
        assert_eq!(decided, expected);
    }
}

/// Calls a chain of services, one for each of `budgets`, whose last call always fails; adds the attempts that
/// reach the end to `leaf`.
fn call_chain(budgets: &mut [RetryBudget], marked: bool, now: Duration, leaf: &mut u64) {
    let Some((budget, rest)) = budgets.split_first_mut() else {
        *leaf += 1;
        return;
    };
    budget.on_request(now);
    let mut attempt = FIRST_ATTEMPT;
    attempt.marked_as_retry = marked;
    call_chain(rest, marked, now, leaf);
    while decide_retry(&attempt, Failure::NotRun) == RetryDecision::Retry && budget.try_take(now) {
        attempt.number += 1;
        call_chain(rest, true, now, leaf);
    }
}

/// Guards against retries at each of 7 hops multiplying to 4^7 attempts for one request.
#[test]
fn retries_in_a_chain_of_seven_hops_stay_within_the_budgets() {
    let mut budgets = vec![RetryBudget::new(0.1, 5); 7];
    let mut first = 0;
    call_chain(&mut budgets, false, Duration::ZERO, &mut first);
    assert_eq!(first, 1 + 7 * 3, "the retries of the hops must add up, not multiply");
    let (requests, secs, mut leaf) = (10_000, 10, 0);
    for n in 0..requests {
        call_chain(&mut budgets, false, Duration::from_millis(n), &mut leaf);
    }
    let per_hop = 5 + (requests + leaf) / 10 + secs;
    assert!(leaf <= requests + 7 * per_hop && leaf < 3 * requests, "{leaf}");
}

/// Guards against hedged requests that are not idempotent, are retries, have too little time left, come
/// before the 95th percentile or without data.
#[test]
fn hedges_after_the_95th_percentile() {
    let ms = Duration::from_millis;
    let mut estimate = LatencyEstimate::default();
    for n in 0..20 {
        assert_eq!(hedge_delay(&FIRST_ATTEMPT, &estimate, None), None);
        estimate.observe(ms(if n == 0 { 200 } else { 10 }));
    }
    let delay = hedge_delay(&FIRST_ATTEMPT, &estimate, None).expect("20 latencies were observed");
    assert!((ms(10)..ms(12)).contains(&delay), "{delay:?}");
    let mut others = [FIRST_ATTEMPT; 4];
    others[0].marked_as_retry = true;
    others[1].idempotent = false;
    others[2].number = 2;
    others[3].remaining = delay;
    assert_eq!(others.map(|a| hedge_delay(&a, &estimate, None)), [None; 4]);
    // The estimate follows a change within a few thousand responses.
    for (count, latency) in [(10_000, 100), (3_000, 10)] {
        (0..count).for_each(|_| estimate.observe(ms(latency)));
        let moved = estimate.percentile(95).expect("latencies were observed");
        assert!((ms(latency)..ms(latency * 6 / 5)).contains(&moved), "{moved:?}");
    }
}

/// Latency in milliseconds of one response: usually 100 to 200, seven times as long for one of 33.
fn straggling_latency(random: &mut u64) -> u64 {
    *random =
        random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    let usual = 100 + (*random >> 33) % 101;
    if (*random >> 20).is_multiple_of(33) { usual * 7 } else { usual }
}

/// Guards against hedges that leave so late that they cannot save the target, and against hedges of
/// requests that are not slow.
///
/// The load pattern: a route with a target latency of four times the usual one, where a few runs take
/// many times as long as the others.
#[test]
fn hedges_of_stragglers_meet_the_target() {
    const TARGET: Duration = Duration::from_millis(600);
    const REQUESTS: usize = 5_000;
    let mut random = 7;
    let mut estimate = LatencyEstimate::default();
    let (mut late, mut late_without_hedges, mut hedges) = (0, 0, 0);
    for _ in 0..REQUESTS {
        let first = Duration::from_millis(straggling_latency(&mut random));
        let attempt = Attempt { remaining: 2 * TARGET, ..FIRST_ATTEMPT };
        let delay = hedge_delay(&attempt, &estimate, Some(TARGET)).filter(|delay| *delay < first);
        let second = Duration::from_millis(straggling_latency(&mut random));
        // The time of the response, and the latency of the attempt that it came from.
        let (ended, latency) = match delay {
            Some(delay) if delay + second < first => (delay + second, second),
            _ => (first, first),
        };
        hedges += usize::from(delay.is_some());
        late_without_hedges += usize::from(first > TARGET);
        late += usize::from(ended > TARGET);
        estimate.observe(latency);
    }
    assert!(late_without_hedges > REQUESTS / 50, "{late_without_hedges} would be late");
    assert!(late < late_without_hedges / 10, "{late} of {late_without_hedges} are still late");
    assert!(hedges < REQUESTS / 10, "{hedges} hedges");
    let fast = Some(Duration::from_millis(60));
    assert_eq!(
        hedge_delay(&FIRST_ATTEMPT, &estimate, fast),
        estimate.percentile(95),
        "a target that no response meets must not cause more hedges"
    );
}

/// Guards against hedges that take the budget from retries, which are needed when failures come in
/// series.
#[test]
fn hedges_leave_the_budget_to_retries() {
    let secs = Duration::from_secs;
    let mut budget = RetryBudget::part_of_mesh(1.0, 2, 1);
    budget.on_request(secs(10));
    assert!(!budget.try_take_for_hedge(secs(10)), "the budget is not full");
    budget.on_request(secs(10));
    assert!(budget.try_take_for_hedge(secs(10)));
    assert!(!budget.try_take_for_hedge(secs(10)), "the last token is left for retries");
    assert!(budget.try_take(secs(10)));
    (0..2).for_each(|_| budget.on_request(secs(11)));
    assert!(!budget.try_take_for_hedge(secs(11)), "a retry needed a token a second ago");
    assert!(budget.try_take_for_hedge(secs(12)));
}

/// Guards against daemons that together spend more than the retry budget of the mesh, also when all of them
/// restart halfway.
#[test]
fn daemons_of_a_mesh_stay_within_the_shared_budget() {
    const MEMBERS: usize = 13;
    const BURST: u32 = 26;
    let new_parts = || vec![RetryBudget::part_of_mesh(0.1, BURST, MEMBERS); MEMBERS];
    let mut parts = new_parts();
    let (mut requests, mut retries) = (0_u64, 0_u64);
    for millis in 0..10_000_u64 {
        let now = Duration::from_millis(millis);
        if millis == 5_000 {
            parts = new_parts();
        }
        for part in &mut parts {
            part.on_request(now);
            requests += 1;
            // Every request fails, and each daemon takes as many tokens as it gets.
            retries += u64::from(part.try_take(now)) + u64::from(part.try_take(now));
        }
    }
    assert!(
        retries <= requests / 10 + u64::from(BURST),
        "{retries} retries for {requests} requests"
    );
    assert!(
        retries >= requests / 10 - u64::from(BURST),
        "{retries} retries for {requests} requests"
    );
    // A daemon with a full bucket spends no more than its part of the burst at once.
    let mut saved = RetryBudget::part_of_mesh(0.1, BURST, MEMBERS);
    (0..1_000).for_each(|_| saved.on_request(Duration::ZERO));
    let burst = (0..100).filter(|_| saved.try_take(Duration::from_secs(60))).count();
    assert_eq!(burst, 2);
}

/// Guards against daemons that all retry at the same time after an outage, and against a delay that stays
/// long after a success.
#[test]
fn backoff_doubles_up_to_its_limit_until_reset() {
    let (first, longest) = (Duration::from_millis(100), Duration::from_millis(350));
    let mut backoff = Backoff::new(first, longest);
    assert_eq!(backoff.next_delay(1.0), first);
    assert_eq!(backoff.next_delay(0.0), first);
    assert_eq!(backoff.next_delay(1.0), longest);
    assert_eq!(backoff.next_delay(0.0), longest / 2);
    backoff.reset();
    assert_eq!(backoff.next_delay(1.0), first);
}

/// Guards against a reader that asks again for more records than it can receive, or keeps asking for few.
#[test]
fn read_size_adapts_to_answers() {
    let mut size = ReadSize::new(256);
    assert!(size.on_too_large());
    assert!(size.on_timeout());
    assert_eq!(size.limit(), 64);
    size.on_answer(64, false);
    assert_eq!(size.limit(), 64, "twice as many records would take too long");
    size.on_answer(64, true);
    size.on_answer(128, true);
    assert_eq!(size.limit(), 128, "an answer with 256 records was too large");
    size.on_answer(3, true);
    assert_eq!(size.limit(), 256, "the reader has caught up");
    let mut single = ReadSize::new(1);
    assert!(!single.on_too_large() && !single.on_timeout());
    assert_eq!(single.limit(), 1);
}
