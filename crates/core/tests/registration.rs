//! Tests the order of the reports that a backend server sends; a start is one run of its process.

#[expect(dead_code, reason = "property checks are used by other tests")]
mod support;

use std::time::Duration;

use baobabreel_core::membership::Member;
use baobabreel_core::registration::{BootTime, Report, ReportOrder, ReportStatus, witnesses};
use support::member;

const CURRENT: ReportStatus = ReportStatus::Current { draining: false };
const DRAINING: ReportStatus = ReportStatus::Current { draining: true };

fn report(instance: &str, boot: BootTime, sequence: u64, draining: bool) -> Report {
    Report { instance: instance.to_owned(), boot: Some(boot), sequence, draining }
}

/// Guards against a late report that makes a draining backend server ready again.
#[test]
fn draining_is_final_for_a_start() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 1, false)), CURRENT);
    assert_eq!(order.report(report("a", 10, 3, true)), DRAINING);
    assert_eq!(order.report(report("a", 10, 2, false)), ReportStatus::Outdated);
    assert_eq!(order.report(report("a", 10, 4, false)), DRAINING);
}

/// Guards against a delayed report of a crashed start that replaces the current one.
#[test]
fn report_of_a_previous_start_is_outdated() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 7, false)), CURRENT);
    assert_eq!(order.report(report("b", 20, 1, false)), CURRENT);
    assert_eq!(order.report(report("a", 10, 8, false)), ReportStatus::Outdated);
    assert_eq!(order.report(report("b", 20, 2, false)), CURRENT);
}

/// Guards against a restart under the same id that is ignored because its sequence numbers begin again.
#[test]
fn restart_under_the_same_id_resets_the_sequence() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 50, true)), DRAINING);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT);
}

/// Guards against a late report that restores a backend server after it has left.
#[test]
fn reports_after_leaving_are_outdated() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 1, false)), CURRENT);
    assert!(order.leave("a", None));
    assert_eq!(order.report(report("a", 10, 2, false)), ReportStatus::Outdated);
    assert_eq!(
        order.report(report("a", 20, 1, false)),
        CURRENT,
        "a new start is independent of the one that left"
    );
}

/// Guards against a late leave message of a previous start that ends the current one.
#[test]
fn leave_of_a_previous_start_is_ignored() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 1, false)), CURRENT);
    assert_eq!(order.report(report("b", 20, 1, false)), CURRENT);
    assert!(!order.leave("a", Some(10)));
    assert_eq!(order.report(report("b", 20, 2, false)), CURRENT);
}

/// Guards against a backend server that was found without its start time and whose leave message is then
/// taken for that of another start.
#[test]
fn leave_applies_to_a_start_without_a_known_time() {
    let mut order = ReportOrder::default();
    let found = Report { boot: None, ..report("a", 0, 0, false) };
    assert_eq!(order.report(found.clone()), CURRENT);
    assert!(order.leave("a", Some(10)));
    assert_eq!(order.report(found), ReportStatus::Outdated);
    assert_eq!(order.report(report("a", 10, 5, false)), ReportStatus::Outdated);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT);
}

/// Guards against a late report that brings a backend server which is leaving back into use, after a restart of the
/// daemon that had acknowledged the leaving.
#[test]
fn first_ready_report_needs_a_proof() {
    let mut order = ReportOrder::default();
    assert!(order.needs_proof(&report("a", 10, 7, false)));
    assert!(!order.needs_proof(&report("a", 10, 7, true)));
    assert_eq!(order.report(report("a", 10, 7, false)), CURRENT);
    assert!(!order.needs_proof(&report("a", 10, 8, false)));
}

/// Guards against another start that is taken into use by a report of which nothing tells that it is newer.
#[test]
fn only_a_start_that_is_known_to_be_newer_needs_no_proof() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 7, false)), CURRENT);
    assert!(!order.needs_proof(&report("b", 20, 1, false)));
    assert!(order.needs_proof(&Report { boot: None, ..report("b", 0, 1, false) }));
}

/// Guards against a question to the backend server for each report that follows one without a start time.
#[test]
fn start_that_was_found_ready_needs_no_other_proof() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(Report { boot: None, ..report("a", 0, 0, false) }), CURRENT);
    assert!(!order.needs_proof(&report("a", 10, 7, false)));
}

/// Guards against a backend server that is never used because its health endpoint does not answer, and against one
/// that is used because a few reports arrived late.
#[test]
fn reports_that_keep_coming_are_a_proof() {
    let heartbeat = Duration::from_millis(1_500);
    let mut order = ReportOrder::default();
    for (late, at) in (1..=6).zip([0, 10, 20, 4_100, 4_110, 4_120].map(Duration::from_millis)) {
        let is_repeat = late > 3;
        let sequence = if is_repeat { late - 3 } else { late };
        assert!(!order.count_unproven(&report("a", 10, sequence, false), at));
    }
    let mut proven = Vec::new();
    for sequence in 1..=4 {
        let at = heartbeat * u32::try_from(sequence).expect("small");
        proven.push(order.count_unproven(&report("b", 20, sequence, false), at));
    }
    assert_eq!(proven, [false, false, false, true]);
}

/// Guards against a backend server that is leaving and is used again after a restart of its daemon, because its health
/// endpoint says falsely that it is ready or a report comes late, although another daemon remembers.
#[test]
fn recalled_start_stays_out_of_use() {
    let mut order = ReportOrder::default();
    order.recall_leaving("a", Some(10));
    assert!(order.is_leaving("a", Some(10)));
    let found = Report { boot: None, ..report("a", 0, 0, false) };
    assert_eq!(order.report(found), DRAINING);
    assert_eq!(order.report(report("a", 10, 7, false)), DRAINING);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT, "the next start is not leaving");
}

/// Guards against the next start of a backend server that is never used, because a report without a start time came
/// between.
#[test]
fn next_start_under_the_same_id_is_used_after_a_recalled_one() {
    let mut order = ReportOrder::default();
    order.recall_leaving("a", Some(10));
    assert_eq!(order.report(Report { boot: None, ..report("a", 0, 900, false) }), DRAINING);
    assert_eq!(order.report(report("a", 10, 1, false)), DRAINING);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT);
    let mut order = ReportOrder::default();
    order.recall_leaving("a", None);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT);
}

/// Guards against an old memory of others that ends a start which this daemon knows to be ready.
#[test]
fn recalled_start_does_not_replace_a_known_one() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("b", 20, 1, false)), CURRENT);
    order.recall_leaving("a", Some(10));
    assert!(!order.is_leaving("a", Some(10)));
    assert_eq!(order.report(report("b", 20, 2, false)), CURRENT);
}

/// Guards against a draining backend server that is ready again by a report without a start time.
#[test]
fn report_without_start_time_does_not_end_a_drain() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 1, true)), DRAINING);
    assert_eq!(order.report(Report { boot: None, ..report("a", 0, 2, false) }), DRAINING);
}

/// Guards against witnesses that a restarted daemon does not find again, and against a daemon that is its own.
#[test]
fn witnesses_are_others_and_stay_the_same() {
    let members: Vec<Member> = (0..20).map(|i| member(i, i % 3)).collect();
    let id = &members[7].id;
    let chosen: Vec<&str> = witnesses(&members, id).into_iter().map(|m| m.id.as_str()).collect();
    assert_eq!(chosen.len(), 4);
    assert!(!chosen.contains(&id.as_str()));
    let without_others = members.iter().filter(|m| m.id == *id || chosen.contains(&m.id.as_str()));
    let mut again: Vec<&str> =
        witnesses(without_others, id).into_iter().map(|m| m.id.as_str()).collect();
    again.sort_unstable();
    let mut chosen = chosen;
    chosen.sort_unstable();
    assert_eq!(again, chosen);
}
