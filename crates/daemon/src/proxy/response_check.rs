//! Checks whether a response of the backend server may be passed on.
//!
//! A faulty backend server can send bytes that belong to the response to another request, or a status
//! that implies that nothing ran although it does not say so. A response that fails a check is dropped
//! with its connection.

use baobabreel_core::error::ErrorKind;
use http::header::{CONTENT_ENCODING, TRANSFER_ENCODING};
use http::{HeaderValue, Response, StatusCode, Version};
use http_body::Body;
use hyper::body::Incoming;

use super::call_error::CallError;
use crate::dialect::{Dialect, Proofs};

/// Rejects a response whose status is no final status. Interim responses are skipped by the HTTP library, except a 101
/// that nobody asked for.
pub fn check_status<B>(res: &Response<B>) -> Result<(), CallError> {
    if (200..=599).contains(&res.status().as_u16()) {
        return Ok(());
    }
    let detail = format!("the answer has status {}, which is no final one", res.status().as_u16());
    Err(CallError::new(ErrorKind::UpstreamLost, detail))
}

/// Turns a response into an error if it is marked as a refusal that ran nothing, or lacks a required part.
pub fn check_response(dialect: &Dialect, res: &Response<Incoming>) -> Result<(), CallError> {
    let is_refusal = res.status() == StatusCode::SERVICE_UNAVAILABLE
        || (dialect.proofs.is_some() && !res.status().is_success());
    if is_refusal && dialect.not_run.is_in(res.headers()) {
        let detail = "the backend server refused the request";
        return Err(CallError::new(ErrorKind::BackendRefused, detail));
    }
    if let Some(proofs) = &dialect.proofs {
        check_claims(proofs, res)?;
    }
    if dialect.close_delimited_answers || is_framed(res) {
        return Ok(());
    }
    Err(CallError::new(ErrorKind::UpstreamLost, "the answer has neither a length nor chunks"))
}

/// Rejects a response to another request, or from another instance.
///
/// A refusal proves that a request did not run only if it is certainly about this one: it names the request, or
/// no earlier request used the connection.
pub fn check_origin(
    dialect: &Dialect,
    request_id: Option<&HeaderValue>,
    res: &Response<Incoming>,
    is_reused_connection: bool,
) -> Result<(), CallError> {
    let Some(proofs) = &dialect.proofs else { return Ok(()) };
    let lost = |detail: &str| Err(CallError::new(ErrorKind::UpstreamLost, detail));
    let response_id = res.headers().get(&dialect.request_id);
    if response_id.is_some() && response_id != request_id {
        return lost("the answer belongs to another request");
    }
    let is_other_instance = res.status() == proofs.other_instance;
    let is_refusal = is_other_instance || dialect.not_run.is_in(res.headers());
    if is_refusal && response_id.is_none() && is_reused_connection {
        return lost("the refusal may belong to an earlier request of the connection");
    }
    if is_other_instance {
        let detail = "another instance has the address of the backend server";
        return Err(CallError::new(ErrorKind::BackendRefused, detail));
    }
    Ok(())
}

/// Rejects a success without a signature, and a status that implies that nothing ran on a response that is not
/// marked so.
fn check_claims(proofs: &Proofs, res: &Response<Incoming>) -> Result<(), CallError> {
    let lost = |detail: &str| Err(CallError::new(ErrorKind::UpstreamLost, detail));
    let status = res.status();
    if status.is_success() {
        if !res.headers().contains_key(&proofs.signature) {
            return lost("the answer has no signature");
        }
        if res.headers().contains_key(CONTENT_ENCODING) {
            return lost("the answer has an encoding that was not asked for");
        }
        return Ok(());
    }
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if not_run_statuses.contains(&status) {
        return lost("the backend server refused without saying that nothing ran");
    }
    Ok(())
}

/// Whether the end of the body is known other than by the end of the connection.
fn is_framed(res: &Response<Incoming>) -> bool {
    let body = res.body();
    res.version() == Version::HTTP_2
        || body.is_end_stream()
        || body.size_hint().exact().is_some()
        || res.headers().contains_key(TRANSFER_ENCODING)
}
