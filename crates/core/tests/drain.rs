//! Tests of which requests a daemon that shuts down still takes.

use std::time::Duration;

use baobabreel_core::drain::DrainPlan;

const MS: fn(u64) -> Duration = Duration::from_millis;

const PLAN: DrainPlan = DrainPlan {
    long_until: Duration::from_secs(1),
    refuse_from: Duration::from_secs(4),
    end: Duration::from_secs(6),
};

/// Guards against a request that is taken late in a shutdown and cut at its end.
#[test]
fn request_that_may_outlast_the_drain_is_not_taken_late() {
    assert!(PLAN.admits(MS(999), MS(60_000)));
    assert!(!PLAN.admits(MS(1_000), MS(5_001)));
    assert!(PLAN.admits(MS(1_000), MS(5_000)));
    assert!(!PLAN.admits(MS(3_999), MS(2_002)));
}

/// Guards against requests that are refused although they end in time, and against new ones after the notice.
#[test]
fn short_requests_are_taken_until_the_notice_ends() {
    assert!(PLAN.admits(MS(3_999), MS(2_001)));
    assert!(!PLAN.admits(MS(4_000), MS(1)));
    assert!(!PLAN.admits(MS(4_000), Duration::MAX));
}
