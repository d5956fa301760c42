//! Requests with an idempotency key, at the daemon that owns the key.
//!
//! The decision and the run are a task of their own: when the caller goes away, the run goes on and
//! its outcome is recorded, so that a repeat learns it.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{CallHead, KeyHead, PriorWire, QueryWire};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::idempotency::{
    Attempt, Decision, Finish, KeptAnswer, Key, Request as KeyedRequest,
};
use baobabreel_core::registry::Incarnate;
use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Limited};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::answer::CallError;
use super::body::ProxyBody;
use super::dispatch;
use super::headers;
use crate::context::Cx;
use crate::keys::Priors;

/// Time for a previous owner to answer.
const PRIOR_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer that is kept for repeats, in bytes.
const MAX_KEPT_BYTES: usize = 64 * 1024;

/// Largest answer of a request with a key, in bytes; it is buffered as a whole.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Request whose body is in memory.
#[derive(Debug, Clone)]
pub struct WholeRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl WholeRequest {
    /// Hash of what makes it the same request: method, path and body.
    #[must_use]
    pub fn fingerprint(&self) -> u128 {
        let mut hasher = Xxh3::new();
        for part in [
            self.method.as_str().as_bytes(),
            self.uri.to_string().as_bytes(),
        ] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        hasher.update(&self.body);
        hasher.digest128()
    }

    /// Request to send.
    #[must_use]
    pub fn to_request(&self) -> Request<ProxyBody> {
        let mut req = Request::new(ProxyBody::full(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }
}

/// Reads the key of a request; `None` when it has none.
pub fn read_key(headers: &HeaderMap) -> Result<Option<Key>, CallError> {
    let Some(value) = headers.get(headers::KEY) else {
        return Ok(None);
    };
    let bad = |detail: String| CallError::new(ErrorKind::BadKey, detail);
    if headers.get_all(headers::KEY).iter().count() > 1 {
        return Err(bad("more than one idempotency key".to_owned()));
    }
    let text = value
        .to_str()
        .map_err(|e| bad(format!("failed to read idempotency key: {e}")))?;
    Key::parse(text).map(Some).map_err(|e| bad(e.to_string()))
}

/// What the caller says about earlier attempts.
#[must_use]
pub fn read_attempt(headers: &HeaderMap) -> Attempt {
    match headers.get(headers::ATTEMPT) {
        Some(value) if value == "first" => Attempt::First,
        _ => Attempt::MayRepeat,
    }
}

/// Decides about a request as the owner of its key, and runs it if it is to run.
///
/// # Errors
///
/// The refusal of the owner, or how the run failed.
pub async fn serve_as_owner(
    cx: &Cx,
    head: CallHead,
    key: KeyHead,
    req: WholeRequest,
) -> Result<Response<ProxyBody>, CallError> {
    let cx = Arc::clone(cx);
    let running = tokio::spawn(async move { own(&cx, head, key, req).await });
    match running.await {
        Ok(result) => result,
        Err(e) => Err(CallError::new(ErrorKind::Internal, e.to_string())),
    }
}

async fn own(
    cx: &Cx,
    mut head: CallHead,
    wire: KeyHead,
    req: WholeRequest,
) -> Result<Response<ProxyBody>, CallError> {
    let started = cx.clock.now();
    let key =
        Key::parse(&wire.key).map_err(|e| CallError::new(ErrorKind::BadKey, e.to_string()))?;
    let attempt = if wire.first {
        Attempt::First
    } else {
        Attempt::MayRepeat
    };
    let service = head.service.clone();
    let request = KeyedRequest {
        service: &service,
        key: &key,
        fingerprint: wire.fingerprint.into(),
        attempt,
    };
    let mut priors = Priors::new();
    loop {
        match cx.keys.decide(&request, cx.clock, &priors) {
            Decision::Run => break,
            Decision::Answer(kept) => return restore(&kept),
            Decision::Refuse(kind) => {
                return Err(CallError::new(kind, "decided by the owner of the key"));
            }
            Decision::Ask(owners) if priors.is_empty() => {
                priors = ask_priors(cx, &request, owners).await;
            }
            Decision::Ask(_) => {
                let kind = attempt.undecided(ErrorKind::InProgress);
                return Err(CallError::new(kind, "the owners of the key changed again"));
            }
        }
    }
    let recording = Recording {
        cx,
        request: &request,
        ended: false,
    };
    head.remaining_ms = head
        .remaining_ms
        .saturating_sub(millis(cx.clock.now() - started))
        .max(1);
    head.key = None;
    let result = run(cx, &head, &req).await;
    recording.end(&result);
    result.map(|answer| answer.into_response(false))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A run that is recorded as unknown unless its end is told.
struct Recording<'a> {
    cx: &'a Cx,
    request: &'a KeyedRequest<'a>,
    ended: bool,
}

impl Recording<'_> {
    fn end(mut self, result: &Result<WholeAnswer, CallError>) {
        let finish = match result {
            Ok(answer) => Finish::Ran(answer.keep()),
            Err(e) if e.is_not_run() => Finish::NotRun,
            Err(_) => Finish::Unknown,
        };
        self.ended = true;
        self.cx
            .keys
            .finish(self.request, finish, self.cx.clock.now());
    }
}

impl Drop for Recording<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.cx
                .keys
                .finish(self.request, Finish::Unknown, self.cx.clock.now());
        }
    }
}

async fn ask_priors(cx: &Cx, request: &KeyedRequest<'_>, owners: Vec<Incarnate>) -> Priors {
    let mut answers = Priors::new();
    for owner in owners {
        let query = QueryWire {
            daemon: owner.id.clone(),
            incarnation: owner.incarnation,
            service: request.service.to_owned(),
            key: request.key.as_str().to_owned(),
            fingerprint: request.fingerprint.into(),
        };
        let addr = cx
            .members
            .load()
            .get(&owner.id)
            .map(|member| member.peer_addr);
        let answer: Option<PriorWire> = match addr {
            Some(addr) => {
                cx.ask_peer(addr, "/peer/v1/outcome", &query, PRIOR_TIMEOUT)
                    .await
            }
            None => None,
        };
        answers.push((owner, answer.unwrap_or(PriorWire::Unreachable).into()));
    }
    answers
}

/// Runs the request here or, as long as it is proved not to have run, at another daemon.
async fn run(cx: &Cx, head: &CallHead, req: &WholeRequest) -> Result<WholeAnswer, CallError> {
    let deadline = cx.clock.now() + Duration::from_millis(head.remaining_ms);
    let res = dispatch::dispatch_until(cx, head, deadline, || req.to_request()).await?;
    let (parts, body) = res.into_parts();
    match Limited::new(body, MAX_ANSWER_BYTES).collect().await {
        Ok(body) => Ok(WholeAnswer {
            status: parts.status,
            headers: parts.headers,
            body: body.to_bytes(),
        }),
        Err(e) => Err(CallError::new(
            ErrorKind::UpstreamLost,
            format!("the answer broke off: {e}"),
        )),
    }
}

/// Answer whose body is in memory.
struct WholeAnswer {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Form in which answers are kept.
#[derive(Serialize, Deserialize)]
struct Kept {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl WholeAnswer {
    fn keep(&self) -> Option<KeptAnswer> {
        if self.body.len() > MAX_KEPT_BYTES {
            return None;
        }
        let pair = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        let kept = Kept {
            status: self.status.as_u16(),
            headers: self.headers.iter().map(pair).collect(),
            body: self.body.clone(),
        };
        rmp_serde::to_vec(&kept).ok().map(Into::into)
    }

    fn into_response(self, repeated: bool) -> Response<ProxyBody> {
        let mut res = Response::new(ProxyBody::full(self.body));
        *res.status_mut() = self.status;
        *res.headers_mut() = self.headers;
        let headers = res.headers_mut();
        headers.insert(
            headers::OUTCOME,
            HeaderValue::from_static(Outcome::Ran.as_str()),
        );
        if repeated {
            headers.insert(headers::REPLAYED, HeaderValue::from_static("true"));
        }
        res
    }
}

fn restore(kept: &KeptAnswer) -> Result<Response<ProxyBody>, CallError> {
    let fault = |e: String| CallError::new(ErrorKind::AnswerNotKept, e);
    let kept: Kept = rmp_serde::from_slice(kept).map_err(|e| fault(e.to_string()))?;
    let mut headers = HeaderMap::with_capacity(kept.headers.len());
    for (name, value) in kept.headers {
        let name = HeaderName::from_bytes(name.as_bytes()).map_err(|e| fault(e.to_string()))?;
        let value = HeaderValue::from_bytes(&value).map_err(|e| fault(e.to_string()))?;
        headers.append(name, value);
    }
    let status = StatusCode::from_u16(kept.status).map_err(|e| fault(e.to_string()))?;
    Ok(WholeAnswer {
        status,
        headers,
        body: kept.body,
    }
    .into_response(true))
}
