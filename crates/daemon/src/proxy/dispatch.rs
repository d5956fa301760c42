//! One attempt at one backend server, and the choice of it.

use std::collections::VecDeque;
use std::time::Duration;

use baobabreel_client::wire::{AnswerHead, CallHead, LoadWire};
use baobabreel_core::balance::Failure as EndpointFailure;
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::ServiceName;
use bytes::Bytes;
use http::header::{HOST, RETRY_AFTER};
use http::{HeaderValue, Request, Response, Version};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use super::answer::CallError;
use super::balance::EntryGuard;
use super::body::{BodyError, Guard, ProxyBody};
use super::headers;
use super::host;
use super::peer_call::CALL_PREFIX;
use super::pool::PooledConnection;
use super::watch::{self, Callee, Terms, Watched};
use crate::context::{Cx, is_able};

/// Largest body of an answer that is read as a whole before its head is passed on, in bytes.
const MAX_HELD_BYTES: u64 = 64 * 1024;

/// Longest time that the head of an answer waits for a body without a length.
const MAX_HOLD_TIME: Duration = Duration::from_millis(50);

/// Attempts of a request whose earlier ones are proved not to have run.
const MAX_SAFE_ATTEMPTS: usize = 3;

/// Answer of a daemon to a call.
#[derive(Debug)]
pub struct PeerAnswer {
    /// Answer, without its head.
    pub response: Response<Incoming>,
    /// Load at the daemon.
    pub load: LoadWire,
    /// Connection that the body comes over.
    pub connection: PooledConnection,
}

/// Chooses a backend server of `service` and counts a call to it.
#[must_use]
pub fn choose(cx: &Cx, service: &str, tried: &[String]) -> Option<EntryGuard> {
    let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
    let own_is_free = cx.host.is_free(service) && own_is_able(cx, service);
    cx.balance.choose(service, own_is_free, &exclude, cx.clock)
}

fn own_is_able(cx: &Cx, service: &str) -> bool {
    let view = cx.view.load();
    let own = view.find(service, &cx.identity.id);
    own.is_some_and(|own| is_able(&cx.config.load(), service, own))
}

/// Makes one attempt at the chosen backend server.
///
/// # Errors
///
/// How the attempt failed; its kind tells whether the request may have run.
pub async fn attempt(
    cx: &Cx,
    head: &CallHead,
    req: Request<ProxyBody>,
    mut guard: EntryGuard,
    deadline: Duration,
    is_repeatable: bool,
) -> Result<Response<ProxyBody>, CallError> {
    let (mut res, host_guard) = if guard.name() == cx.identity.id {
        match host::run(cx, head, req).await {
            Ok(admitted) => {
                guard.answered(Some(cx.host.load().into()));
                (admitted.response, Some(admitted.guard))
            }
            Err(e) => return Err(failed(guard, e)),
        }
    } else {
        match send_to_member(cx, head, req, guard.name(), deadline, is_repeatable).await {
            Ok(answer) => {
                guard.answered(Some(answer.load.into()));
                guard.hold(answer.connection);
                (answer.response, None)
            }
            Err(e) => return Err(failed(guard, e)),
        }
    };
    cx.balance.route(&head.route).observe(guard.latency());
    headers::remove_hop_by_hop(res.headers_mut());
    // A backend server must not speak as a daemon.
    headers::remove_internal(res.headers_mut());
    if cx.settings.dialect.own_headers {
        let ran = HeaderValue::from_static(Outcome::Ran.as_str());
        res.headers_mut().insert(headers::OUTCOME, ran);
    }
    *res.version_mut() = Version::HTTP_11;
    let (parts, body) = res.into_parts();
    let guard = match host_guard {
        Some(host) => Guard::Both(host, guard),
        None => Guard::Entry(guard),
    };
    let body = hold(host::tracked(cx, body, deadline, guard)).await?;
    Ok(Response::from_parts(parts, body))
}

/// Reads a small body as a whole. One that breaks off can then be answered with an error; after its head
/// was sent, only closing the connection would be left, with all requests behind it.
async fn hold(mut body: ProxyBody) -> Result<ProxyBody, CallError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|bytes| bytes > MAX_HELD_BYTES) {
        return Ok(body);
    }
    let until = Instant::now() + MAX_HOLD_TIME;
    let mut held = VecDeque::new();
    let mut bytes = 0;
    while bytes <= MAX_HELD_BYTES {
        let frame = match length {
            Some(_) => body.frame().await,
            // A body without a length may go on for as long as its sender likes.
            None => match tokio::time::timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            },
        };
        match frame {
            None => return Ok(ProxyBody::full(joined(held))),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes += data.len() as u64;
                    held.push_back(data);
                }
            }
            Some(Err(e @ BodyError::Late)) => {
                return Err(CallError::new(ErrorKind::DeadlineExceeded, e.to_string()));
            }
            Some(Err(e)) => return Err(CallError::new(ErrorKind::UpstreamLost, e.to_string())),
        }
    }
    Ok(ProxyBody::Held { first: held, rest: Box::new(body) })
}

fn joined(mut pieces: VecDeque<Bytes>) -> Bytes {
    match (pieces.len(), pieces.pop_front()) {
        (1, Some(only)) => only,
        (_, first) => first.into_iter().chain(pieces).flatten().collect(),
    }
}

fn failed(mut guard: EntryGuard, e: CallError) -> CallError {
    if let Some(load) = e.full {
        guard.full(load.into());
        return e;
    }
    guard.failed(match e.kind {
        ErrorKind::NoBackendServer | ErrorKind::NotReady | ErrorKind::Draining => {
            EndpointFailure::Refused
        }
        ErrorKind::Overloaded | ErrorKind::BackendRefused | ErrorKind::DeadlineUnreachable => {
            EndpointFailure::Overloaded
        }
        _ => EndpointFailure::Lost,
    });
    e
}

async fn send_to_member(
    cx: &Cx,
    head: &CallHead,
    req: Request<ProxyBody>,
    name: &str,
    deadline: Duration,
    is_repeatable: bool,
) -> Result<PeerAnswer, CallError> {
    let to = cx
        .view
        .load()
        .find(&head.service, name)
        .map(|member| Callee { addr: member.peer_addr, incarnation: member.incarnation });
    let Some(to) = to else {
        return Err(CallError::new(ErrorKind::NoBackendServer, "the member is gone"));
    };
    let on_silence = || {
        tracing::debug!(to = name, "the daemon does not answer");
        cx.balance.out_of_reach(&head.service, name, cx.clock.now());
    };
    send_call(cx, to, head, req, &Terms { deadline, is_repeatable, on_silence }).await
}

/// Sends a call to a daemon and waits for the head of the answer on `terms`.
///
/// # Errors
///
/// [`ErrorKind::NoBackendServer`] or [`ErrorKind::Overloaded`] when nothing was sent, the error that
/// the daemon answered, or one that leaves open whether the request ran.
pub async fn send_call(
    cx: &Cx,
    to: Callee,
    head: &CallHead,
    mut req: Request<ProxyBody>,
    terms: &Terms<impl Fn()>,
) -> Result<PeerAnswer, CallError> {
    let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
    *req.uri_mut() = format!("{CALL_PREFIX}{path}").parse().map_err(|e| {
        CallError::new(ErrorKind::BadRequest, format!("failed to pass the path: {e}"))
    })?;
    *req.version_mut() = Version::HTTP_11;
    let host = HeaderValue::try_from(to.addr.to_string())
        .map_err(|e| CallError::new(ErrorKind::Internal, e.to_string()))?;
    if let Some(host) = req.headers_mut().insert(HOST, host) {
        req.headers_mut().insert(headers::CALLER_HOST, host);
    }
    // Each sending has an identifier of its own, so that a question about it means no other one.
    let head = CallHead { id: rand::random(), ..head.clone() };
    req.headers_mut().insert(headers::CALL, HeaderValue::from(&head));
    let exchange = cx.peers.call(to.addr, req);
    let (mut res, connection) = match watch::until(cx, to, head.id, terms, exchange).await {
        Watched::Ended(Ok(answered)) => answered,
        Watched::Ended(Err(e)) => return Err(CallError::from_send(e, "the daemon")),
        Watched::NotRun => {
            let detail = "the connection to the daemon went silent before the call arrived";
            return Err(CallError::new(ErrorKind::NoBackendServer, detail));
        }
        Watched::Lost(detail) => return Err(CallError::new(ErrorKind::UpstreamLost, detail)),
        Watched::Late => {
            return Err(CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed"));
        }
    };
    let answer = res
        .headers_mut()
        .remove(headers::ANSWER)
        .ok_or_else(|| "the answer has no head".to_owned())
        .and_then(|value| AnswerHead::try_from(&value).map_err(|e| e.to_string()))
        .map_err(|detail| CallError::new(ErrorKind::UpstreamLost, detail))?;
    if let Some(kind) = answer.error {
        let mut e = CallError::new(kind, format!("refused by the daemon at {}", to.addr));
        e.is_local = false;
        e.full = (head.only_if_free && kind == ErrorKind::Overloaded).then_some(answer.load);
        if res.body().is_end_stream() {
            connection.release();
        }
        return Err(match read_retry_after(&res) {
            Some(after) => e.with_retry_after(after),
            None => e,
        });
    }
    Ok(PeerAnswer { response: res, load: answer.load, connection })
}

fn read_retry_after(res: &Response<Incoming>) -> Option<Duration> {
    let text = res.headers().get(RETRY_AFTER)?.to_str().ok()?;
    let secs: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(secs).ok()
}

/// Makes attempts at different backend servers while the earlier ones are proved not to have run.
///
/// A backend server of `fallback` is chosen when none of the service of `head` can be.
///
/// # Errors
///
/// The error of the last attempt.
pub async fn dispatch_until(
    cx: &Cx,
    head: &CallHead,
    fallback: Option<&ServiceName>,
    deadline: Duration,
    request: impl Fn() -> Request<ProxyBody>,
) -> Result<Response<ProxyBody>, CallError> {
    let mut tried = Vec::new();
    let state = cx.balance.route(&head.route);
    let may_retry = !head.retry;
    let mut earlier: Option<CallError> = None;
    loop {
        let (service, guard) = match choose_of(cx, &head.service, fallback, &tried) {
            Ok(chosen) => chosen,
            Err(e) => return Err(earlier.unwrap_or(e)),
        };
        tried.push(guard.name().to_owned());
        let mut head = head.clone();
        head.service = service;
        head.retry |= tried.len() > 1;
        head.remaining_ms = remaining_ms(cx, deadline)?;
        let e = match attempt(cx, &head, request(), guard, deadline, false).await {
            Ok(res) => return Ok(res),
            Err(e) => e,
        };
        let again = e.is_not_run()
            && e.kind.answer().retryable
            && may_retry
            && tried.len() < MAX_SAFE_ATTEMPTS
            && cx.balance.try_spend(&state, &head.service, cx.clock.now());
        if !again {
            return Err(e);
        }
        cx.metrics.record_retry(&head.route);
        earlier = Some(e);
    }
}

/// Chooses a backend server of `service` or, when it has none, of `fallback`.
///
/// # Errors
///
/// [`ErrorKind::NoBackendServer`] when neither has one that is able to serve.
pub fn choose_of(
    cx: &Cx,
    service: &ServiceName,
    fallback: Option<&ServiceName>,
    tried: &[String],
) -> Result<(ServiceName, EntryGuard), CallError> {
    for service in std::iter::once(service).chain(fallback) {
        if let Some(guard) = choose(cx, service, tried) {
            return Ok((service.clone(), guard));
        }
    }
    let detail = format!("no backend server of service {service} is able to serve");
    Err(CallError::new(ErrorKind::NoBackendServer, detail))
}

/// Time until the deadline for the head of a call, in milliseconds.
///
/// # Errors
///
/// [`ErrorKind::DeadlineUnreachable`] when no time is left.
pub fn remaining_ms(cx: &Cx, deadline: Duration) -> Result<u64, CallError> {
    let remaining = deadline.saturating_sub(cx.clock.now());
    if remaining.is_zero() {
        let detail = "the deadline passed before the request was sent";
        return Err(CallError::new(ErrorKind::DeadlineUnreachable, detail));
    }
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    Ok(millis.max(1))
}

/// Backend server that a request of `service` would go to now.
#[must_use]
pub fn candidate(cx: &Cx, service: &str) -> Option<String> {
    choose(cx, service, &[]).map(|guard| guard.name().to_owned())
}
