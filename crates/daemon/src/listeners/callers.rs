//! Listener for callers: HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use bytes::BytesMut;
use http::header::CONTENT_TYPE;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::{Body, Incoming};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::delivery::Delivery;
use super::hooked::{Gate, HookedStream};
use super::prefixed::PrefixedStream;
use super::{
    Accepted, BoundedListener, close_connections, serve_until, wait_for_close, wait_until_idle,
};
use crate::callers::{
    self, BUFFER_BYTES, CallerConnection, HEADER_READ_FACTOR, HeldRequest, WaitingRequest,
};
use crate::context::{Cx, Phase};
use crate::http1::{self, HeadError, HeadLimits, Service};
use crate::proxy::{
    CallError, CallerAddress, ProxyBody, RequestBody, RequestsAhead, ToldCallers, UsesLink,
    held_section_bytes, section_bytes, serve_caller,
};

/// Most bytes that the library buffers for one HTTP/2 stream whose caller does not read.
const SEND_BUFFER_BYTES: usize = 32 * 1024;

/// Memory that the library takes for an HTTP/2 connection, in bytes.
const HTTP2_STATE_BYTES: usize = 16 * 1024;

/// Default time limit for receiving a request head, if the configuration has none.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Default time without a request after which a connection is closed, if the configuration has none.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// HTTP/2 receive window of one stream; limits what is buffered for a slow backend server.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;

/// Path at which callers request an idempotency key; the key names the daemon that owns it.
const KEY_PATH: &str = "/.well-known/baobabreel/key";

/// Why a request is refused that would exceed the memory for callers.
const NO_ROOM: &str = "the connections of callers hold as much memory as they may";

/// First line of the HTTP/2 connection preface.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n";

/// Serves callers until `stop` is cancelled, then waits for the open connections to end.
pub async fn serve_callers(cx: Cx, listener: TcpListener, stop: CancellationToken) {
    let connections = TaskTracker::new();
    let closing = CancellationToken::new();
    let listener = BoundedListener::new(listener, cx.callers.connections);
    let serve = |accepted| {
        connections.spawn(serve_connection(Arc::clone(&cx), accepted, closing.clone()));
    };
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept(|most| callers::close_idle(&cx, most)) => accepted,
        };
        serve(accepted);
    }
    // New connections are refused from here on, so that callers try another daemon at once.
    listener.close().into_iter().for_each(serve);
    close_connections(&connections, &closing).await;
}

async fn serve_connection(cx: Cx, accepted: Accepted, closing: CancellationToken) {
    let Accepted { mut stream, at, permit: _permit } = accepted;
    let uses_link = UsesLink(uses_link(&stream));
    let connection = CallerConnection::open(&cx, &closing, uses_link.0);
    let addr = stream.peer_addr().ok().map(|addr| CallerAddress(addr.ip()));
    let service = CallerService { cx, told: ToldCallers::default(), addr, uses_link };
    let mut buf = BytesMut::new();
    let detected = detect_http2(&mut stream, &mut buf, service.limits().idle);
    let is_http2 = tokio::select! {
        // A request that has arrived is read before the connection closes.
        biased;
        detected = detected => match detected {
            Some(is_http2) => is_http2,
            None => return,
        },
        () = wait_for_close(&connection.stop, at) => return,
    };
    if is_http2 {
        tokio::select! {
            biased;
            () = connection.abort.cancelled() => {}
            // In boxes, so that a connection takes the memory of one protocol only.
            () = Box::pin(serve_http2(service, prefixed(buf, stream, &connection), &connection, at)) => {}
            () = closed_in_favour(&connection, &closing) => {}
        }
    } else {
        if let Some(meter) = connection.meter() {
            meter.record_received(buf.len());
        }
        Box::pin(http1::serve_connection(stream, buf, service, connection)).await;
    }
}

/// Connection of a caller, with the bytes that were read already.
fn prefixed(buf: BytesMut, stream: TcpStream, connection: &CallerConnection) -> PrefixedStream {
    PrefixedStream::new(buf, stream, connection.meter().cloned())
}

/// Whether the bytes of a connection pass the link of the instance; those of a caller on the same instance don't.
fn uses_link(stream: &TcpStream) -> bool {
    match (stream.peer_addr(), stream.local_addr()) {
        (Ok(peer), Ok(local)) => peer.ip().to_canonical() != local.ip().to_canonical(),
        _ => true,
    }
}

/// Waits until a connection without a request has not ended in time after it was to close in favour of others. The
/// library waits for the caller to confirm the close.
async fn closed_in_favour(connection: &CallerConnection, closing: &CancellationToken) {
    connection.stop.cancelled().await;
    wait_until_idle(|| !closing.is_cancelled() && connection.requests() == 0).await;
}

/// Reads until the protocol is known and returns whether it is HTTP/2; `None` if the connection ends or
/// is idle for too long before that.
pub(super) async fn detect_http2(
    stream: &mut TcpStream,
    buf: &mut BytesMut,
    idle: Duration,
) -> Option<bool> {
    loop {
        let compared = buf.len().min(HTTP2_PREFACE.len());
        if buf[..compared] != HTTP2_PREFACE[..compared] {
            return Some(false);
        }
        if compared == HTTP2_PREFACE.len() {
            return Some(true);
        }
        match tokio::time::timeout(idle, stream.read_buf(buf)).await {
            Ok(Ok(read)) if read > 0 => {}
            Ok(Ok(_)) | Err(_) => return None,
            Ok(Err(e)) => {
                tracing::trace!(error = %e, "failed to read from a caller connection");
                return None;
            }
        }
    }
}

async fn serve_http2(
    caller: CallerService,
    stream: PrefixedStream,
    connection: &Arc<CallerConnection>,
    accepted_at: Instant,
) {
    let CallerService { cx, told, addr, uses_link } = caller;
    let _state = connection.hold(HTTP2_STATE_BYTES);
    let header_bytes = cx.settings.limits.header_bytes * HEADER_READ_FACTOR;
    let service = service_fn(|mut req: Request<Incoming>| {
        let (cx, connection) = (Arc::clone(&cx), Arc::clone(connection));
        req.extensions_mut().insert(told.clone());
        addr.map(|addr| req.extensions_mut().insert(addr));
        req.extensions_mut().insert(uses_link);
        // Counted now, as many streams may arrive before the first one is served.
        let bytes = stream_bytes(&req);
        let waiting = connection.hold_waiting(bytes);
        async move {
            let delivery = Delivery::begin(&cx, &req);
            let (res, held) = serve_stream(cx, &connection, req, bytes, waiting).await;
            Ok::<_, Infallible>(delivery.attach(res, held))
        }
    });
    let conn = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX))
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(cx.callers.http2.window)
        .max_concurrent_streams(cx.callers.http2.streams)
        .max_send_buf_size(SEND_BUFFER_BYTES)
        .serve_connection(
            TokioIo::new(HookedStream::new(stream, Gate::new(Arc::clone(connection)))),
            service,
        );
    let close = wait_for_close(&connection.stop, accepted_at);
    if let Err(e) = serve_until(close, conn).await {
        tracing::debug!(error = %e, "caller connection failed");
    }
}

/// Memory of a request over HTTP/2 before it is served, in bytes.
fn stream_bytes(req: &Request<Incoming>) -> usize {
    // The library holds a head as received and decoded.
    let head = 2 * held_section_bytes(req.uri(), req.headers());
    let size = req.body().size_hint();
    let body = if req.body().is_end_stream() { 0 } else { size.upper().unwrap_or(u64::MAX) };
    head + usize::try_from(body.min(BUFFER_BYTES)).unwrap_or(usize::MAX)
}

/// Serves a request of an HTTP/2 connection once what the connection holds allows it.
async fn serve_stream(
    cx: Cx,
    connection: &Arc<CallerConnection>,
    mut req: Request<Incoming>,
    bytes: usize,
    waiting: Option<WaitingRequest>,
) -> (Response<ProxyBody>, Option<HeldRequest>) {
    let Some(waiting) = waiting else {
        return (no_room(&cx), None);
    };
    connection.wait_to_read().await;
    drop(waiting);
    let ahead = u32::try_from(connection.requests()).unwrap_or(u32::MAX);
    req.extensions_mut().insert(RequestsAhead(ahead));
    // In a box, so that a request that waits holds only its head.
    let mut call = Box::pin(handle_request(Arc::clone(&cx), req.map(RequestBody::Hyper)));
    let Some(mut held) = connection.admit(size_of_val(&*call) + bytes) else {
        return (no_room(&cx), None);
    };
    let res = call.as_mut().await;
    held.respond(res.body().held_bytes(), res.status() == StatusCode::SERVICE_UNAVAILABLE);
    (res, Some(held))
}

/// Response to a request that is not taken because the connections of callers hold too much. Without a body, as a caller
/// that does not read would hold that, too.
fn no_room(cx: &Cx) -> Response<ProxyBody> {
    CallError::new(ErrorKind::Overloaded, NO_ROOM).into_response_without_body(&cx.settings.dialect)
}

/// Request handler for caller connections.
#[derive(Debug, Clone)]
struct CallerService {
    cx: Cx,
    /// Times before which refused requests on this connection must not be sent again.
    told: ToldCallers,
    addr: Option<CallerAddress>,
    uses_link: UsesLink,
}

impl Service for CallerService {
    type Delivery = Delivery;

    fn begin_delivery(&self, req: &Request<RequestBody>) -> Delivery {
        Delivery::begin(&self.cx, req)
    }

    fn call(
        &self,
        mut req: Request<RequestBody>,
    ) -> impl Future<Output = Response<ProxyBody>> + Send + 'static {
        req.extensions_mut().insert(self.told.clone());
        self.addr.map(|addr| req.extensions_mut().insert(addr));
        req.extensions_mut().insert(self.uses_link);
        handle_request(Arc::clone(&self.cx), req)
    }

    fn error_response(&self, head_error: HeadError) -> Response<ProxyBody> {
        let (kind, detail) = match head_error {
            HeadError::Malformed(detail) => (ErrorKind::BadRequest, detail),
            HeadError::TooLarge => (ErrorKind::HeaderTooLarge, "the header section is too large"),
            HeadError::NoRoom => (ErrorKind::Overloaded, NO_ROOM),
            HeadError::TooSlow => (ErrorKind::RequestTimeout, "the head did not come in time"),
        };
        CallError::new(kind, detail).into_response(&self.cx.settings.dialect)
    }

    fn limits(&self) -> HeadLimits {
        let config = self.cx.config.load();
        let limits = config.limits.as_ref();
        HeadLimits {
            bytes: header_bytes(&self.cx) * HEADER_READ_FACTOR,
            timeout: limits.map_or(HEADER_TIMEOUT, |limits| limits.header_timeout),
            idle: limits.map_or(IDLE_TIMEOUT, |limits| limits.idle_timeout),
        }
    }

    fn is_closing(&self) -> bool {
        self.cx.phase() > Phase::Serving
    }
}

/// Returns the size limit for header sections of requests, in bytes.
fn header_bytes(cx: &Cx) -> usize {
    let configured = cx.config.load().limits.as_ref().map(|limits| limits.header_bytes);
    configured.unwrap_or(cx.settings.limits.header_bytes)
}

async fn handle_request(cx: Cx, req: Request<RequestBody>) -> Response<ProxyBody> {
    let most = header_bytes(&cx);
    if section_bytes(req.uri(), req.headers()) > most {
        let detail = format!("the header section has more than {most} bytes");
        let e = CallError::new(ErrorKind::HeaderTooLarge, detail);
        return e.into_response(&cx.settings.dialect);
    }
    if cx.settings.dialect.own_headers && req.uri().path() == KEY_PATH {
        return issue_key(&cx, req.method());
    }
    serve_caller(cx, req).await
}

/// Responds with a new idempotency key; 503 while the daemon cannot issue keys.
fn issue_key(cx: &Cx, method: &Method) -> Response<ProxyBody> {
    let mut res = Response::new(ProxyBody::Empty);
    let key = cx.keys.issue();
    match key {
        Some(key) if *method == Method::GET => {
            *res.body_mut() = ProxyBody::full(format!("{}\n", key.as_str()));
            let headers = res.headers_mut();
            headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
            headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        }
        Some(_) => *res.status_mut() = StatusCode::METHOD_NOT_ALLOWED,
        None => *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
    }
    res
}
