//! The table of error kinds against the table of the design page.

use std::collections::BTreeSet;

use baobabreel_core::error::{ANSWERS, ErrorKind, Outcome};

const PAGE: &str = include_str!("../../../docs/design.md");

/// Cells of the rows of the page's table of errors.
fn page_rows() -> Vec<Vec<&'static str>> {
    let (_, section) = PAGE.split_once("### 4.1 Errors").expect("the section");
    let (section, _) = section.split_once("\n## ").expect("a later section");
    let rows = section.lines().filter(|line| line.starts_with("| `"));
    rows.map(|row| row.trim_matches('|').split('|').map(str::trim).collect()).collect()
}

/// Guards against an answer that differs from the documented one, and against a kind that is
/// missing on one side.
#[test]
fn table_is_that_of_the_page() {
    let expected = page_rows();
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

/// Guards against a row for another kind, a name that is used twice, and a `Retry-After` that
/// contradicts the column of the page.
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

/// Guards against a promise that a request did not run for a kind that is raised after dispatch, or
/// for a key whose earlier attempt may have run.
#[test]
fn kinds_after_dispatch_never_promise_that_nothing_ran() {
    let after_dispatch = [
        ErrorKind::OwnerChanging,
        ErrorKind::InProgress,
        ErrorKind::OutcomeUnknown,
        ErrorKind::AnswerNotKept,
        ErrorKind::UpstreamLost,
        ErrorKind::DeadlineExceeded,
        ErrorKind::Internal,
    ];
    for answer in &ANSWERS {
        let promises = answer.outcome == Outcome::NotRun;
        assert_eq!(promises, !after_dispatch.contains(&answer.kind), "{}", answer.name);
    }
    let words = [Outcome::Ran, Outcome::NotRun, Outcome::Unknown].map(Outcome::as_str);
    assert_eq!(words, ["ran", "not_run", "unknown"]);
}
