//! Order of the reports of backend servers.

use baobabreel_core::registration::{BootTime, Report, ReportOrder, ReportStatus};

const CURRENT: ReportStatus = ReportStatus::Current { draining: false };
const DRAINING: ReportStatus = ReportStatus::Current { draining: true };

fn report(instance: &str, boot: BootTime, sequence: u64, draining: bool) -> Report {
    Report { instance: instance.to_owned(), boot: Some(boot), sequence, draining }
}

/// Guards against a late report that makes a leaving backend server ready again.
#[test]
fn draining_is_not_taken_back() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 1, false)), CURRENT);
    assert_eq!(order.report(report("a", 10, 3, true)), DRAINING);
    assert_eq!(order.report(report("a", 10, 2, false)), ReportStatus::Outdated);
    assert_eq!(order.report(report("a", 10, 4, false)), DRAINING);
}

/// Guards against a delayed report of a crashed start that displaces the one that runs now.
#[test]
fn report_of_an_earlier_start_is_outdated() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 7, false)), CURRENT);
    assert_eq!(order.report(report("b", 20, 1, false)), CURRENT);
    assert_eq!(order.report(report("a", 10, 8, false)), ReportStatus::Outdated);
    assert_eq!(order.report(report("b", 20, 2, false)), CURRENT);
}

/// Guards against a restart under the same id that is ignored because its count starts anew.
#[test]
fn restart_under_the_same_id_counts_anew() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 50, true)), DRAINING);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT);
}

/// Guards against a late report that brings a backend server back that has said goodbye.
#[test]
fn ended_start_does_not_come_back() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 1, false)), CURRENT);
    assert!(order.leave("a", None));
    assert_eq!(order.report(report("a", 10, 2, false)), ReportStatus::Outdated);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT, "the next start is another one");
}

/// Guards against the goodbye of an earlier backend server that ends the one that runs now.
#[test]
fn end_of_another_start_changes_nothing() {
    let mut order = ReportOrder::default();
    assert_eq!(order.report(report("a", 10, 1, false)), CURRENT);
    assert_eq!(order.report(report("b", 20, 1, false)), CURRENT);
    assert!(!order.leave("a", Some(10)));
    assert_eq!(order.report(report("b", 20, 2, false)), CURRENT);
}

/// Guards against a backend server that was found without its start time and whose end is then taken for
/// that of another start.
#[test]
fn end_counts_for_a_start_whose_time_is_not_known() {
    let mut order = ReportOrder::default();
    let found = Report { boot: None, ..report("a", 0, 0, false) };
    assert_eq!(order.report(found.clone()), CURRENT);
    assert!(order.leave("a", Some(10)));
    assert_eq!(order.report(found), ReportStatus::Outdated);
    assert_eq!(order.report(report("a", 10, 5, false)), ReportStatus::Outdated);
    assert_eq!(order.report(report("a", 20, 1, false)), CURRENT);
}
