//! Results of operations as text and JSON, and exit codes.

mod diff;
mod table;

pub use diff::{RecordChange, diff_records, format_diff};
pub use table::Table;

use eyre::Report;
use serde_json::Value;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// The command succeeded.
    Done = 0,
    /// The change is rejected or the input is invalid.
    Rejected = 1,
    /// The command line is invalid.
    Usage = 2,
    /// The log or the daemons cannot be reached.
    Unreachable = 3,
    /// Not every daemon reached the version in time.
    TimedOut = 4,
    /// It is unknown whether the change took effect.
    Unknown = 5,
}

/// Result of an operation.
#[derive(Debug)]
pub struct Outcome {
    /// Exit code.
    pub exit: Exit,
    /// Text output, ending with a newline.
    pub text: String,
    /// JSON output.
    pub json: Value,
}

impl Outcome {
    /// Makes the result of an operation that succeeded.
    #[must_use]
    pub fn done(text: String, json: Value) -> Self {
        let exit = Exit::Done;
        Self { exit, text, json }
    }
}

/// An operation that failed.
#[derive(Debug)]
pub struct Failure {
    /// Exit code.
    pub exit: Exit,
    /// The error with its chain of causes.
    pub report: Report,
}

/// Attaches an exit code to the error of a result.
pub trait WithExit<T> {
    /// Turns an error into a [`Failure`].
    ///
    /// # Errors
    ///
    /// The error of `self` with the exit code.
    fn with_exit(self, exit: Exit) -> Result<T, Failure>;
}

impl<T, E: Into<Report>> WithExit<T> for Result<T, E> {
    fn with_exit(self, exit: Exit) -> Result<T, Failure> {
        self.map_err(|e| Failure { exit, report: e.into() })
    }
}
