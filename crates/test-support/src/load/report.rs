//! Results of a load run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

/// Longest latency that the histograms tell apart, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Header `baobabreel-outcome` of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// The request ran.
    Ran,
    /// The request did not run.
    NotRun,
    /// Whether the request ran is not known.
    Unknown,
    /// The header is absent or has another value.
    Absent,
}

/// Fault of an answer with a status of success.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mismatch {
    /// The answer does not carry the id of the request.
    Foreign,
    /// The answer has another length than was asked for.
    Length,
    /// The answer does not have the checksum that it carries, or carries none.
    Checksum,
    /// The backend server got another request body.
    RequestBody,
}

/// End of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// Whole answer.
    Answered {
        /// Status.
        status: u16,
        /// Outcome that the answer gives.
        outcome: Outcome,
        /// Fault of the answer.
        mismatch: Option<Mismatch>,
    },
    /// No connection could be established.
    Unreached,
    /// The connection broke, possibly in the middle of the answer.
    Broken,
    /// No whole answer until one second after the deadline.
    TimedOut,
}

impl CallEnd {
    /// Whether the request was answered with success.
    pub fn succeeded(&self) -> bool {
        matches!(self, CallEnd::Answered { status: 200..=299, .. })
    }

    /// Whether the caller was told that the request did not run.
    pub fn refused_as_not_run(&self) -> bool {
        matches!(self, CallEnd::Answered { outcome: Outcome::NotRun, .. })
    }

    /// Whether the caller knows neither that the request ran nor that it did not.
    pub(super) fn is_uncertain(&self) -> bool {
        match self {
            CallEnd::Answered { outcome, .. } => *outcome == Outcome::Unknown,
            CallEnd::Unreached => false,
            CallEnd::Broken | CallEnd::TimedOut => true,
        }
    }
}

/// One request of a run.
#[derive(Debug, Clone)]
pub struct Call {
    /// Header `x-request-id`.
    pub request_id: String,
    /// Header `idempotency-key`.
    pub idempotency_key: Option<String>,
    /// Class of its template.
    pub class: String,
    /// Whether it must run at most once.
    pub at_most_once: bool,
    /// Intended start since the start of the run.
    pub intended: Duration,
    /// Time from the intended start to the end.
    pub latency: Duration,
    /// Time from the real start to the end.
    pub service_time: Duration,
    /// Times that it was sent again.
    pub repeats: u32,
    /// End of the last sending.
    pub end: CallEnd,
}

/// Results of one class; the histograms are in microseconds and hold the successes.
#[derive(Debug)]
pub struct ClassReport {
    /// Latency from the intended start.
    pub latency: Histogram<u64>,
    /// Latency from the real start.
    pub service_time: Histogram<u64>,
    /// Calls with a status of success.
    pub succeeded: u64,
    /// Calls refused as not run.
    pub not_run: u64,
    /// All other calls.
    pub failed: u64,
}

impl ClassReport {
    fn new() -> Self {
        let histogram = || {
            let mut histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
                .expect("the bounds of the histogram are valid");
            histogram.auto(false);
            histogram
        };
        let (latency, service_time) = (histogram(), histogram());
        ClassReport { latency, service_time, succeeded: 0, not_run: 0, failed: 0 }
    }

    fn add(&mut self, call: &Call) {
        if call.end.succeeded() {
            self.succeeded += 1;
            self.latency.saturating_record(micros(call.latency));
            self.service_time.saturating_record(micros(call.service_time));
        } else if call.end.refused_as_not_run() {
            self.not_run += 1;
        } else {
            self.failed += 1;
        }
    }
}

/// Results of a run.
#[derive(Debug)]
pub struct LoadReport {
    /// Time from the start of the run to the last end.
    pub elapsed: Duration,
    /// Results by class.
    pub classes: BTreeMap<String, ClassReport>,
    /// Answers by status.
    pub by_status: BTreeMap<u16, u64>,
    /// Answers by outcome.
    pub by_outcome: BTreeMap<Outcome, u64>,
    /// Answers with a fault.
    pub mismatches: BTreeMap<Mismatch, u64>,
    /// Calls without a connection.
    pub unreached: u64,
    /// Calls without a final answer: broken or timed out.
    pub lost: u64,
    /// All calls, in the order of their intended start.
    pub calls: Vec<Call>,
}

impl LoadReport {
    pub(super) fn new(elapsed: Duration, calls: Vec<Call>) -> Self {
        let mut report = LoadReport {
            elapsed,
            classes: BTreeMap::new(),
            by_status: BTreeMap::new(),
            by_outcome: BTreeMap::new(),
            mismatches: BTreeMap::new(),
            unreached: 0,
            lost: 0,
            calls: Vec::new(),
        };
        for call in &calls {
            report.add(call);
        }
        report.calls = calls;
        report
    }

    fn add(&mut self, call: &Call) {
        self.classes.entry(call.class.clone()).or_insert_with(ClassReport::new).add(call);
        match call.end {
            CallEnd::Answered { status, outcome, mismatch } => {
                *self.by_status.entry(status).or_default() += 1;
                *self.by_outcome.entry(outcome).or_default() += 1;
                if let Some(mismatch) = mismatch {
                    *self.mismatches.entry(mismatch).or_default() += 1;
                }
            }
            CallEnd::Unreached => self.unreached += 1,
            CallEnd::Broken | CallEnd::TimedOut => self.lost += 1,
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
