//! Headers that the daemon exchanges with callers and backend servers.
//!
//! The daemon has header names of its own. On a platform with a protocol of its own, a [`Dialect`] has that
//! platform's header names; the data path is the same for both.

use baobabreel_core::condition::Condition;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::proxy::{OUTCOME, TIMEOUT};

/// Response header with which a backend server says that it did not run the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunMark {
    /// Name of the header.
    pub header: HeaderName,
    /// Required value; `None` accepts any value.
    pub value: Option<HeaderValue>,
}

impl NotRunMark {
    /// Whether the headers contain the mark.
    #[must_use]
    pub fn is_in(&self, headers: &HeaderMap) -> bool {
        let found = headers.get(&self.header);
        found.is_some_and(|found| self.value.as_ref().is_none_or(|value| value == found))
    }
}

/// Headers of a platform's protocol that prove which request and instance a response belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proofs {
    /// Header that every successful response of a backend server has.
    pub signature: HeaderName,
    /// Header with the instance that a request is meant for; other instances refuse the request.
    pub target_instance: HeaderName,
    /// Header with the instance that responds.
    pub instance: HeaderName,
    /// Status code with which another instance refuses a request.
    pub other_instance: StatusCode,
}

/// Parses what a backend server states about itself in the headers of a response.
#[derive(Debug, Clone, Copy)]
pub struct ConditionReader(pub fn(&HeaderMap) -> Condition);

impl ConditionReader {
    /// Parses the statements in the headers of a response.
    #[must_use]
    pub fn read(self, headers: &HeaderMap) -> Condition {
        (self.0)(headers)
    }
}

impl PartialEq for ConditionReader {
    fn eq(&self, other: &Self) -> bool {
        std::ptr::fn_addr_eq(self.0, other.0)
    }
}

impl Eq for ConditionReader {}

/// Header names and variations of the protocol towards callers and backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dialect {
    /// Header with the identifier of a request.
    pub request_id: HeaderName,
    /// Header with the time until the deadline, in milliseconds.
    pub timeout: HeaderName,
    /// Mark of a response whose request was not run.
    pub not_run: NotRunMark,
    /// Header with the service of the instance that the request comes from.
    pub caller_service: Option<HeaderName>,
    /// Header with the tenant of the request.
    pub tenant: Option<HeaderName>,
    /// Header with the load of a backend server.
    pub load: Option<HeaderName>,
    /// Parses what a backend server states about itself in the headers of a response.
    pub condition: ConditionReader,
    /// Proofs that responses carry beside the identifier of the request; without them responses are not
    /// checked.
    pub proofs: Option<Proofs>,
    /// Whether the daemon's own headers are used: outcome, retry mark, idempotency keys and traces.
    pub own_headers: bool,
    /// Whether the end of the connection may mark the end of a response body.
    pub close_delimited_answers: bool,
    /// Whether `Retry-After` may have fractions of a second.
    pub fractional_retry_after: bool,
}

impl Default for Dialect {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static("x-request-id"),
            timeout: TIMEOUT,
            not_run: NotRunMark {
                header: OUTCOME,
                value: Some(HeaderValue::from_static("not_run")),
            },
            caller_service: None,
            tenant: None,
            load: None,
            condition: ConditionReader(|_| Condition::default()),
            proofs: None,
            own_headers: true,
            close_delimited_answers: false,
            fractional_retry_after: false,
        }
    }
}
