//! Listener for other daemons: HTTP/1.1 for forwarded calls, HTTP/2 for control messages.

use std::convert::Infallible;
use std::sync::Arc;

use baobabreel_core::error::ErrorKind;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{Accepted, BoundedListener, close_connections, serve_until, wait_for_close};
use crate::context::Cx;
use crate::control::{Control, serve_control};
use crate::proxy::{CallError, ProxyBody, has_token, is_call, serve_peer_call};

/// Path prefix of all messages between daemons.
const PEER_PREFIX: &str = "/peer/v1/";

/// Header limit as a multiple of the limit for callers: the headers of the call come on top, and HTTP/2
/// counts 32 bytes more for each header than HTTP/1.1.
const HEADER_FACTOR: usize = 4;

/// Most concurrent HTTP/2 streams of one connection.
const MAX_STREAMS: u32 = 1_024;

/// HTTP/2 receive window of one stream; limits what is buffered for a slow backend server.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// HTTP/2 receive window of one connection.
const CONNECTION_WINDOW_BYTES: u32 = 1024 * 1024;

/// Serves other daemons until `stop` is cancelled, then waits for the open connections to end.
pub async fn serve_peers(cx: Cx, control: Control, listener: TcpListener, stop: CancellationToken) {
    let connections = TaskTracker::new();
    let closing = CancellationToken::new();
    let listener = BoundedListener::new(listener, cx.settings.limits.peer_connections);
    let serve = |accepted| {
        let (cx, control) = (Arc::clone(&cx), control.clone());
        connections.spawn(serve_connection(cx, control, accepted, closing.clone()));
    };
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        serve(accepted);
    }
    listener.close().into_iter().for_each(serve);
    close_connections(&connections, &closing).await;
}

async fn serve_connection(
    cx: Cx,
    control: Control,
    accepted: Accepted,
    closing: CancellationToken,
) {
    let Accepted { stream, at, permit: _permit } = accepted;
    let builder = builder(cx.settings.limits.header_bytes * HEADER_FACTOR);
    let service = service_fn(move |req| handle_request(Arc::clone(&cx), control.clone(), req));
    let conn = builder.serve_connection(TokioIo::new(stream), service);
    if let Err(e) = serve_until(wait_for_close(&closing, at), conn).await {
        tracing::debug!(error = %e, "peer connection failed");
    }
}

fn builder(header_bytes: usize) -> auto::Builder<TokioExecutor> {
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).max_buf_size(header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
    builder
}

/// Handles a call or a control message; refuses requests without the shared token.
async fn handle_request(
    cx: Cx,
    control: Control,
    req: Request<Incoming>,
) -> Result<Response<ProxyBody>, Infallible> {
    let refusal = if !has_token(&cx.settings, req.headers()) {
        Some("the token is missing or wrong")
    } else if !req.uri().path().starts_with(PEER_PREFIX) {
        Some("this listener is for other daemons")
    } else {
        None
    };
    if let Some(detail) = refusal {
        return Ok(CallError::new(ErrorKind::Forbidden, detail).into_response(&cx.settings.dialect));
    }
    if is_call(req.uri().path()) {
        return Ok(serve_peer_call(cx, req).await);
    }
    Ok(serve_control(&cx, &control, req).await)
}
