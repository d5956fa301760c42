//! Tests of the states of calls, and of when a daemon stops waiting for the response to one.

use std::time::Duration;

use baobabreel_core::calls::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Guards against a call that is given up as lost while it runs, because its sender has not heard of the
/// restart of the called daemon.
#[test]
fn call_that_runs_is_active_whatever_incarnation_its_sender_knew() {
    let mut table = CallTable::default();
    assert!(table.begin(7));
    assert_eq!(table.query(7, Addressee::OtherProcess, MS(10)), CallState::Active);
    assert_eq!(table.query(7, Addressee::ThisProcess, MS(10)), CallState::Active);
    table.end(7, MS(20));
    assert_eq!(table.query(7, Addressee::OtherProcess, MS(30)), CallState::Answered);
}

/// Guards against a second run: an earlier process may have run a call that the present one does not know.
#[test]
fn call_to_an_earlier_process_is_never_called_not_run() {
    let mut table = CallTable::default();
    assert_eq!(table.query(7, Addressee::OtherProcess, MS(0)), CallState::Unknown);
    assert_eq!(table.query(7, Addressee::ThisProcess, MS(1)), CallState::Unknown);
    assert_eq!(table.query(8, Addressee::ThisProcess, MS(1)), CallState::NotRun);
}

/// Guards against a call that runs after its sender gave it up.
#[test]
fn call_that_was_asked_about_before_it_arrived_does_not_run() {
    let mut table = CallTable::default();
    let _ = table.query(7, Addressee::OtherProcess, MS(0));
    let _ = table.query(8, Addressee::ThisProcess, MS(0));
    assert!(!table.begin(7));
    assert!(!table.begin(8));
    assert!(table.begin(9));
}

/// Guards against a table that grows without bound, against "not run" for a call whose state had to be removed
/// early, and against such a call that runs although its sender gave it up.
#[test]
fn full_table_makes_no_promise() {
    let mut table = CallTable::default();
    for id in 0..70_000 {
        assert!(table.begin(id));
        table.end(id, MS(1));
    }
    assert_eq!(table.query(0, Addressee::ThisProcess, MS(2)), CallState::Unknown);
    assert!(!table.begin(0));
    let later = MS(2) + RETENTION;
    assert_eq!(table.query(80_000, Addressee::ThisProcess, later), CallState::NotRun);
}

/// Guards against a sender that takes a running call for lost, or waits in vain for one that was lost.
#[test]
fn sender_goes_on_waiting_only_for_a_call_that_runs() {
    let mut watch = CallWatch::new(MS(0));
    assert_eq!(watch.decide(Some(CallState::Active), MS(500), || true), NextStep::Wait);
    assert_eq!(watch.decide(Some(CallState::Active), MS(60_000), || true), NextStep::Wait);
    let answered = watch.decide(Some(CallState::Answered), MS(61_000), || true);
    assert_eq!(answered, NextStep::AwaitResponse(LossReason::ResponseLost));
    let unknown = watch.decide(Some(CallState::Unknown), MS(61_000), || true);
    assert_eq!(unknown, NextStep::AwaitResponse(LossReason::CallUnknown));
}

/// Guards against a second run: a called daemon forgets ended calls after some time.
#[test]
fn not_run_is_trusted_only_for_a_young_call() {
    let mut watch = CallWatch::new(MS(0));
    assert_eq!(
        watch.decide(Some(CallState::NotRun), RETENTION / 2 - MS(1), || true),
        NextStep::NotRun
    );
    let late = watch.decide(Some(CallState::NotRun), RETENTION / 2, || true);
    assert_eq!(late, NextStep::AwaitResponse(LossReason::ResponseLost));
}

/// Guards against a call that cannot be sent again and is given up because its daemon stalls for a moment, and against
/// one that waits for a silent daemon although another one could run it.
#[test]
fn silent_daemon_is_given_up_only_if_the_call_can_be_sent_elsewhere() {
    let lost = NextStep::Lost(LossReason::Unreachable);
    for can_resend in [true, false] {
        let mut watch = CallWatch::new(MS(0));
        let active = Some(CallState::Active);
        assert_eq!(watch.decide(active, MS(1_000), || can_resend), NextStep::Wait);
        for _ in 0..3 {
            assert_eq!(watch.decide(None, MS(2_199), || can_resend), NextStep::Wait);
        }
        let expected = if can_resend { lost } else { NextStep::Wait };
        for at in [2_200, 3_000, 60_000] {
            assert_eq!(watch.decide(None, MS(at), || can_resend), expected);
        }
    }
}

/// Guards against queries that come so late that no time is left, or so often that they are a load.
#[test]
fn queries_leave_time_for_another_attempt() {
    let mut watch = CallWatch::new(MS(0));
    assert_eq!(watch.query_delay(MS(2_000)), MS(500));
    assert_eq!(watch.query_delay(MS(60_000)), MS(1_000));
    assert_eq!(watch.query_delay(MS(10)), MS(100));
    assert_eq!(CallWatch::query_timeout(MS(2_000)), MS(250));
    let _ = watch.decide(None, MS(500), || true);
    assert_eq!(watch.query_delay(MS(1_500)), MS(50));
}
