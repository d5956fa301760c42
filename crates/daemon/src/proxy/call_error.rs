//! Errors of the request path and the responses made from them.

use std::time::Duration;

use baobabreel_client::wire::LoadWire;
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::RouteName;
use http::header::{CONTENT_TYPE, RETRY_AFTER, WWW_AUTHENTICATE};
use http::{HeaderValue, Response, StatusCode};

use super::body::ProxyBody;
use super::headers::OUTCOME;
use super::pool::SendError;
use crate::dialect::Dialect;

/// Error of a request that the daemon answers itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallError {
    /// Kind of the error.
    pub kind: ErrorKind,
    /// Time after which to retry, if it differs from the default of the kind.
    pub retry_after: Option<Duration>,
    /// Description for people.
    pub detail: String,
    /// Whether to close the caller's connection after the response.
    pub close: bool,
    /// Whether it occurred at this daemon and was not reported by another one.
    pub is_local: bool,
    /// Whether it says nothing about other attempts of the same request, whatever its kind. An example is a body
    /// that broke off.
    pub is_transient: bool,
    /// Load of the backend server, if it refused the call for lack of a free slot.
    pub full_load: Option<LoadWire>,
    /// Route of the request, for metrics.
    pub route: Option<RouteName>,
}

impl CallError {
    /// Creates an error of this daemon.
    pub fn new(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            retry_after: None,
            detail: detail.into(),
            close: false,
            is_local: true,
            is_transient: false,
            full_load: None,
            route: None,
        }
    }

    /// Creates the error of a request that got no response from `server`.
    pub fn from_send_error(e: SendError, server: &str) -> Self {
        match e {
            SendError::NotSent(detail) => Self::new(ErrorKind::NoBackendServer, detail),
            SendError::Unreachable => {
                Self::new(ErrorKind::NoBackendServer, "failed to connect in time")
            }
            SendError::Full => {
                let detail = format!("all connections to {server} are in use");
                Self::new(ErrorKind::Overloaded, detail)
            }
            SendError::Lost(detail) => Self::new(ErrorKind::UpstreamLost, detail),
            SendError::TakenBack => Self::client_failed(),
        }
    }

    /// Creates the error of a request whose client failed after a part of it was sent.
    pub fn client_failed() -> Self {
        let mut e =
            Self::new(ErrorKind::ClientFailed, "the body broke off or did not come in time");
        e.close = true;
        e
    }

    /// Creates the error of a call that must not be queued and found no free slot.
    pub fn no_free_slot(load: LoadWire) -> Self {
        let mut e = Self::new(ErrorKind::Overloaded, "no slot is free");
        e.full_load = Some(load);
        e
    }

    /// Creates an error that says nothing about other attempts of the same request.
    pub fn transient(kind: ErrorKind, detail: impl Into<String>) -> Self {
        let mut e = Self::new(kind, detail);
        e.is_transient = true;
        e
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }

    /// Whether the request certainly did not run.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.kind.answer().outcome == Outcome::NotRun
    }

    /// Response for a caller.
    #[must_use]
    pub fn into_response(self, dialect: &Dialect) -> Response<ProxyBody> {
        let answer = self.kind.answer();
        let retry_after = self.retry_after.or(answer.retry_after);
        let body = serde_json::json!({
            "error": answer.name,
            "outcome": answer.outcome.as_str(),
            "retryable": answer.retryable,
            "detail": self.detail,
        });
        let mut res = Response::new(ProxyBody::full(body.to_string()));
        *res.status_mut() =
            StatusCode::from_u16(answer.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        let headers = res.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if dialect.own_headers {
            headers.insert(OUTCOME, HeaderValue::from_static(answer.outcome.as_str()));
        }
        if let Some(after) = retry_after.filter(|_| answer.retryable) {
            headers.insert(RETRY_AFTER, retry_after_value(after, dialect));
        }
        if self.kind == ErrorKind::Unauthenticated {
            headers.insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
        }
        if self.close {
            headers.insert(http::header::CONNECTION, HeaderValue::from_static("close"));
        }
        res
    }

    /// Response without the details of the error, whose body would take memory while its client does not read.
    #[must_use]
    pub fn into_response_without_body(self, dialect: &Dialect) -> Response<ProxyBody> {
        let mut res = self.into_response(dialect).map(|_| ProxyBody::Empty);
        res.headers_mut().remove(CONTENT_TYPE);
        res
    }
}

/// Value of `Retry-After`.
fn retry_after_value(after: Duration, dialect: &Dialect) -> HeaderValue {
    if dialect.fractional_retry_after {
        let text = format!("{:.3}", after.as_secs_f64());
        return HeaderValue::from_str(&text).unwrap_or(HeaderValue::from_static("1"));
    }
    // Whole seconds, rounded up; 0 would ask for an immediate retry.
    let secs = after.as_millis().div_ceil(1_000).max(1);
    HeaderValue::from(u64::try_from(secs).unwrap_or(1))
}
