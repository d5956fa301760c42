//! Calls of other daemons: from the listener for peers to the local backend server.

use std::time::Duration;

use baobabreel_client::wire::{AnswerHead, CallHead};
use baobabreel_core::error::{ErrorKind, Outcome};
use bytes::Bytes;
use http::header::HOST;
use http::{HeaderValue, Request, Response, Uri, Version};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use super::active::ActiveCalls;
use super::body::{Guard, ProxyBody};
use super::call_error::CallError;
use super::caller_request::MAX_REPLAY_BYTES;
use super::headers;
use super::host::{self, HostedResponse};
use super::keyed::{self, BufferedRequest};
use super::link::Links;
use super::peer_body::ReceivedBody;
use super::request_body::RequestBody;
use super::sends::Sends;
use crate::buffers::{SHORT_BODY_BYTES, Turn};
use crate::context::Cx;
use crate::telemetry::{Span, TraceContext};

/// Path prefix of calls; the path of the request follows it.
pub const CALL_PREFIX: &str = "/peer/v1/call";

/// Whether a path at the listener for peers is that of a call.
#[must_use]
pub fn is_call(path: &str) -> bool {
    path.strip_prefix(CALL_PREFIX).is_some_and(|rest| rest.starts_with('/'))
}

/// Serves a call of another daemon. If its body is long, it waits for `turn` first.
pub async fn serve_peer_call(cx: Cx, req: Request<Incoming>, turn: Turn) -> Response<ProxyBody> {
    let start = cx.clock.now();
    let mut req = req.map(ReceivedBody::from);
    let parent = TraceContext::read(req.headers());
    let span = Span::start("host", parent, 0.0, start);
    let head = req.headers().get(headers::CALL_HEAD).map(CallHead::try_from);
    let (route, result) = match head {
        Some(Ok(mut head)) => {
            let result = match ActiveCalls::begin(&cx, head.id) {
                Some(_active) => match wait_for_turn(&cx, &mut head, req.body_mut(), turn).await {
                    Ok(()) => serve_call(&cx, &head, req.map(RequestBody::Peer), &span).await,
                    Err(e) => Err(e),
                },
                None => Err(CallError::new(ErrorKind::NotReady, "the caller gave this call up")),
            };
            (head.route, result)
        }
        Some(Err(e)) => (String::new(), Err(CallError::new(ErrorKind::BadRequest, e.to_string()))),
        None => {
            let e = CallError::new(ErrorKind::BadRequest, "the call has no head");
            (String::new(), Err(e))
        }
    };
    let error = result.as_ref().err().map(|e| e.kind);
    let res = match result {
        Ok(res) => res,
        Err(e) => {
            let is_full = e.full_load.is_some();
            let mut res = e.into_response(&cx.settings.dialect);
            if is_full {
                // Attempts to find a free slot are frequent; without a body the connection can be reused at once.
                *res.body_mut() = ProxyBody::Empty;
            }
            res
        }
    };
    let res = with_answer_head(&cx, res, error);
    let result = error.map_or("ran", ErrorKind::name);
    span.finish(cx.clock.now(), &route, result);
    res
}

/// Waits until the body of a call can be passed on; a short one can at once. Takes the wait off the time that is left.
async fn wait_for_turn(
    cx: &Cx,
    head: &mut CallHead,
    body: &mut ReceivedBody,
    mut turn: Turn,
) -> Result<(), CallError> {
    let is_short = |bytes| bytes <= SHORT_BODY_BYTES;
    if body.size_hint().upper().is_some_and(is_short) {
        return Ok(());
    }
    let start = cx.clock.now();
    let left = Duration::from_millis(head.remaining_ms);
    let is_ready = tokio::select! {
        biased;
        is_ready = turn.ready() => is_ready,
        () = cx.drain_end.reached() => false,
        // Another daemon may still serve it in the rest of the time.
        () = tokio::time::sleep(left / 2) => false,
    };
    if !is_ready {
        let detail = "too many long bodies of other daemons are being passed on";
        return Err(CallError::new(ErrorKind::Overloaded, detail));
    }
    body.set_turn(turn);
    let left = left.saturating_sub(cx.clock.now().saturating_sub(start));
    head.remaining_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
    Ok(())
}

/// Refuses a call of another daemon for which the listener has no room. Its daemon can send it elsewhere.
pub fn refuse_peer_call(cx: &Cx, req: Request<Incoming>, e: CallError) -> Response<ProxyBody> {
    // What still arrives is read for a short time, as a reset would overtake the refusal.
    drop(ReceivedBody::from(req.into_body()));
    let kind = e.kind;
    with_answer_head(cx, e.into_response_without_body(&cx.settings.dialect), Some(kind))
}

/// Adds what the daemon that sent the call is to know: whether the request ran, and the state of the backend server.
fn with_answer_head(
    cx: &Cx,
    mut res: Response<ProxyBody>,
    error: Option<ErrorKind>,
) -> Response<ProxyBody> {
    let answer = AnswerHead {
        outcome: error.map_or(Outcome::Ran, |kind| kind.answer().outcome),
        error,
        load: cx.host.visible_load(cx.clock.now()),
        condition: cx.host.reported_condition().map(Into::into),
    };
    res.headers_mut().insert(headers::ANSWER_HEAD, HeaderValue::from(&answer));
    res
}

/// Passes the request of a call to the local backend server, or decides about it as the owner of its key.
async fn serve_call(
    cx: &Cx,
    head: &CallHead,
    req: Request<RequestBody>,
    span: &Span,
) -> Result<Response<ProxyBody>, CallError> {
    let (parts, body) = req.into_parts();
    let uri = inner_uri(&parts.uri)
        .ok_or_else(|| CallError::new(ErrorKind::BadRequest, "the call has no path"))?;
    let mut headers = parts.headers;
    headers.remove(headers::CALL_HEAD);
    headers.remove(headers::TOKEN);
    let grant = headers::take_body_grant(&mut headers);
    if let Some(host) = headers.remove(headers::CALLER_HOST) {
        headers.insert(HOST, host);
    }
    if cx.settings.dialect.own_headers {
        headers::write_trace(&mut headers, span);
    }
    if let Some(key) = &head.key {
        let mut body = body;
        let origin = headers::take_origin(&mut headers);
        let read = read_body(&mut body, head).await;
        let _turn = body.take_turn();
        let body = read.map_err(|e| keyed::error_before_owner(e, key.attempt()))?;
        let req = BufferedRequest { method: parts.method, uri, headers, body };
        return keyed::serve_as_owner(cx, head.clone(), key.clone(), origin, req).await;
    }
    let mut receipt = None;
    let body = if body.is_end_stream() {
        ProxyBody::Empty
    } else {
        let inner = Links::receive(&cx.links, grant, body, &mut receipt);
        ProxyBody::Stream { inner, left: cx.settings.limits.body_bytes }
    };
    let mut inner = Request::new(body);
    *inner.method_mut() = parts.method;
    *inner.uri_mut() = uri;
    *inner.headers_mut() = headers;
    let admitted = forward_until_drain_end(cx, head, inner).await?;
    if let Some(receipt) = receipt {
        cx.links.record_run(&head.route, &receipt);
    }
    let (mut parts, body) = admitted.response.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    let body = host::track_body(cx, body, admitted.deadline, Guard::Host(admitted.guard));
    parts.version = Version::HTTP_11;
    Ok(Response::from_parts(parts, body))
}

/// Passes a call to the backend server. At the end of the drain, one that is still in the queue is refused, as its
/// daemon can send it elsewhere; one that runs goes on.
async fn forward_until_drain_end(
    cx: &Cx,
    head: &CallHead,
    mut req: Request<ProxyBody>,
) -> Result<HostedResponse, CallError> {
    let sends = Sends::default();
    req.extensions_mut().insert(sends.begin());
    let mut forwarded = std::pin::pin!(host::forward_to_backend(cx, head, req));
    tokio::select! {
        // First, as the slot of a request that ends here must not start another one.
        biased;
        () = cx.drain_end.reached() => {}
        result = &mut forwarded => return result,
    }
    if sends.may_have_run() {
        return forwarded.await;
    }
    let kind = cx.drain_end.answer(false);
    Err(CallError::new(kind, "the daemon stopped while the call was in the queue"))
}

/// URI of the request inside a call.
fn inner_uri(uri: &Uri) -> Option<Uri> {
    let path = uri.path_and_query()?.as_str().strip_prefix(CALL_PREFIX)?;
    path.parse().ok()
}

/// Buffers the body of a request with a key.
async fn read_body(body: &mut RequestBody, head: &CallHead) -> Result<Bytes, CallError> {
    let limit = usize::try_from(MAX_REPLAY_BYTES).unwrap_or(usize::MAX);
    let timeout = Duration::from_millis(head.remaining_ms);
    let body_error = |detail| CallError::transient(ErrorKind::BadRequest, detail);
    match tokio::time::timeout(timeout, Limited::new(body, limit).collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(_)) => Err(body_error("the body of a keyed call broke off or is too large")),
        Err(_) => Err(body_error("the body of a keyed call did not come in time")),
    }
}
