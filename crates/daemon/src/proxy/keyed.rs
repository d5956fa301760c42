//! Requests with an idempotency key, at the daemon that owns the key.
//!
//! The owner decides whether the request runs, is refused or gets the recorded response. Decision and
//! execution are a task of their own: if the caller disconnects, the execution continues and its
//! outcome is recorded for a repeated request.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{CallHead, KeyHead, KeyQueryWire, PriorAnswerWire};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::ServiceName;
use baobabreel_core::idempotency::{
    Attempt, Decision, KeptAnswer, Key, KeyedRequest, Origin, PriorAnswer, RunOutcome,
    refusal_before_owner,
};
use baobabreel_core::registry::Incarnate;
use bytes::{Bytes, BytesMut};
use futures_util::future::join_all;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::body::ProxyBody;
use super::call_error::CallError;
use super::caller_request::{CallerBody, CallerRequest};
use super::dispatch;
use super::headers;
use crate::context::Cx;
use crate::keys::PriorAnswers;

/// Time for a previous owner to answer a query about a key.
const PREVIOUS_OWNER_TIMEOUT: Duration = Duration::from_millis(500);

/// Most decisions about one request; previous owners are queried in between.
const MAX_DECISIONS: usize = 3;

/// Largest response body that is recorded for repeated requests, in bytes.
const MAX_RECORDED_BYTES: usize = 64 * 1024;

/// Largest response body of a request with a key, in bytes; it is buffered as a whole.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Request whose body is in memory.
#[derive(Debug, Clone)]
pub struct BufferedRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl BufferedRequest {
    /// Converts a request of a caller whose body was buffered.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] if the body is not in memory.
    pub fn new(req: CallerRequest) -> Result<Self, CallError> {
        let CallerBody::Buffered(body) = req.body else {
            let detail = "the body of a request with a key was not read";
            return Err(CallError::new(ErrorKind::Internal, detail));
        };
        Ok(Self { method: req.method, uri: req.uri, headers: req.headers, body })
    }

    /// Hash of method, path, query and body. Requests with the same key and another hash are not repeats.
    #[must_use]
    pub fn fingerprint(&self) -> u128 {
        let mut hasher = Xxh3::new();
        let target = self.uri.path_and_query();
        for part in [self.method.as_str(), target.map_or("", |path| path.as_str())] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        hasher.update(&self.body);
        hasher.digest128()
    }

    /// Copy of the request to send.
    #[must_use]
    pub fn to_request(&self) -> Request<ProxyBody> {
        let mut req = Request::new(ProxyBody::full(self.body.clone()));
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        req
    }
}

/// Reads the idempotency key of a request; `None` if it has none.
pub fn read_key(headers: &HeaderMap) -> Result<Option<Key>, CallError> {
    let Some(value) = headers.get(headers::IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let bad_key = |detail: String| CallError::new(ErrorKind::BadKey, detail);
    if headers.get_all(headers::IDEMPOTENCY_KEY).iter().count() > 1 {
        return Err(bad_key("more than one idempotency key".to_owned()));
    }
    let text =
        value.to_str().map_err(|e| bad_key(format!("failed to read idempotency key: {e}")))?;
    Key::parse(text).map(Some).map_err(|e| bad_key(e.to_string()))
}

/// Reads whether the caller marks the request as its first attempt.
#[must_use]
pub fn read_attempt(headers: &HeaderMap) -> Attempt {
    match headers.get(headers::ATTEMPT) {
        Some(value) if value == "first" => Attempt::First,
        _ => Attempt::MayRepeat,
    }
}

/// Reads whether a request with a key is marked as the first attempt; `None` if it has no key.
#[must_use]
pub fn read_attempt_if_keyed(headers: &HeaderMap) -> Option<Attempt> {
    let has_key = headers.contains_key(headers::IDEMPOTENCY_KEY);
    has_key.then(|| read_attempt(headers))
}

/// Adapts the error of a request with a key that is refused before the owner has decided.
///
/// Unless it is marked as the first attempt, an earlier one may have run, so the error must not promise that the
/// request did not. A body that breaks off or arrives too late says nothing about earlier attempts.
#[must_use]
pub fn error_before_owner(mut e: CallError, attempt: Attempt) -> CallError {
    e.kind = if e.kind == ErrorKind::BadRequest && e.is_transient {
        attempt.not_owner_or(ErrorKind::OwnerChanging)
    } else {
        refusal_before_owner(e.kind, attempt)
    };
    e
}

/// Decides about a request as the owner of its key, and executes it if the decision allows.
///
/// # Errors
///
/// The refusal, or why the execution failed.
pub async fn serve_as_owner(
    cx: &Cx,
    head: CallHead,
    key: KeyHead,
    origin: Origin,
    req: BufferedRequest,
) -> Result<Response<ProxyBody>, CallError> {
    let cx = Arc::clone(cx);
    let running = tokio::spawn(async move { decide_and_run(&cx, head, key, origin, req).await });
    match running.await {
        Ok(result) => result,
        Err(e) => Err(CallError::new(ErrorKind::Internal, e.to_string())),
    }
}

/// Does the work of [`serve_as_owner`] in its task.
async fn decide_and_run(
    cx: &Cx,
    mut head: CallHead,
    wire: KeyHead,
    origin: Origin,
    req: BufferedRequest,
) -> Result<Response<ProxyBody>, CallError> {
    // Counted, so that a drain waits for the execution even if the caller has disconnected.
    let _count = cx.count_request();
    let deadline = cx.clock.now() + Duration::from_millis(head.remaining_ms);
    let key =
        Key::parse(&wire.key).map_err(|e| CallError::new(ErrorKind::BadKey, e.to_string()))?;
    let service = head.service.clone();
    let request = KeyedRequest {
        service: &service,
        key: &key,
        fingerprint: wire.fingerprint.into(),
        attempt: wire.attempt(),
        origin,
    };
    if let Some(recorded) = decide(cx, &request).await? {
        return restore(&recorded);
    }
    let recorder = RunRecorder { cx, request: &request, is_recorded: false };
    head.key = None;
    let result = run(cx, &head, wire.fallback.as_ref(), deadline, &req).await;
    recorder.record(&result);
    Ok(result?.into_response(false))
}

/// Decides about a request, after querying previous owners if needed. Returns the recorded response,
/// or `None` if the request is to be executed, which is then already recorded as running.
async fn decide(cx: &Cx, request: &KeyedRequest<'_>) -> Result<Option<KeptAnswer>, CallError> {
    let mut priors = PriorAnswers::new();
    for _ in 0..MAX_DECISIONS {
        match cx.keys.decide(request, &priors) {
            Decision::Run => return Ok(None),
            Decision::Answer(kept) => return Ok(Some(kept)),
            Decision::Refuse(kind) => {
                return Err(CallError::new(kind, "decided by the owner of the key"));
            }
            Decision::Ask(owners) => {
                let answers =
                    owners.into_iter().map(|owner| query_previous_owner(cx, request, owner));
                priors.extend(join_all(answers).await);
            }
        }
    }
    let kind = request.attempt.no_owner_error();
    Err(CallError::new(kind, "the owners of the key changed again"))
}

/// Records the outcome of an execution; as unknown if it is dropped before.
struct RunRecorder<'a> {
    cx: &'a Cx,
    request: &'a KeyedRequest<'a>,
    is_recorded: bool,
}

impl RunRecorder<'_> {
    fn record(mut self, result: &Result<BufferedResponse, CallError>) {
        let finish = match result {
            Ok(answer) => RunOutcome::Ran(answer.to_recorded()),
            Err(e) if e.is_not_run() => RunOutcome::NotRun,
            Err(e) if e.kind == ErrorKind::AnswerNotKept => RunOutcome::Ran(None),
            Err(_) => RunOutcome::Unknown,
        };
        self.is_recorded = true;
        self.cx.keys.finish(self.request, finish);
    }
}

impl Drop for RunRecorder<'_> {
    fn drop(&mut self) {
        if !self.is_recorded {
            self.cx.keys.finish(self.request, RunOutcome::Unknown);
        }
    }
}

/// Asks a previous owner what it knows about the key; one that has left or is considered dead is not asked.
async fn query_previous_owner(
    cx: &Cx,
    request: &KeyedRequest<'_>,
    owner: Incarnate,
) -> (Incarnate, PriorAnswer) {
    let query = KeyQueryWire {
        daemon: owner.id.clone(),
        incarnation: owner.incarnation,
        service: request.service.to_owned(),
        key: request.key.as_str().to_owned(),
        fingerprint: request.fingerprint.into(),
    };
    let members = cx.members.load_full();
    let reachable = members
        .get(&owner.id)
        .filter(|member| !member.is_departed() && member.incarnation <= owner.incarnation);
    let answer: Option<PriorAnswerWire> = match reachable {
        Some(member) => {
            let ask =
                cx.ask_peer(member.peer_addr, "/peer/v1/outcome", &query, PREVIOUS_OWNER_TIMEOUT);
            ask.await
        }
        None => None,
    };
    (owner, answer.unwrap_or(PriorAnswerWire::Unreachable).into())
}

/// Sends the request to a backend server and buffers the response; further ones are tried only while no
/// earlier one ran it.
async fn run(
    cx: &Cx,
    head: &CallHead,
    fallback: Option<&ServiceName>,
    deadline: Duration,
    req: &BufferedRequest,
) -> Result<BufferedResponse, CallError> {
    let sent = dispatch::dispatch_until(cx, head, fallback, deadline, || req.to_request());
    let (parts, body) = sent.await?.into_parts();
    let body = read_answer(body).await?;
    Ok(BufferedResponse { status: parts.status, headers: parts.headers, body })
}

/// Reads a response body to its end. One over the limit is discarded, and an error is returned at its end.
async fn read_answer(mut body: ProxyBody) -> Result<Bytes, CallError> {
    let mut data = BytesMut::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| {
            let detail = format!("the answer broke off: {e}");
            CallError::new(ErrorKind::UpstreamLost, detail)
        })?;
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        is_whole &= data.len() + chunk.len() <= MAX_ANSWER_BYTES;
        if is_whole {
            data.extend_from_slice(&chunk);
        }
    }
    if is_whole {
        return Ok(data.freeze());
    }
    let detail = format!("the answer has more than {MAX_ANSWER_BYTES} bytes");
    Err(CallError::new(ErrorKind::AnswerNotKept, detail))
}

/// Response whose body is in memory.
struct BufferedResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

/// Recorded response, as it is serialized.
#[derive(Serialize, Deserialize)]
struct RecordedResponse {
    status: u16,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
}

impl BufferedResponse {
    /// Serializes the response without the headers of this exchange; `None` if it is too large.
    fn to_recorded(&self) -> Option<KeptAnswer> {
        if self.body.len() > MAX_RECORDED_BYTES {
            return None;
        }
        let pair = |(name, value): (&HeaderName, &HeaderValue)| {
            (name.as_str().to_owned(), value.as_bytes().to_vec())
        };
        let mut headers = self.headers.clone();
        headers::remove_unreplayable(&mut headers);
        let kept = RecordedResponse {
            status: self.status.as_u16(),
            headers: headers.iter().map(pair).collect(),
            body: self.body.clone(),
        };
        rmp_serde::to_vec(&kept).ok().map(Into::into)
    }

    fn into_response(self, is_replay: bool) -> Response<ProxyBody> {
        let mut res = Response::new(ProxyBody::full(self.body));
        *res.status_mut() = self.status;
        *res.headers_mut() = self.headers;
        let headers = res.headers_mut();
        headers.insert(headers::OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
        if is_replay {
            headers.insert(headers::REPLAYED, HeaderValue::from_static("true"));
        }
        res
    }
}

/// Rebuilds a response from its recorded form.
fn restore(kept: &KeptAnswer) -> Result<Response<ProxyBody>, CallError> {
    let unreadable = |e: String| CallError::new(ErrorKind::AnswerNotKept, e);
    let kept: RecordedResponse =
        rmp_serde::from_slice(kept).map_err(|e| unreadable(e.to_string()))?;
    let mut headers = HeaderMap::with_capacity(kept.headers.len());
    for (name, value) in kept.headers {
        let name =
            HeaderName::from_bytes(name.as_bytes()).map_err(|e| unreadable(e.to_string()))?;
        let value = HeaderValue::from_bytes(&value).map_err(|e| unreadable(e.to_string()))?;
        headers.append(name, value);
    }
    let status = StatusCode::from_u16(kept.status).map_err(|e| unreadable(e.to_string()))?;
    Ok(BufferedResponse { status, headers, body: kept.body }.into_response(true))
}
