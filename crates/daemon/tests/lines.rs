//! Bounds on the lines about single requests.

use std::time::Duration;

use baobabreel_daemon::telemetry::{LogLineKind, LogRateLimiter};

/// Lines that are taken of `offered` ones, one each millisecond from `from` on, and the number that the
/// taken ones say were left out.
fn offer(limit: &LogRateLimiter, kind: LogLineKind, from: u64, offered: u64) -> (u64, u64) {
    let taken = (from..from + offered).filter_map(|ms| limit.take(kind, Duration::from_millis(ms)));
    taken.fold((0, 0), |(lines, left_out), more| (lines + 1, left_out + more))
}

/// Guards against a flood of lines at a peak, and against lines that vanish without a count.
#[test]
fn lines_are_bounded_and_those_left_out_are_counted() {
    let limit = LogRateLimiter::default();
    let (lines, left_out) = offer(&limit, LogLineKind::Refused, 0, 10_000);
    assert!((200..=245).contains(&lines), "{lines} lines in 10 s");
    // The last lines that were left out are counted by the next one.
    let (_, rest) = offer(&limit, LogLineKind::Refused, 20_000, 1);
    assert_eq!(lines + left_out + rest, 10_000);
}

/// Guards against many answers that displace the lines about a few failures.
#[test]
fn kinds_do_not_displace_each_other() {
    let limit = LogRateLimiter::default();
    let (answered, _) = offer(&limit, LogLineKind::Answered, 0, 5_000);
    assert!(answered < 20, "{answered} lines");
    assert_eq!(offer(&limit, LogLineKind::Failed, 5_000, 10), (10, 0));
}
