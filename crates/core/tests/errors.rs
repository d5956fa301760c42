//! Compares the table of error kinds with the one in the design page.

use std::collections::BTreeSet;

use baobabreel_core::error::{ANSWERS, ErrorKind, Outcome};

const DESIGN_PAGE: &str = include_str!("../../../docs/design.md");

/// Cells of each row of the error table in the design page.
fn documented_rows() -> Vec<Vec<&'static str>> {
    let (_, section) =
        DESIGN_PAGE.split_once("### 4.1 Errors").expect("the design page has a section 4.1");
    let (section, _) = section.split_once("\n## ").expect("another section follows");
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect()).collect()
}

/// Guards against an answer that differs from its documentation, and against a kind that is missing in the
/// code or in the page.
#[test]
fn error_table_matches_the_design_page() {
    let expected = documented_rows();
    let found: Vec<Vec<String>> = ANSWERS
        .iter()
        .map(|answer| {
            let retryable = if answer.retryable { "yes" } else { "no" };
            let outcome = answer.outcome.as_str().replace('_', " ");
            let name = format!("`{}`", answer.name);
            vec![name, answer.status.to_string(), outcome, retryable.to_owned()]
        })
        .collect();
    assert_eq!(found, expected);
}

/// Guards against a row at the index of another kind, a duplicate name, and a `Retry-After` that contradicts
/// whether the kind is retryable.
#[test]
fn each_kind_has_its_own_row() {
    let names: BTreeSet<&str> = ANSWERS.iter().map(|answer| answer.name).collect();
    assert_eq!(names.len(), ANSWERS.len());
    for (index, answer) in ANSWERS.iter().enumerate() {
        assert_eq!(answer.kind as usize, index, "{}", answer.name);
        assert_eq!(answer.kind.answer(), answer);
        assert_eq!(ErrorKind::from_name(answer.name), Some(answer.kind));
        assert_eq!(answer.retry_after.is_some(), answer.retryable, "{}", answer.name);
    }
}

/// Guards against the outcome `not_run` for an error after dispatch or for a key whose earlier attempt may
/// have run.
#[test]
fn kinds_after_dispatch_never_claim_that_the_request_did_not_run() {
    let after_dispatch = [
        ErrorKind::OwnerChanging,
        ErrorKind::InProgress,
        ErrorKind::OutcomeUnknown,
        ErrorKind::AnswerNotKept,
        ErrorKind::UpstreamLost,
        ErrorKind::DeadlineExceeded,
        ErrorKind::Internal,
        ErrorKind::ClientFailed,
    ];
    for answer in &ANSWERS {
        let claims_not_run = answer.outcome == Outcome::NotRun;
        assert_eq!(claims_not_run, !after_dispatch.contains(&answer.kind), "{}", answer.name);
    }
    let outcome_names = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown].map(Outcome::as_str);
    assert_eq!(outcome_names, ["ran", "not_run", "unknown"]);
}
