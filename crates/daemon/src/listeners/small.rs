//! HTTP/1.1 listener for small requests and responses: announcements of the backend server and requests of
//! operators.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::listed::{ConnectionList, ListedConnection, NO_MEMORY_LIMIT};
use super::{Accepted, BoundedListener};

/// Time limit for receiving a request head, and for receiving its body.
const RECEIVE_TIMEOUT: Duration = Duration::from_secs(10);

/// Largest request body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;

/// Most bytes that are read ahead, and so the largest head; by default the library reads up to 400 KB.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Most open connections; one that sends no whole request is closed after [`RECEIVE_TIMEOUT`], and earlier when others
/// wait to connect.
///
/// A backend server needs one and operators need a few. Without a limit, connections that sent nothing
/// used up the file descriptors of the daemon.
const MAX_CONNECTIONS: usize = 128;

/// Response with a small body.
#[derive(Debug)]
pub struct Reply {
    /// HTTP status code.
    pub status: StatusCode,
    /// Media type.
    pub media_type: &'static str,
    /// Body.
    pub body: String,
}

impl Reply {
    /// Returns a 200 response with a JSON document.
    #[must_use]
    pub fn json<T: serde::Serialize>(document: &T) -> Self {
        match serde_json::to_string(document) {
            Ok(body) => Self { status: StatusCode::OK, media_type: "application/json", body },
            Err(e) => Self::error(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
        }
    }

    /// Returns an error response with the reason in JSON.
    #[must_use]
    pub fn error(status: StatusCode, detail: &str) -> Self {
        let body = serde_json::json!({ "error": detail }).to_string();
        Self { status, media_type: "application/json", body }
    }

    fn into_response(self) -> Response<Full<Bytes>> {
        let mut res = Response::new(Full::from(self.body));
        *res.status_mut() = self.status;
        let media_type = HeaderValue::from_static(self.media_type);
        res.headers_mut().insert(http::header::CONTENT_TYPE, media_type);
        res
    }
}

/// Answers requests with `handle` until `stop` is cancelled; open connections are closed then.
pub async fn serve_simple_http<F, Fut>(listener: TcpListener, stop: CancellationToken, handle: F)
where
    F: Fn(Request<Bytes>) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Reply> + Send + 'static,
{
    let idle = ConnectionList::new(NO_MEMORY_LIMIT);
    let listener = BoundedListener::new(listener, MAX_CONNECTIONS);
    loop {
        let Accepted { stream, permit, .. } = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept(|most| idle.close_idle(most)) => accepted,
        };
        let handle = handle.clone();
        let connection = idle.open();
        let close = connection.close.clone();
        let service = service_fn(move |req| respond(handle.clone(), Arc::clone(&connection), req));
        let conn = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(RECEIVE_TIMEOUT)
            .max_buf_size(MAX_READ_AHEAD_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = close.cancelled() => {}
                ended = conn => {
                    if let Err(e) = ended {
                        tracing::debug!(error = %e, "connection failed");
                    }
                }
            }
            drop(permit);
        });
    }
}

/// Reads the body of a request and passes the request to `handle`. It counts as in progress once it is there.
async fn respond<F, Fut>(
    handle: F,
    connection: Arc<ListedConnection>,
    req: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    F: Fn(Request<Bytes>) -> Fut,
    Fut: Future<Output = Reply>,
{
    let (parts, body) = req.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect();
    let reply = match tokio::time::timeout(RECEIVE_TIMEOUT, body).await {
        Ok(Ok(body)) => {
            let _request = connection.begin_request(0);
            handle(Request::from_parts(parts, body.to_bytes())).await
        }
        Ok(Err(_)) => Reply::error(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"),
        Err(_) => {
            let detail = "the body did not come in time";
            let mut res = Reply::error(StatusCode::REQUEST_TIMEOUT, detail).into_response();
            res.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            return Ok(res);
        }
    };
    Ok(reply.into_response())
}
