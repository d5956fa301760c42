//! Headers that the daemon exchanges with callers and backend servers.
//!
//! The product has names of its own. On a platform with an agreed protocol, the adapter names that
//! platform's headers here; the data path stays the same.

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::proxy::{OUTCOME, TIMEOUT};

/// How an answer of a backend server says that it did not run the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NotRunMark {
    /// Header that says it.
    pub header: HeaderName,
    /// Value that it must have; any value counts when absent.
    pub value: Option<HeaderValue>,
}

impl NotRunMark {
    /// Whether the mark is among these headers.
    #[must_use]
    pub fn is_in(&self, headers: &HeaderMap) -> bool {
        let found = headers.get(&self.header);
        found.is_some_and(|found| self.value.as_ref().is_none_or(|value| value == found))
    }
}

/// Headers of an agreed protocol that prove what an answer belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Proofs {
    /// Header without which a success is not the answer of a backend server.
    pub signature: HeaderName,
    /// Instance that a request is meant for; another one refuses it.
    pub target_instance: HeaderName,
    /// Instance that answers.
    pub instance: HeaderName,
    /// Status of the refusal of another instance.
    pub other_instance: StatusCode,
}

/// Names and habits of the protocol towards callers and backend servers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dialect {
    /// Identifier of a request.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds.
    pub timeout: HeaderName,
    /// Mark of a backend server that did not run the request.
    pub not_run: NotRunMark,
    /// Service of the instance at which a request began.
    pub caller_service: Option<HeaderName>,
    /// Load of a backend server.
    pub load: Option<HeaderName>,
    /// Proofs that answers carry beside the identifier of the request; without them an answer is taken as it comes.
    pub proofs: Option<Proofs>,
    /// Whether the headers of the product itself are spoken: outcome, retry mark, keys and traces.
    pub own_headers: bool,
    /// Whether an answer may end with its connection.
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
            load: None,
            proofs: None,
            own_headers: true,
            close_delimited_answers: false,
            fractional_retry_after: false,
        }
    }
}
