//! Tests what the responses of a backend server say about its condition.

use std::time::Duration;

use baobabreel_core::condition::{
    Condition, HostedCondition, KnownConditions, RateLimit, RateStatement, ReportedCondition,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn limited(per_second: f64) -> Condition {
    let limit = RateLimit::try_from(per_second).expect("the rate is valid");
    Condition { rate: RateStatement::Limited(limit), is_leaving: false }
}

fn leaving() -> Condition {
    Condition { rate: RateStatement::Unlimited, is_leaving: true }
}

/// Guards against a limit that ends because a response from before the limit arrives late.
#[test]
fn response_to_an_earlier_request_does_not_end_a_limit() {
    let mut condition = HostedCondition::default();
    assert!(condition.observe(limited(20.0), ms(1_000)).is_some());
    assert_eq!(condition.observe_unlimited(ms(900)), None);
    assert_eq!(condition.observe_unlimited(ms(1_000)), None);
    assert_eq!(condition.limit().map(RateLimit::per_second), Some(20.0));
}

/// Guards against a limit that stays in force after the backend server has ended it.
#[test]
fn response_to_a_later_request_ends_a_limit() {
    let mut condition = HostedCondition::default();
    condition.observe(limited(20.0), ms(1_000));
    assert!(condition.observe(limited(10.0), ms(2_000)).is_some_and(|c| c.limit_before.is_some()));
    assert_eq!(condition.observe_unlimited(ms(1_500)), None);
    assert!(condition.observe_unlimited(ms(2_001)).is_some_and(|change| change.limit.is_none()));
    assert_eq!(condition.limit(), None);
}

/// Guards against a leaving backend server that counts as staying because of a later response.
#[test]
fn backend_server_cannot_take_its_leaving_back() {
    let mut condition = HostedCondition::default();
    assert!(condition.observe(leaving(), ms(1)).is_some_and(|change| change.starts_leaving));
    assert_eq!(condition.observe(leaving(), ms(2)), None, "it leaves only once");
    condition.observe(Condition::default(), ms(3));
    condition.observe_unlimited(ms(3));
    assert!(condition.is_leaving());
}

/// Guards against an unreadable limit that ends the one in force.
#[test]
fn unreadable_limit_changes_nothing() {
    let mut condition = HostedCondition::default();
    condition.observe(limited(20.0), ms(1_000));
    let unreadable = Condition { rate: RateStatement::Unreadable, is_leaving: false };
    assert_eq!(condition.observe(unreadable, ms(2_000)), None);
    assert_eq!(condition.limit().map(RateLimit::per_second), Some(20.0));
}

/// Guards against rates that are no rates, and against a limit that grows when it is rounded.
#[test]
fn rates_are_checked_and_rounded_down() {
    for number in [-1.0, f64::NAN, f64::INFINITY] {
        assert!(RateLimit::try_from(number).is_err(), "{number}");
    }
    assert_eq!(RateLimit::try_from(2.345_9).map(RateLimit::milli_per_second), Ok(2_345));
    assert_eq!(RateLimit::try_from(0.0).map(RateLimit::interval), Ok(None));
    assert_eq!(RateLimit::try_from(4.0).map(RateLimit::interval), Ok(Some(ms(250))));
}

fn reported(boot: Option<u64>, condition: Condition) -> ReportedCondition {
    ReportedCondition { instance: "i-1".to_owned(), boot, condition }
}

/// Guards against a limit of before a restart that replaces what the backend server itself has stated since.
#[test]
fn limit_known_to_others_holds_until_the_backend_server_responds() {
    let mut condition = HostedCondition::default();
    assert!(condition.adopt_limit(limited(5.0), ms(10)).is_some());
    assert_eq!(condition.limit().map(RateLimit::per_second), Some(5.0));
    condition.observe(Condition::default(), ms(20));
    assert!(condition.observe_unlimited(ms(15)).is_some());
    assert_eq!(condition.adopt_limit(limited(5.0), ms(30)), None);
    assert_eq!(condition.limit(), None);
}

/// Guards against statements that are forgotten because the daemon beside the backend server has restarted,
/// and against a limit that is remembered after its end.
#[test]
fn statements_are_remembered_across_restarts_of_other_daemons() {
    let mut known = KnownConditions::default();
    known.record(1, Some(reported(Some(7), limited(5.0))), true, ms(0));
    known.record(2, Some(reported(Some(7), leaving())), true, ms(0));
    for daemon in [1, 2] {
        known.record(daemon, None, false, ms(10));
        assert!(
            known.get(&daemon, ms(20)).is_some(),
            "a daemon without its backend server says nothing"
        );
        known.record(daemon, None, true, ms(30));
    }
    assert_eq!(known.get(&1, ms(40)), None, "the limit has ended");
    assert!(known.get(&2, ms(40)).is_some_and(|known| known.condition.is_leaving));
    assert_eq!(known.get(&2, ms(60_000)), None, "it has left long ago");
}

/// Guards against a statement that is taken for one of another start or of another backend server.
#[test]
fn statement_is_about_one_start() {
    let known = reported(Some(7), leaving());
    assert!(known.may_be_about(Some("i-1"), Some(7)));
    assert!(known.may_be_about(Some("i-1"), None));
    assert!(!known.may_be_about(Some("i-1"), Some(8)));
    assert!(!known.may_be_about(Some("i-2"), Some(7)));
    assert!(!known.may_be_about(None, None));
    assert!(reported(None, leaving()).may_be_about(Some("i-1"), Some(8)));
}

/// Guards against a daemon that forgets that a backend server leaves because the restarted daemon beside it
/// reports only its limit.
#[test]
fn report_of_a_limit_does_not_replace_that_a_start_is_leaving() {
    let mut known = KnownConditions::default();
    known.record(1, Some(reported(Some(7), leaving())), true, ms(0));
    known.record(1, Some(reported(Some(7), limited(5.0))), true, ms(10));
    let both = Condition { is_leaving: true, ..limited(5.0) };
    assert_eq!(known.get(&1, ms(20)), Some(&reported(Some(7), both)));
    known.record(1, Some(reported(Some(8), limited(5.0))), true, ms(30));
    assert_eq!(known.get(&1, ms(40)), Some(&reported(Some(8), limited(5.0))), "another start");
}
