//! Listener for callers: HTTP/1.1 and HTTP/2.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::BoundedListener;
use crate::context::Cx;
use crate::proxy::{CallError, ProxyBody, section_bytes, serve_caller};

/// Time in which the head of a request must be whole.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);

/// Receive window of one stream; bounds what is buffered for a slow backend server.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Factor on the allowed header section up to which the daemon reads it, to answer with the error
/// of the closed list; hyper answers a larger one itself, with a bare 431.
const HEADER_READ_FACTOR: usize = 2;

/// Path at which callers get a key that names its owner.
const KEY_PATH: &str = "/.well-known/baobabreel/key";

/// Serves callers until `stop`; then lets the open connections end.
pub async fn serve_callers(cx: Cx, listener: TcpListener, stop: CancellationToken) {
    let graceful = GracefulShutdown::new();
    let listener = BoundedListener::new(listener, cx.settings.limits.caller_connections);
    loop {
        let (stream, permit) = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let builder = builder(&cx);
        let cx = Arc::clone(&cx);
        let service = service_fn(move |req| answer(Arc::clone(&cx), req));
        let conn = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let conn = graceful.watch(conn);
        tokio::spawn(async move {
            if let Err(e) = conn.await {
                tracing::debug!(error = %e, "connection of a caller ended");
            }
            drop(permit);
        });
    }
    graceful.shutdown().await;
}

fn builder(cx: &Cx) -> auto::Builder<TokioExecutor> {
    let header_bytes = cx.settings.limits.header_bytes * HEADER_READ_FACTOR;
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(header_bytes);
    builder
        .http2()
        .timer(TokioTimer::new())
        .max_header_list_size(u32::try_from(header_bytes).unwrap_or(u32::MAX))
        .initial_stream_window_size(STREAM_WINDOW);
    builder
}

async fn answer(cx: Cx, req: Request<Incoming>) -> Result<Response<ProxyBody>, Infallible> {
    let config = cx.config.load();
    let of_config = config.limits.as_ref().map(|limits| limits.header_bytes);
    let most = of_config.unwrap_or(cx.settings.limits.header_bytes);
    drop(config);
    if section_bytes(req.uri(), req.headers()) > most {
        let detail = format!("the header section has more than {most} bytes");
        return Ok(
            CallError::new(ErrorKind::HeaderTooLarge, detail).into_response(&cx.settings.dialect)
        );
    }
    if cx.settings.dialect.own_headers && req.uri().path() == KEY_PATH {
        return Ok(issue_key(&cx, req.method()));
    }
    Ok(serve_caller(cx, req).await)
}

fn issue_key(cx: &Cx, method: &Method) -> Response<ProxyBody> {
    let mut res = Response::new(ProxyBody::Empty);
    let key = cx.keys.issue();
    match key {
        Some(key) if *method == Method::GET => {
            *res.body_mut() = ProxyBody::full(format!("{}\n", key.as_str()));
            let headers = res.headers_mut();
            headers.insert(http::header::CONTENT_TYPE, HeaderValue::from_static("text/plain"));
            headers.insert(http::header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
        }
        Some(_) => *res.status_mut() = StatusCode::METHOD_NOT_ALLOWED,
        None => *res.status_mut() = StatusCode::SERVICE_UNAVAILABLE,
    }
    res
}
