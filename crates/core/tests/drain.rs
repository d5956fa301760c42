//! Tests of which requests a daemon that shuts down still takes, and of when its steps end.

use std::time::Duration;

use baobabreel_core::drain::DrainPlan;

const MS: fn(u64) -> Duration = Duration::from_millis;

const PLAN: DrainPlan = DrainPlan {
    long_until: Duration::from_secs(1),
    refuse_from: Duration::from_secs(4),
    end: Duration::from_secs(6),
    close_by: Duration::from_millis(6_700),
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

/// Guards against a step that takes its whole time although the daemon reached it late, so that the drain ends late.
#[test]
fn steps_end_with_the_drain() {
    assert_eq!(PLAN.step_end(MS(4_000), MS(1_500)), MS(5_500));
    assert_eq!(PLAN.step_end(MS(5_000), MS(1_500)), MS(6_000));
    assert_eq!(PLAN.step_end(MS(7_000), MS(1_500)), MS(6_000));
    assert_eq!(PLAN.step_end(MS(4_000), Duration::MAX), MS(6_000));
}

/// Guards against a daemon that is still closing connections when it is killed, and against one that was held up and
/// closes them without writing what is ready.
#[test]
fn connections_are_closed_in_the_time_that_is_left() {
    assert_eq!(PLAN.close_timeout(MS(2_000)), MS(400));
    assert_eq!(PLAN.close_timeout(MS(6_300)), MS(400));
    assert_eq!(PLAN.close_timeout(MS(6_500)), MS(200));
    assert_eq!(PLAN.close_timeout(MS(9_000)), MS(100));
}
