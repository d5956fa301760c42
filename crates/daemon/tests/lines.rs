//! Rate limit for log lines about single requests.

use std::time::Duration;

use baobabreel_daemon::telemetry::{LogLineKind, LogRateLimiter};

/// Offers `offered` lines, one per millisecond starting at `from` ms; returns how many were accepted and
/// how many the accepted ones report as suppressed.
fn offer_lines(limit: &LogRateLimiter, kind: LogLineKind, from: u64, offered: u64) -> (u64, u64) {
    let taken = (from..from + offered).filter_map(|ms| limit.take(kind, Duration::from_millis(ms)));
    taken.fold((0, 0), |(lines, suppressed), more| (lines + 1, suppressed + more))
}

/// Guards against a flood of lines at peak load, and against suppressed lines that are not counted.
#[test]
fn lines_are_rate_limited_and_suppressed_ones_counted() {
    let limit = LogRateLimiter::default();
    let (lines, suppressed) = offer_lines(&limit, LogLineKind::Refused, 0, 10_000);
    assert!((200..=245).contains(&lines), "{lines} lines in 10 s");
    // The next accepted line reports the last suppressed ones.
    let (_, rest) = offer_lines(&limit, LogLineKind::Refused, 20_000, 1);
    assert_eq!(lines + suppressed + rest, 10_000);
}

/// Guards against many lines about answered requests that displace the lines about a few failures.
#[test]
fn kinds_have_separate_limits() {
    let limit = LogRateLimiter::default();
    let (answered, _) = offer_lines(&limit, LogLineKind::Answered, 0, 5_000);
    assert!(answered < 20, "{answered} lines");
    assert_eq!(offer_lines(&limit, LogLineKind::Failed, 5_000, 10), (10, 0));
}
