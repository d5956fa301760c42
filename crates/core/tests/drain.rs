//! Tests of which requests a daemon that shuts down still takes, and of when its steps end.

use std::time::Duration;

use baobabreel_core::drain::{DrainPlan, answer_at_end};
use baobabreel_core::error::Outcome;

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

/// Guards against a response that comes in the last moment and is replaced by an error, and against errors for which
/// there is no time left or that come before the drain has ended.
#[test]
fn requests_are_answered_as_late_as_there_is_time_to_write() {
    assert_eq!(PLAN.answer_at(), MS(6_450));
    assert_eq!(PLAN.answer_at() + PLAN.close_timeout(PLAN.answer_at()), PLAN.close_by);
    let short = DrainPlan { close_by: MS(6_225), ..PLAN };
    assert_eq!(short.answer_at(), short.end);
}

/// Guards against a request that may have run and is reported as not run, and the other way round.
#[test]
fn answer_at_the_end_says_whether_the_request_ran() {
    assert_eq!(answer_at_end(false).answer().outcome, Outcome::NotRun);
    assert_eq!(answer_at_end(false).answer().status, 503);
    assert_eq!(answer_at_end(true).answer().outcome, Outcome::Unknown);
    assert_eq!(answer_at_end(true).answer().status, 502);
}
