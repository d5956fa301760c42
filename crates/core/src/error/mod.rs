//! All error kinds that callers can see, and the HTTP answer for each.
//!
//! A caller must be able to tell whether its request ran. `not_run` is a guarantee, so a kind has this
//! outcome only if it is raised before any byte can have reached a backend server.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a request ran on a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It ran to completion.
    Ran,
    /// It certainly did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

impl Outcome {
    /// Value of the `baobabreel-outcome` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

/// Kinds of errors that a caller can receive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ErrorKind {
    /// The request is malformed.
    BadRequest,
    /// The idempotency key is malformed or its issue time is in the future.
    BadKey,
    /// The endpoint is not for this peer.
    Forbidden,
    /// No route matches.
    NoRoute,
    /// The request was not received in time.
    RequestTimeout,
    /// The body of the request is larger than allowed.
    BodyTooLarge,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The header section is larger than allowed.
    HeaderTooLarge,
    /// The daemon has no configuration that is recent enough.
    NotReady,
    /// The backend server is draining.
    Draining,
    /// All slots and queue places are taken, or the request would wait too long under overload.
    Overloaded,
    /// The backend server refused the request without running it.
    BackendRefused,
    /// The request cannot be answered before its deadline.
    DeadlineUnreachable,
    /// No backend server is able to serve the route.
    NoBackendServer,
    /// No daemon may currently act as the owner of the idempotency key.
    NotOwner,
    /// No daemon may currently act as the owner of the idempotency key, and an earlier attempt may have
    /// run.
    OwnerChanging,
    /// A request with the same idempotency key is running.
    InProgress,
    /// A request with the same idempotency key may have run.
    OutcomeUnknown,
    /// The request ran but its answer is no longer stored.
    AnswerNotKept,
    /// The connection to the backend server broke after dispatch.
    UpstreamLost,
    /// The deadline passed after dispatch.
    DeadlineExceeded,
    /// A fault of the daemon itself.
    Internal,
    /// Backend servers crashed while they ran the same request before.
    Quarantined,
    /// The request has no valid API key.
    Unauthenticated,
    /// The tenant has used up its quota.
    QuotaExceeded,
    /// The client did not send its body or read its response while others waited for its place, or its body broke
    /// off.
    ClientFailed,
}

/// Answer to a request that failed with an error kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answer {
    /// Kind that is answered.
    pub kind: ErrorKind,
    /// Name in bodies, logs and metrics.
    pub name: &'static str,
    /// HTTP status code.
    pub status: u16,
    /// Whether the request ran.
    pub outcome: Outcome,
    /// Whether the same request can succeed when it is sent again.
    pub retryable: bool,
    /// Default value of `Retry-After`; none if the kind is not retryable.
    pub retry_after: Option<Duration>,
}

const fn row(
    kind: ErrorKind,
    name: &'static str,
    status: u16,
    outcome: Outcome,
    retry_after_secs: u64,
) -> Answer {
    let retryable = retry_after_secs > 0;
    let retry_after = if retryable { Some(Duration::from_secs(retry_after_secs)) } else { None };
    Answer { kind, name, status, outcome, retryable, retry_after }
}

/// The answer for each error kind, in the order of [`ErrorKind`], which indexes it.
pub const ANSWERS: [Answer; 26] = [
    row(ErrorKind::BadRequest, "bad_request", 400, Outcome::NotRun, 0),
    row(ErrorKind::BadKey, "bad_key", 400, Outcome::NotRun, 0),
    row(ErrorKind::Forbidden, "forbidden", 403, Outcome::NotRun, 0),
    row(ErrorKind::NoRoute, "no_route", 404, Outcome::NotRun, 0),
    row(ErrorKind::RequestTimeout, "request_timeout", 408, Outcome::NotRun, 0),
    row(ErrorKind::BodyTooLarge, "body_too_large", 413, Outcome::NotRun, 0),
    row(ErrorKind::KeyReused, "key_reused", 422, Outcome::NotRun, 0),
    row(ErrorKind::HeaderTooLarge, "header_too_large", 431, Outcome::NotRun, 0),
    row(ErrorKind::NotReady, "not_ready", 503, Outcome::NotRun, 1),
    row(ErrorKind::Draining, "draining", 503, Outcome::NotRun, 1),
    row(ErrorKind::Overloaded, "overloaded", 503, Outcome::NotRun, 1),
    row(ErrorKind::BackendRefused, "backend_refused", 503, Outcome::NotRun, 1),
    row(ErrorKind::DeadlineUnreachable, "deadline_unreachable", 503, Outcome::NotRun, 1),
    row(ErrorKind::NoBackendServer, "no_backend_server", 503, Outcome::NotRun, 1),
    row(ErrorKind::NotOwner, "not_owner", 503, Outcome::NotRun, 2),
    row(ErrorKind::OwnerChanging, "owner_changing", 503, Outcome::Unknown, 2),
    row(ErrorKind::InProgress, "in_progress", 409, Outcome::Unknown, 1),
    row(ErrorKind::OutcomeUnknown, "outcome_unknown", 502, Outcome::Unknown, 0),
    row(ErrorKind::AnswerNotKept, "answer_not_kept", 410, Outcome::Ran, 0),
    row(ErrorKind::UpstreamLost, "upstream_lost", 502, Outcome::Unknown, 0),
    row(ErrorKind::DeadlineExceeded, "deadline_exceeded", 504, Outcome::Unknown, 0),
    row(ErrorKind::Internal, "internal", 500, Outcome::Unknown, 0),
    row(ErrorKind::Quarantined, "quarantined", 503, Outcome::NotRun, 0),
    row(ErrorKind::Unauthenticated, "unauthenticated", 401, Outcome::NotRun, 0),
    row(ErrorKind::QuotaExceeded, "quota_exceeded", 429, Outcome::NotRun, 1),
    row(ErrorKind::ClientFailed, "client_failed", 502, Outcome::Unknown, 0),
];

impl ErrorKind {
    /// Answer for this kind.
    #[must_use]
    pub fn answer(self) -> &'static Answer {
        &ANSWERS[self as usize]
    }

    /// Name in bodies, logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        self.answer().name
    }

    /// Finds a kind by its name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        ANSWERS.iter().find(|answer| answer.name == name).map(|answer| answer.kind)
    }
}
