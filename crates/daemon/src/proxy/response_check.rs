//! Whether an answer of the backend server may be passed on.
//!
//! A faulty backend server can answer a request with bytes that belong to another one, or claim a
//! state that it promises nothing for. An answer that fails a check is dropped with its connection.

use baobabreel_core::error::ErrorKind;
use http::header::{CONTENT_ENCODING, TRANSFER_ENCODING};
use http::{HeaderValue, Response, StatusCode, Version};
use http_body::Body;
use hyper::body::Incoming;

use super::call_error::CallError;
use crate::dialect::{Dialect, Proofs};

/// Refuses answers that say that nothing ran, and those that do not belong to the request.
pub fn check_response(
    dialect: &Dialect,
    request_id: Option<&HeaderValue>,
    res: &Response<Incoming>,
) -> Result<(), CallError> {
    if let Some(proofs) = &dialect.proofs {
        check_owner(dialect, proofs, request_id, res)?;
    }
    let is_shed = res.status() == StatusCode::SERVICE_UNAVAILABLE
        || (dialect.proofs.is_some() && !res.status().is_success());
    if is_shed && dialect.not_run.is_in(res.headers()) {
        let detail = "the backend server refused the request";
        return Err(CallError::new(ErrorKind::BackendRefused, detail));
    }
    if let Some(proofs) = &dialect.proofs {
        check_promises(proofs, res)?;
    }
    if dialect.unframed_answers || is_framed(res) {
        return Ok(());
    }
    Err(CallError::new(ErrorKind::UpstreamLost, "the answer has neither a length nor chunks"))
}

/// Refuses an answer to another request, and that of another instance.
fn check_owner(
    dialect: &Dialect,
    proofs: &Proofs,
    request_id: Option<&HeaderValue>,
    res: &Response<Incoming>,
) -> Result<(), CallError> {
    if res.status() == proofs.other_instance {
        let detail = "another instance has the address of the backend server";
        return Err(CallError::new(ErrorKind::BackendRefused, detail));
    }
    let answered = res.headers().get(&dialect.request_id);
    if answered.is_some() && answered != request_id {
        let detail = "the answer belongs to another request";
        return Err(CallError::new(ErrorKind::UpstreamLost, detail));
    }
    Ok(())
}

/// Refuses a success without proof, and a status that promises what the backend server did not say.
fn check_promises(proofs: &Proofs, res: &Response<Incoming>) -> Result<(), CallError> {
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
    let promises_not_run = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    if promises_not_run.contains(&status) {
        return lost("the backend server refused without saying that nothing ran");
    }
    Ok(())
}

fn is_framed(res: &Response<Incoming>) -> bool {
    let body = res.body();
    res.version() == Version::HTTP_2
        || body.is_end_stream()
        || body.size_hint().exact().is_some()
        || res.headers().contains_key(TRANSFER_ENCODING)
}
