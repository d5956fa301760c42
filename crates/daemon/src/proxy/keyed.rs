//! Requests with an idempotency key, at the daemon that owns the key.
//!
//! The decision and the run are a task of their own: when the caller goes away, the run goes on and
//! its outcome is recorded, so that a repeat learns it.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{CallHead, KeyHead, PriorWire, QueryWire};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::ServiceName;
use baobabreel_core::idempotency::{
    Attempt, Decision, KeptAnswer, Key, KeyedRequest, PriorAnswer, RunOutcome, refusal_before_owner,
};
use baobabreel_core::registry::Incarnate;
use bytes::{Bytes, BytesMut};
use futures_util::future::join_all;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::BodyExt;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::answer::CallError;
use super::body::ProxyBody;
use super::dispatch;
use super::headers;
use super::replay::{CallerBody, CallerRequest};
use crate::context::Cx;
use crate::keys::PriorAnswers;

/// Time for a previous owner to answer.
const PRIOR_TIMEOUT: Duration = Duration::from_millis(500);

/// Times that a decision is made about one request; previous owners are asked in between.
const MAX_DECISIONS: usize = 3;

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
    /// Takes over a request of a caller whose body was read.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Internal`] when the body is not in memory.
    pub fn new(req: CallerRequest) -> Result<Self, CallError> {
        let CallerBody::Kept(body) = req.body else {
            let detail = "the body of a request with a key was not read";
            return Err(CallError::new(ErrorKind::Internal, detail));
        };
        Ok(Self { method: req.method, uri: req.uri, headers: req.headers, body })
    }

    /// Hash of what makes it the same request: method, path, query and body.
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
    let text = value.to_str().map_err(|e| bad(format!("failed to read idempotency key: {e}")))?;
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

/// What the caller of a request that has a key says about earlier attempts.
#[must_use]
pub fn read_repeat(headers: &HeaderMap) -> Option<Attempt> {
    let has_key = headers.contains_key(headers::KEY);
    has_key.then(|| read_attempt(headers))
}

/// Error for a request with a key that this daemon refuses before the owner has decided.
///
/// That a body broke off or came too late says nothing about earlier attempts.
#[must_use]
pub fn before_owner(mut e: CallError, attempt: Attempt) -> CallError {
    e.kind = if e.kind == ErrorKind::BadRequest && e.is_passing {
        attempt.not_owner_or(ErrorKind::OwnerChanging)
    } else {
        refusal_before_owner(e.kind, attempt)
    };
    e
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
    // A drain waits for the run even when its caller has gone.
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
    };
    if let Some(kept) = decide(cx, &request).await? {
        return restore(&kept);
    }
    let recording = Recording { cx, request: &request, ended: false };
    head.key = None;
    let result = run(cx, &head, wire.fallback.as_ref(), deadline, &req).await;
    recording.end(&result);
    Ok(result?.into_response(false))
}

/// Decides about a request, with the answers of previous owners if it takes them; `None` when it is
/// to be run, which is recorded then.
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
                let answers = owners.into_iter().map(|owner| ask_prior(cx, request, owner));
                priors.extend(join_all(answers).await);
            }
        }
    }
    let kind = request.attempt.no_owner_error();
    Err(CallError::new(kind, "the owners of the key changed again"))
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
            Ok(answer) => RunOutcome::Ran(answer.keep()),
            Err(e) if e.is_not_run() => RunOutcome::NotRun,
            Err(e) if e.kind == ErrorKind::AnswerNotKept => RunOutcome::Ran(None),
            Err(_) => RunOutcome::Unknown,
        };
        self.ended = true;
        self.cx.keys.finish(self.request, finish);
    }
}

impl Drop for Recording<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.cx.keys.finish(self.request, RunOutcome::Unknown);
        }
    }
}

/// Asks a previous owner; one that has ended or is taken for dead is not waited for.
async fn ask_prior(
    cx: &Cx,
    request: &KeyedRequest<'_>,
    owner: Incarnate,
) -> (Incarnate, PriorAnswer) {
    let query = QueryWire {
        daemon: owner.id.clone(),
        incarnation: owner.incarnation,
        service: request.service.to_owned(),
        key: request.key.as_str().to_owned(),
        fingerprint: request.fingerprint.into(),
    };
    let members = cx.members.load_full();
    let asked = members
        .get(&owner.id)
        .filter(|member| !member.is_departed() && member.incarnation <= owner.incarnation);
    let answer: Option<PriorWire> = match asked {
        Some(member) => {
            let ask = cx.ask_peer(member.peer_addr, "/peer/v1/outcome", &query, PRIOR_TIMEOUT);
            ask.await
        }
        None => None,
    };
    (owner, answer.unwrap_or(PriorWire::Unreachable).into())
}

/// Runs the request here or, as long as it is proved not to have run, at another daemon.
async fn run(
    cx: &Cx,
    head: &CallHead,
    fallback: Option<&ServiceName>,
    deadline: Duration,
    req: &WholeRequest,
) -> Result<WholeAnswer, CallError> {
    let sent = dispatch::dispatch_until(cx, head, fallback, deadline, || req.to_request());
    let (parts, body) = sent.await?.into_parts();
    let body = read_answer(body).await?;
    Ok(WholeAnswer { status: parts.status, headers: parts.headers, body })
}

/// Reads an answer to its end; the part of it that is over the limit is not kept.
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
        let mut headers = self.headers.clone();
        headers::remove_momentary(&mut headers);
        let kept = Kept {
            status: self.status.as_u16(),
            headers: headers.iter().map(pair).collect(),
            body: self.body.clone(),
        };
        rmp_serde::to_vec(&kept).ok().map(Into::into)
    }

    fn into_response(self, repeated: bool) -> Response<ProxyBody> {
        let mut res = Response::new(ProxyBody::full(self.body));
        *res.status_mut() = self.status;
        *res.headers_mut() = self.headers;
        let headers = res.headers_mut();
        headers.insert(headers::OUTCOME, HeaderValue::from_static(Outcome::Ran.as_str()));
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
    Ok(WholeAnswer { status, headers, body: kept.body }.into_response(true))
}
