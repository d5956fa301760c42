//! Guards the bounds on second attempts.

use std::time::Duration;

use baobabreel_core::retry::{
    Attempt, Failure, LatencyEstimate, RetryBudget, RetryDecision, StopReason, decide, hedge_after,
};
use quickcheck::{Gen, QuickCheck};

const FIRST: Attempt = Attempt {
    idempotent: true,
    number: 1,
    marked_as_retry: false,
    remaining: Duration::from_secs(1),
    max_retries: 1,
};

/// Guards against retries that multiply load in an outage, and against a budget that gives none.
#[test]
fn budget_bounds_retries_over_any_sequence() {
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
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(1_000, 2))
        .tests(200)
        .quickcheck(property as fn(Vec<(bool, u16)>) -> bool);
    let mut budget = RetryBudget::new(0.1, 5);
    let taken = |budget: &mut RetryBudget, secs| {
        (0..100)
            .filter(|_| budget.try_take(Duration::from_secs(secs)))
            .count()
    };
    assert_eq!(taken(&mut budget, 0), 5, "the burst");
    assert_eq!(taken(&mut budget, 2), 2, "one a second without requests");
    (0..30).for_each(|_| budget.on_request(Duration::from_secs(2)));
    assert_eq!(taken(&mut budget, 2), 3, "a tenth of the requests");
}

/// Guards against a request that runs twice, and against retries of retries.
#[test]
fn decides_by_proof_mark_count_and_time() {
    type Case = (bool, u8, bool, u16, u8, bool);
    fn property((idempotent, number, marked_as_retry, ms, max, proof): Case) -> bool {
        let attempt = Attempt {
            idempotent,
            number: u32::from(number % 4) + 1,
            marked_as_retry,
            remaining: Duration::from_millis(u64::from(ms % 8)),
            max_retries: u32::from(max % 4),
        };
        let failure = if proof {
            Failure::NotRun
        } else {
            Failure::MayHaveRun
        };
        let may = (proof || idempotent)
            && !marked_as_retry
            && attempt.number <= attempt.max_retries
            && attempt.remaining >= Duration::from_millis(2);
        (decide(&attempt, failure) == RetryDecision::Retry) == may
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, 3))
        .tests(2_000)
        .quickcheck(property as fn(Case) -> bool);
    let command = Attempt {
        idempotent: false,
        ..FIRST
    };
    let stop = RetryDecision::Stop(StopReason::NotIdempotent);
    assert_eq!(decide(&command, Failure::MayHaveRun), stop);
    assert_eq!(decide(&command, Failure::NotRun), RetryDecision::Retry);
}

/// Calls hop `depth` of a chain whose last call always fails; counts the attempts at the end.
fn call(budgets: &mut [RetryBudget], marked: bool, now: Duration, leaf: &mut u64) {
    let Some((budget, rest)) = budgets.split_first_mut() else {
        *leaf += 1;
        return;
    };
    budget.on_request(now);
    let mut attempt = Attempt {
        marked_as_retry: marked,
        max_retries: 3,
        ..FIRST
    };
    call(rest, marked, now, leaf);
    while decide(&attempt, Failure::NotRun) == RetryDecision::Retry && budget.try_take(now) {
        attempt.number += 1;
        call(rest, true, now, leaf);
    }
}

/// Guards against retries at each of 7 hops multiplying to 4^7 attempts for one request.
#[test]
fn chain_of_seven_stays_within_the_budgets() {
    let mut budgets = vec![RetryBudget::new(0.1, 5); 7];
    let mut first = 0;
    call(&mut budgets, false, Duration::ZERO, &mut first);
    assert_eq!(
        first,
        1 + 7 * 3,
        "one request adds its retries, it does not multiply them"
    );
    let (requests, secs) = (10_000_u64, 10);
    let mut leaf = 0;
    for n in 0..requests {
        call(&mut budgets, false, Duration::from_millis(n), &mut leaf);
    }
    let per_hop = 5 + (requests + leaf) / 10 + secs;
    assert!(leaf <= requests + 7 * per_hop, "{leaf} attempts");
    assert!(leaf < 3 * requests, "{leaf} attempts");
}

/// Guards against hedges of commands, of retries, before the 95th percentile or without data.
#[test]
fn hedges_after_the_95th_percentile() {
    let mut estimate = LatencyEstimate::default();
    for n in 0..19 {
        estimate.observe(Duration::from_millis(if n == 0 { 200 } else { 10 }));
        assert_eq!(hedge_after(&FIRST, &estimate), None);
    }
    estimate.observe(Duration::from_millis(10));
    let delay = hedge_after(&FIRST, &estimate).expect("20 latencies are known");
    assert!(
        delay >= Duration::from_millis(10) && delay < Duration::from_millis(12),
        "{delay:?}"
    );
    let marked = Attempt {
        marked_as_retry: true,
        ..FIRST
    };
    let command = Attempt {
        idempotent: false,
        ..FIRST
    };
    let second = Attempt {
        number: 2,
        max_retries: 3,
        ..FIRST
    };
    let late = Attempt {
        remaining: delay,
        ..FIRST
    };
    for attempt in [marked, command, second, late] {
        assert_eq!(hedge_after(&attempt, &estimate), None, "{attempt:?}");
    }
    (0..2_000).for_each(|_| estimate.observe(Duration::from_millis(100)));
    let moved = estimate.p95().expect("latencies are known");
    assert!(
        moved >= Duration::from_millis(100) && moved < Duration::from_millis(120),
        "{moved:?}"
    );
}
