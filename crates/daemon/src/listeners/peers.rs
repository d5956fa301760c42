//! Listener for other daemons: HTTP/1.1 for forwarded calls, HTTP/2 for control messages.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::callers::CallerLimits;
use baobabreel_core::error::ErrorKind;
use bytes::BytesMut;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::callers::detect_http2;
use super::hooked::HookedStream;
use super::listed::{
    ConnectionList, HTTP2_HEAD_COPIES, HeadHook, ListedBody, ListedConnection, RoomHook,
};
use super::prefixed::PrefixedStream;
use super::{Accepted, BoundedListener, close_connections, serve_until, wait_for_close};
use crate::buffers::SHORT_BODY_BYTES;
use crate::callers::{DEFAULT_TOTAL_BYTES, MEMORY_SHARE};
use crate::context::Cx;
use crate::control::{Control, serve_control};
use crate::proxy::{
    CallError, ProxyBody, has_token, held_section_bytes, is_call, refuse_peer_call, serve_peer_call,
};
use crate::telemetry::{Flow, Meter};

/// Path prefix of all messages between daemons.
const PEER_PREFIX: &str = "/peer/v1/";

/// Header limit as a multiple of the limit for callers: the headers of the call come on top, and HTTP/2
/// counts 32 bytes more for each header than HTTP/1.1.
const HEADER_FACTOR: usize = 4;

/// Most bytes of a header list over HTTP/2. Control messages have short ones.
const HTTP2_HEADER_BYTES: usize = 16 * 1024;

/// Memory of a request without its head and its body, in bytes.
const REQUEST_BYTES: usize = 12 * 1024;

/// Time for the first bytes of a connection.
const FIRST_REQUEST_TIME: Duration = Duration::from_secs(10);

/// Most concurrent HTTP/2 streams of one connection.
const MAX_STREAMS: u32 = 128;

/// HTTP/2 receive window of one stream; limits what is buffered for a slow backend server.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// HTTP/2 receive window of one connection.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Serves other daemons until `stop` is cancelled, then waits for the open connections to end.
pub async fn serve_peers(cx: Cx, control: Control, listener: TcpListener, stop: CancellationToken) {
    let connections = TaskTracker::new();
    let closing = CancellationToken::new();
    let limits = limits(&cx);
    let list = ConnectionList::new(limits);
    let most = cx.settings.limits.peer_connections.min(limits.connections());
    let listener = BoundedListener::new(listener, most);
    let serve = |accepted| {
        let (cx, control) = (Arc::clone(&cx), control.clone());
        connections.spawn(serve_connection(cx, control, accepted, list.open(), closing.clone()));
    };
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept(|most| list.close_idle(most)) => accepted,
        };
        serve(accepted);
    }
    listener.close().into_iter().for_each(serve);
    close_connections(&connections, &closing).await;
}

/// Limits on what the connections of other daemons hold.
fn limits(cx: &Cx) -> CallerLimits {
    let limits = &cx.settings.limits;
    let total = limits.memory_bytes.map_or(DEFAULT_TOTAL_BYTES, |bytes| bytes / MEMORY_SHARE);
    let request = REQUEST_BYTES + HEADER_FACTOR * limits.header_bytes;
    CallerLimits { total, request: request as u64 + SHORT_BODY_BYTES }
}

/// Serves a connection until it ends or is to be closed in favour of others.
async fn serve_connection(
    cx: Cx,
    control: Control,
    accepted: Accepted,
    connection: Arc<ListedConnection>,
    closing: CancellationToken,
) {
    let (dropped, aborted) = (Arc::clone(&connection), cx.aborted.clone());
    tokio::select! {
        biased;
        () = aborted.cancelled() => {}
        () = serve_until_close(cx, control, accepted, connection, closing) => {}
        () = dropped.dropped_in_favour() => {}
    }
}

/// Waits until the connection is to end, with the listener or in favour of others.
async fn wait_until_closing(
    connection: &ListedConnection,
    closing: &CancellationToken,
    accepted_at: Instant,
) {
    tokio::select! {
        () = wait_for_close(closing, accepted_at) => {}
        () = connection.close.cancelled() => {}
    }
}

/// Serves a connection until its client ends it, or until it is to end and its requests are answered.
async fn serve_until_close(
    cx: Cx,
    control: Control,
    accepted: Accepted,
    connection: Arc<ListedConnection>,
    closing: CancellationToken,
) {
    let Accepted { mut stream, at, permit: _permit } = accepted;
    let mut buf = BytesMut::new();
    let is_http2 = tokio::select! {
        biased;
        detected = detect_http2(&mut stream, &mut buf, FIRST_REQUEST_TIME) => match detected {
            Some(is_http2) => is_http2,
            None => return,
        },
        () = wait_until_closing(&connection, &closing, at) => return,
    };
    let header_bytes = cx.settings.limits.header_bytes * HEADER_FACTOR;
    let (listed, traffic) = (Arc::clone(&connection), Arc::clone(&cx.traffic));
    let service = service_fn(move |req: Request<Incoming>| {
        let (cx, control, listed) = (Arc::clone(&cx), control.clone(), Arc::clone(&listed));
        // Counted now, as many streams may arrive before the first one is served.
        let request = listed.begin_request(request_bytes(&req));
        async move {
            let res = match (refusal(&cx, &req), &request) {
                (Some(e), taken) => {
                    // The client is no daemon, and its next request would be refused, too.
                    listed.close.cancel();
                    match taken {
                        Some(_) => e.into_response(&cx.settings.dialect),
                        None => e.into_response_without_body(&cx.settings.dialect),
                    }
                }
                (None, None) => no_room(&cx, req),
                // In a box, so that a response that waits for its client holds only itself.
                (None, Some(_)) => {
                    listed.set_known();
                    Box::pin(handle_request(Arc::clone(&cx), control, req, &listed)).await
                }
            };
            let turn = res.body().is_long().then(|| listed.turn(&cx.response_buffers));
            Ok::<_, Infallible>(res.map(|body| ListedBody::new(body, request, turn)))
        }
    });
    let close = wait_until_closing(&connection, &closing, at);
    let flow = if is_http2 { Flow::Control } else { Flow::Calls };
    let stream = PrefixedStream::new(buf, stream, Some(Meter::new(&traffic, flow)));
    let ended = if is_http2 {
        let hook = RoomHook::new(Arc::clone(&connection), HTTP2_HEAD_COPIES * HTTP2_HEADER_BYTES);
        let io = TokioIo::new(HookedStream::new(stream, hook));
        serve_until(close, http2_builder().serve_connection(io, service)).await
    } else {
        let hook = HeadHook::new(Arc::clone(&connection), header_bytes);
        let io = TokioIo::new(HookedStream::new(stream, hook));
        serve_until(close, http1_builder(header_bytes).serve_connection(io, service)).await
    };
    if let Err(e) = ended {
        tracing::debug!(error = %e, "peer connection failed");
    }
}

fn http1_builder(header_bytes: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).max_buf_size(header_bytes);
    builder
}

fn http2_builder() -> http2::Builder<TokioExecutor> {
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(HTTP2_HEADER_BYTES as u32)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    builder
}

/// Why a request is refused that is not from another daemon.
fn refusal(cx: &Cx, req: &Request<Incoming>) -> Option<CallError> {
    let detail = if !has_token(&cx.settings, req.headers()) {
        "the token is missing or wrong"
    } else if !req.uri().path().starts_with(PEER_PREFIX) {
        "this listener is for other daemons"
    } else {
        return None;
    };
    Some(CallError::new(ErrorKind::Forbidden, detail))
}

/// Handles a call or a control message.
async fn handle_request(
    cx: Cx,
    control: Control,
    req: Request<Incoming>,
    connection: &ListedConnection,
) -> Response<ProxyBody> {
    if is_call(req.uri().path()) {
        let turn = connection.turn(&cx.request_buffers);
        return serve_peer_call(cx, req, turn).await;
    }
    serve_control(&cx, &control, req).await
}

/// Memory of a request without a long body, in bytes.
fn request_bytes(req: &Request<Incoming>) -> usize {
    let body = if is_call(req.uri().path()) { SHORT_BODY_BYTES as usize } else { 0 };
    REQUEST_BYTES + body + held_section_bytes(req.uri(), req.headers())
}

/// Response to a request of another daemon that is not taken, as the connections of the listener hold too much. Without
/// a body, as a client that does not read would hold that, too.
fn no_room(cx: &Cx, req: Request<Incoming>) -> Response<ProxyBody> {
    let detail = "the connections of other daemons hold as much memory as they may";
    let e = CallError::new(ErrorKind::Overloaded, detail);
    if is_call(req.uri().path()) {
        return refuse_peer_call(cx, req, e);
    }
    e.into_response_without_body(&cx.settings.dialect)
}
