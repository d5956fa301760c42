//! Choice of a backend server, and single attempts to send it a request.

use std::collections::VecDeque;
use std::time::Duration;

use baobabreel_client::wire::{AnswerHead, CallHead, LoadWire, TenantHead};
use baobabreel_core::balance::Failure as EndpointFailure;
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::ServiceName;
use baobabreel_core::rollout::Side;
use bytes::Bytes;
use http::header::{HOST, RETRY_AFTER};
use http::{HeaderValue, Request, Response, Version};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::balance::CallGuard;
use super::body::{BodyError, Guard, ProxyBody};
use super::budgets::BudgetUse;
use super::call_error::CallError;
use super::call_wait::{self, Callee, WaitOptions, WaitResult};
use super::headers;
use super::host;
use super::lease;
use super::peer_body::Cancellable;
use super::peer_call::CALL_PREFIX;
use super::pool::{HeldConnection, SendError};
use super::response_check::check_status;
use super::sends::SendMark;
use crate::callers::{self, CallerLimit};
use crate::context::{Cx, is_able};

/// Largest response body that is buffered before the head of the response is passed on, in bytes.
const MAX_BUFFERED_BYTES: u64 = 64 * 1024;

/// Longest time for which the head of a response waits for a body of unknown length.
const MAX_BUFFER_TIME: Duration = Duration::from_millis(50);

/// Most attempts at a request, each made only if all earlier ones certainly did not run.
const MAX_SAFE_ATTEMPTS: usize = 3;

/// Response of a host daemon to a call.
#[derive(Debug)]
pub struct PeerResponse {
    /// Response, without the [`AnswerHead`] header.
    pub response: Response<Incoming>,
    /// Load of its backend server.
    pub load: LoadWire,
    /// Connection that the body arrives on.
    pub connection: HeldConnection,
}

/// Chooses a backend server of `service` that is not in `tried`, and counts a call to it. `draw` is random and the
/// same for all attempts at a request; it decides whether the request goes to the canary of a roll-out.
#[must_use]
pub fn choose(cx: &Cx, service: &str, draw: u64, tried: &[String]) -> Option<CallGuard> {
    let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
    let own_has_free_slot =
        cx.host.can_start_now(service, cx.clock.now()) && own_can_serve(cx, service);
    let choose = |side| cx.balance.choose(service, side, own_has_free_slot, &exclude, cx.clock);
    match cx.rollouts.side(service, draw, tried.is_empty(), cx.clock.now()) {
        Side::Main => choose(Side::Main),
        Side::Canary => choose(Side::Canary).or_else(|| choose(Side::Main)),
    }
}

/// Whether membership and configuration allow requests for `service` to the local backend server.
fn own_can_serve(cx: &Cx, service: &str) -> bool {
    let view = cx.view.load();
    let own = view.find(service, &cx.identity.id);
    own.is_some_and(|own| is_able(&cx.config.load(), service, own))
}

/// Sends a request once, to the backend server of `guard`.
///
/// # Errors
///
/// Why the attempt failed; the kind tells whether the request may have run.
pub async fn attempt(
    cx: &Cx,
    head: &CallHead,
    req: Request<ProxyBody>,
    mut guard: CallGuard,
    deadline: Duration,
    can_resend: impl Fn() -> bool,
) -> Result<Response<ProxyBody>, CallError> {
    let tenant = req.headers().get(headers::TENANT_HEAD).cloned();
    let record_failure = |guard, e: CallError| {
        let tenant = tenant.as_ref().and_then(|value| TenantHead::try_from(value).ok());
        if lease::is_cause(cx, head.version, tenant.as_ref(), &e) {
            return e;
        }
        record_failure(guard, e)
    };
    guard.watch(cx.rollouts.watch(&head.service, &head.route));
    let (mut res, host_guard) = if guard.name() == cx.identity.id {
        match host::forward_to_backend(cx, head, req).await {
            Ok(admitted) => {
                let load = cx.host.visible_load(cx.clock.now());
                guard.record_response(Some(load.into()));
                (admitted.response, Some(admitted.guard))
            }
            Err(e) => return Err(record_failure(guard, e)),
        }
    } else {
        match send_to_member(cx, head, req, guard.name(), deadline, can_resend).await {
            Ok(answer) => {
                guard.record_response(Some(answer.load.into()));
                guard.keep_connection(answer.connection);
                (answer.response, None)
            }
            Err(e) => return Err(record_failure(guard, e)),
        }
    };
    if res.status().is_server_error() {
        guard.record_bad_response();
    }
    cx.balance.route(&head.route).observe(guard.latency());
    headers::remove_hop_by_hop(res.headers_mut());
    // Headers that only daemons may set are not accepted from a backend server.
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
    let body = buffer_small_body(host::track_body(cx, body, deadline, guard)).await?;
    Ok(Response::from_parts(parts, body))
}

/// Buffers a small response body as a whole.
///
/// If the body breaks off, the caller still gets an error response. Once the head was passed on, the only way
/// to report that would be to close the connection, which also fails the requests behind it.
async fn buffer_small_body(mut body: ProxyBody) -> Result<ProxyBody, CallError> {
    let length = body.size_hint().exact();
    if length.is_some_and(|bytes| bytes > MAX_BUFFERED_BYTES) {
        return Ok(body);
    }
    let until = Instant::now() + MAX_BUFFER_TIME;
    let mut buffered = VecDeque::new();
    let mut bytes = 0;
    while bytes <= MAX_BUFFERED_BYTES {
        let frame = match length {
            Some(_) => body.frame().await,
            // A body of unknown length may be a long-lived stream.
            None => match tokio::time::timeout_at(until, body.frame()).await {
                Ok(frame) => frame,
                Err(_) => break,
            },
        };
        match frame {
            None => return Ok(ProxyBody::full(concat(buffered))),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    bytes += data.len() as u64;
                    buffered.push_back(data);
                }
            }
            Some(Err(e @ BodyError::DeadlinePassed)) => {
                return Err(CallError::new(ErrorKind::DeadlineExceeded, e.to_string()));
            }
            Some(Err(e)) => return Err(CallError::new(ErrorKind::UpstreamLost, e.to_string())),
        }
    }
    Ok(ProxyBody::Buffered { first: buffered, rest: Box::new(body) })
}

/// Concatenates the pieces of a body, without a copy if there is only one.
fn concat(mut pieces: VecDeque<Bytes>) -> Bytes {
    match (pieces.len(), pieces.pop_front()) {
        (1, Some(only)) => only,
        (_, first) => first.into_iter().chain(pieces).flatten().collect(),
    }
}

/// Reports a failed attempt to the balancer and returns its error.
fn record_failure(mut guard: CallGuard, e: CallError) -> CallError {
    if matches!(e.kind, ErrorKind::Quarantined | ErrorKind::ClientFailed) {
        // This is about the request, not about the backend server.
        return e;
    }
    if let Some(load) = e.full_load {
        guard.record_full(load.into());
        return e;
    }
    if is_bad_response(e.kind) {
        guard.record_bad_response();
    }
    guard.record_failure(match e.kind {
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

/// Whether an error counts against the release of the backend server. One that a daemon decided does not.
fn is_bad_response(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::UpstreamLost | ErrorKind::DeadlineExceeded | ErrorKind::BackendRefused
    )
}

/// Sends a call to the host daemon of the backend server `name`.
async fn send_to_member(
    cx: &Cx,
    head: &CallHead,
    req: Request<ProxyBody>,
    name: &str,
    deadline: Duration,
    can_resend: impl Fn() -> bool,
) -> Result<PeerResponse, CallError> {
    let view = cx.view.load_full();
    let Some(member) = view.find(&head.service, name) else {
        return Err(CallError::new(ErrorKind::NoBackendServer, "the member is gone"));
    };
    let to = Callee { addr: member.peer_addr, incarnation: member.incarnation };
    let on_silence = || {
        tracing::debug!(to = name, "the daemon did not answer");
        cx.balance.record_unreachable(&head.service, member, cx.clock.now());
    };
    let options = WaitOptions { deadline, can_resend, on_silence };
    let result = send_call(cx, to, head, req, &options).await;
    if result.as_ref().map_or_else(|e| !e.is_local, |_| true) {
        cx.balance.record_answer(&member.data_centre);
    }
    result
}

/// Sends a call to another daemon and waits for the head of the response.
///
/// # Errors
///
/// [`ErrorKind::NoBackendServer`] or [`ErrorKind::Overloaded`] if nothing was sent, the error that the
/// daemon returned, or an error that leaves open whether the request ran.
pub async fn send_call(
    cx: &Cx,
    to: Callee,
    head: &CallHead,
    mut req: Request<ProxyBody>,
    options: &WaitOptions<impl Fn(), impl Fn() -> bool>,
) -> Result<PeerResponse, CallError> {
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
    // Each transmission has its own identifier, so that a query for its state cannot refer to another one.
    let condition = cx.balance.condition_at(to.addr, cx.clock.now()).map(Into::into);
    let head = CallHead { id: rand::random(), condition, ..head.clone() };
    headers::pack(req.headers_mut(), &cx.settings.dialect.request_id);
    req.headers_mut().insert(headers::CALL_HEAD, HeaderValue::from(&head));
    let mark = SendMark::of(&mut req);
    let sent_at = cx.clock.now();
    // A body that was refused is not sent to its end.
    let refused = CancellationToken::new();
    let req = req.map(|body| Cancellable::wrap(body, &refused));
    let refused = refused.drop_guard();
    let connection = cx.peers.hold_connection(to.addr, cx.clock);
    let exchange = cx.peers.call(&connection, req);
    let mut res = match call_wait::wait_for_response(cx, to, head.id, options, exchange).await {
        WaitResult::Ended(Ok(answered)) => answered,
        WaitResult::Ended(Err(SendError::Lost(_))) if connection.place().has_broken_body() => {
            return Err(CallError::client_failed());
        }
        WaitResult::Ended(Err(e)) => {
            if matches!(e, SendError::TakenBack) {
                callers::record(cx, CallerLimit::TakenBack, 1);
            }
            if matches!(e, SendError::Unreachable) {
                (options.on_silence)();
            }
            let was_lost = matches!(e, SendError::Lost(_));
            let deadline = options.deadline;
            if was_lost && call_wait::has_not_arrived(cx, to, head.id, sent_at, deadline).await {
                let detail = "the connection to the daemon broke before the call arrived";
                return Err(CallError::new(ErrorKind::NoBackendServer, detail));
            }
            return Err(CallError::from_send_error(e, "the daemon"));
        }
        WaitResult::NotRun => {
            let detail = "the connection to the daemon went silent before the call arrived";
            return Err(CallError::new(ErrorKind::NoBackendServer, detail));
        }
        WaitResult::Lost(_) | WaitResult::DeadlinePassed if !mark.is_set() => {
            let detail = "no connection to the daemon was established in time";
            return Err(CallError::new(ErrorKind::NoBackendServer, detail));
        }
        WaitResult::Lost(reason) => {
            return Err(CallError::new(ErrorKind::UpstreamLost, reason.to_string()));
        }
        WaitResult::DeadlinePassed => {
            return Err(CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed"));
        }
    };
    let answer = res
        .headers_mut()
        .remove(headers::ANSWER_HEAD)
        .ok_or_else(|| "the answer has no head".to_owned())
        .and_then(|value| AnswerHead::try_from(&value).map_err(|e| e.to_string()))
        .map_err(|detail| CallError::new(ErrorKind::UpstreamLost, detail))?;
    let condition = answer.condition.map(Into::into);
    cx.balance.record_condition(to.addr, condition, answer.error.is_none(), cx.clock.now());
    if let Some(kind) = answer.error {
        let mut e = CallError::new(kind, format!("refused by the daemon at {}", to.addr));
        e.is_local = false;
        e.full_load = (head.only_if_free && kind == ErrorKind::Overloaded).then_some(answer.load);
        if res.body().is_end_stream() {
            connection.release();
        }
        return Err(match read_retry_after(&res) {
            Some(after) => e.with_retry_after(after),
            None => e,
        });
    }
    // A daemon of an earlier release passes on whatever its backend server answers.
    check_status(&res)?;
    refused.disarm();
    Ok(PeerResponse { response: res, load: answer.load, connection })
}

/// Reads the seconds of `Retry-After`, which may be fractional; `None` if absent or malformed.
fn read_retry_after(res: &Response<Incoming>) -> Option<Duration> {
    let text = res.headers().get(RETRY_AFTER)?.to_str().ok()?;
    let secs: f64 = text.parse().ok()?;
    Duration::try_from_secs_f64(secs).ok()
}

/// Tries different backend servers as long as all earlier attempts certainly did not run.
///
/// A backend server of `fallback` is used when the service of `head` has none that can serve.
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
    let draw = rand::random();
    let state = cx.balance.route(&head.route);
    let may_retry = !head.retry;
    let mut earlier: Option<CallError> = None;
    loop {
        let (service, guard) = match choose_with_fallback(cx, &head.service, fallback, draw, &tried)
        {
            Ok(chosen) => chosen,
            Err(e) => return Err(earlier.unwrap_or(e)),
        };
        tried.push(guard.name().to_owned());
        let mut head = head.clone();
        head.service = service;
        head.retry |= tried.len() > 1;
        head.remaining_ms = remaining_ms(cx, deadline)?;
        let e = match attempt(cx, &head, request(), guard, deadline, || false).await {
            Ok(res) => return Ok(res),
            Err(e) => e,
        };
        let should_retry = e.is_not_run()
            && e.kind.answer().retryable
            && may_retry
            && tried.len() < MAX_SAFE_ATTEMPTS
            && cx.balance.try_spend(&state, &head.service, BudgetUse::Retry, cx.clock.now());
        if !should_retry {
            return Err(e);
        }
        cx.metrics.record_retry(&head.route);
        earlier = Some(e);
    }
}

/// Chooses a backend server of `service` or, if it has none that can serve, of `fallback`.
///
/// # Errors
///
/// [`ErrorKind::NoBackendServer`] if neither service has one that can serve.
pub fn choose_with_fallback(
    cx: &Cx,
    service: &ServiceName,
    fallback: Option<&ServiceName>,
    draw: u64,
    tried: &[String],
) -> Result<(ServiceName, CallGuard), CallError> {
    for service in std::iter::once(service).chain(fallback) {
        if let Some(guard) = choose(cx, service, draw, tried) {
            return Ok((service.clone(), guard));
        }
    }
    let detail = format!("no backend server of service {service} is able to serve");
    Err(CallError::new(ErrorKind::NoBackendServer, detail))
}

/// Milliseconds until the deadline, at least 1, for the head of a call.
///
/// # Errors
///
/// [`ErrorKind::DeadlineUnreachable`] if the deadline has passed.
pub fn remaining_ms(cx: &Cx, deadline: Duration) -> Result<u64, CallError> {
    let remaining = deadline.saturating_sub(cx.clock.now());
    if remaining.is_zero() {
        let detail = "the deadline passed before the request was sent";
        return Err(CallError::new(ErrorKind::DeadlineUnreachable, detail));
    }
    let millis = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    Ok(millis.max(1))
}

/// Backend server that a request for `service` would be sent to now.
#[must_use]
pub fn candidate(cx: &Cx, service: &str) -> Option<String> {
    choose(cx, service, rand::random(), &[]).map(|guard| guard.name().to_owned())
}
