//! Requests of callers, whose small bodies are buffered so that they can be sent more than once.

use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, HeaderValue, Method, Request, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Body;

use baobabreel_core::error::ErrorKind;
use baobabreel_core::quarantine::RequestDigest;
use xxhash_rust::xxh3::Xxh3;

use super::body::ProxyBody;
use super::call_error::CallError;
use super::headers;
use super::request_body::RequestBody;

/// Largest body that is buffered for retries, in bytes.
pub const MAX_REPLAY_BYTES: u64 = 64 * 1024;

/// Time in which a body of unknown length may turn out to be small. One that comes more slowly is passed on as it
/// comes.
const UNKNOWN_LENGTH_WAIT: Duration = Duration::from_millis(100);

/// Body of a caller's request.
#[derive(Debug)]
pub enum CallerBody {
    /// In memory; can be sent again.
    Buffered(Bytes),
    /// Streamed, at most the given number of bytes; can be sent once.
    Stream(RequestBody, u64),
    /// Streamed already.
    Sent,
}

/// Request of a caller without the headers of its connection.
#[derive(Debug)]
pub struct CallerRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers that are passed on.
    pub headers: HeaderMap,
    /// Body.
    pub body: CallerBody,
    /// Digest, known if the body is in memory.
    digest: Option<RequestDigest>,
}

impl CallerRequest {
    /// Prepares a request. The body is buffered if it is small and arrives soon, or if `keep_body` is set.
    ///
    /// # Errors
    ///
    /// The body is larger than `max_body` (with `keep_body`, than [`MAX_REPLAY_BYTES`]), breaks off, or does not arrive
    /// within `timeout`.
    pub async fn new(
        mut parts: Parts,
        body: RequestBody,
        max_body: u64,
        keep_body: bool,
        timeout: Duration,
    ) -> Result<Self, CallError> {
        headers::remove_hop_by_hop(&mut parts.headers);
        headers::remove_internal(&mut parts.headers);
        let size = body.size_hint();
        if size.lower() > max_body {
            return Err(CallError::new(
                ErrorKind::BodyTooLarge,
                format!("the body has more than {max_body} bytes"),
            ));
        }
        if keep_body && size.lower() > MAX_REPLAY_BYTES {
            return Err(keyed_body_too_large());
        }
        let is_small = size.exact().is_some_and(|bytes| bytes <= MAX_REPLAY_BYTES);
        let body = if is_small || keep_body {
            CallerBody::Buffered(read_body(body, timeout).await?)
        } else if size.exact().is_none() {
            read_unknown(body, max_body, timeout.min(UNKNOWN_LENGTH_WAIT)).await?
        } else {
            CallerBody::Stream(body, max_body)
        };
        Ok(Self {
            method: parts.method,
            uri: origin_form(&parts.uri),
            headers: parts.headers,
            body,
            digest: None,
        })
    }

    /// Computes the digest, from all that makes two requests the same; `caller_service` is the service that sends
    /// the request. Called once the headers are complete.
    pub fn compute_digest(&mut self, caller_service: &str) {
        let CallerBody::Buffered(body) = &self.body else { return };
        let host = self.headers.get(HOST).map_or(&b""[..], HeaderValue::as_bytes);
        let target = self.uri.path_and_query().map_or("/", |target| target.as_str());
        let parts = [
            self.method.as_str().as_bytes(),
            host,
            target.as_bytes(),
            caller_service.as_bytes(),
            body,
        ];
        let mut hash = Xxh3::new();
        for part in parts {
            // The length keeps the end of a part from being taken for the start of the next one.
            hash.update(&part.len().to_be_bytes());
            hash.update(part);
        }
        self.digest = Some(hash.digest128());
    }

    /// Digest, if the body is in memory.
    #[must_use]
    pub fn digest(&self) -> Option<RequestDigest> {
        self.digest
    }

    /// Whether the body can be sent again.
    #[must_use]
    pub fn can_resend(&self) -> bool {
        matches!(self.body, CallerBody::Buffered(_))
    }

    /// Builds the request for one attempt; takes a body that is streamed.
    pub fn attempt(&mut self) -> Request<ProxyBody> {
        let body = match &mut self.body {
            CallerBody::Buffered(data) => ProxyBody::full(data.clone()),
            streamed => match std::mem::replace(streamed, CallerBody::Sent) {
                CallerBody::Stream(inner, left) => ProxyBody::Stream { inner, left },
                _ => ProxyBody::Empty,
            },
        };
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        if let Some(digest) = self.digest {
            headers::write_digest(req.headers_mut(), digest);
        }
        req
    }
}

/// Buffers a body of at most [`MAX_REPLAY_BYTES`].
async fn read_body(body: RequestBody, timeout: Duration) -> Result<Bytes, CallError> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = usize::try_from(MAX_REPLAY_BYTES).unwrap_or(usize::MAX);
    match tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(keyed_body_too_large()),
        Ok(Err(_)) => Err(CallError::transient(ErrorKind::BadRequest, "the body broke off")),
        Err(_) => {
            Err(CallError::transient(ErrorKind::RequestTimeout, "the body did not come in time"))
        }
    }
}

/// Buffers a body of unknown length if it turns out to be small.
async fn read_unknown(
    body: RequestBody,
    max_body: u64,
    wait: Duration,
) -> Result<CallerBody, CallError> {
    let limit = usize::try_from(MAX_REPLAY_BYTES.min(max_body)).unwrap_or(usize::MAX);
    match body.read_start(limit, wait).await {
        Ok((data, None)) if data.len() <= limit => Ok(CallerBody::Buffered(data)),
        Ok((data, None)) => Ok(CallerBody::Stream(RequestBody::whole(data), max_body)),
        Ok((data, Some(rest))) => Ok(CallerBody::Stream(RequestBody::begun(data, rest), max_body)),
        Err(_) => Err(CallError::transient(ErrorKind::BadRequest, "the body broke off")),
    }
}

fn keyed_body_too_large() -> CallError {
    let detail = format!("the body of a request with a key has more than {MAX_REPLAY_BYTES} bytes");
    CallError::new(ErrorKind::BodyTooLarge, detail)
}

/// Path and query of a URI, without scheme and authority.
fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| Uri::from_static("/"), Uri::from)
}
