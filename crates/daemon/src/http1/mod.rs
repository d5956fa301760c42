//! HTTP/1.1 connections of callers.
//!
//! Requests can be pipelined. Each request is dispatched as soon as its head has been read, and the
//! responses are written in the order of the requests; when requests were served one at a time, a short
//! request waited for all those before it on its connection. The connection is read continuously, so
//! that a disconnected caller is noticed at once and its requests are cancelled.
//!
//! A connection ends in two steps: after the last response the daemon ends its side, then it discards what still comes
//! until the caller closes too.

mod body_rest;
mod chunks;
mod head;
mod reader;
mod writer;

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http::{Request, Response};
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::callers::CallerConnection;
use crate::proxy::{ProxyBody, RequestBody};

/// Most requests of one connection that are in progress at once.
const MAX_PIPELINED_REQUESTS: usize = 32;

/// Time for a caller to close the connection after the last bytes that were written, or that it sent since. Input that
/// arrives at a closed socket is answered with a reset, which discards what the caller has not received yet.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// Longest time for a caller that sends on to close the connection after the last bytes that were written.
const MAX_LINGER_TIME: Duration = Duration::from_secs(5);

/// Largest rest of an unwanted request body that is discarded so that the connection can carry further requests, in
/// bytes. Callers over loopback send as much within milliseconds; after a longer rest the connection is closed.
const MAX_DISCARDED_BYTES: u64 = 512 * 1024;

/// Why the head of a request cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadError {
    /// It is not valid HTTP/1.1; with the reason.
    Malformed(&'static str),
    /// It is larger than allowed.
    TooLarge,
    /// It was incomplete when [`HeadLimits::timeout`] had passed.
    TooSlow,
    /// The connections of all callers hold as much as they may.
    NoRoom,
}

/// Limits on request heads.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Largest head, in bytes.
    pub bytes: usize,
    /// Longest time from the first byte of a head to its last.
    pub timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle: Duration,
}

/// Observer of the delivery of one response, which failed if it is dropped before [`written`](Self::written).
pub trait Delivery: Send + 'static {
    /// The response is ready; writing begins.
    fn ready(&mut self);

    /// The kernel has the whole response.
    fn written(self);
}

/// Handler for the requests of a connection.
pub trait Service: Clone + Send + Sync + 'static {
    /// Observer of the delivery of a response.
    type Delivery: Delivery;

    /// Begins the delivery of the response to a request.
    fn begin_delivery(&self, req: &Request<RequestBody>) -> Self::Delivery;

    /// Handles a request.
    fn call(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<ProxyBody>> + Send + 'static;

    /// Builds the response to a request whose head cannot be read; the connection is closed after it.
    fn error_response(&self, head_error: HeadError) -> Response<ProxyBody>;

    /// Limits that apply now.
    fn limits(&self) -> HeadLimits;

    /// Whether the daemon closes connections after the requests that have been read.
    fn is_closing(&self) -> bool;
}

/// Serves the requests of a connection until it ends.
///
/// `buf` holds the bytes already read from it. The budget of `connection` can hold up reading, refuse requests, end
/// the connection after the requests that have been read, and close it at once.
pub async fn serve_connection<S: Service>(
    stream: TcpStream,
    buf: BytesMut,
    service: S,
    connection: Arc<CallerConnection>,
) {
    let (read, write) = stream.into_split();
    let (tx, rx) = mpsc::channel(MAX_PIPELINED_REQUESTS);
    let no_more_requests = CancellationToken::new();
    let abort = connection.abort.clone();
    let mut writer = writer::Writer::new(write, no_more_requests.clone(), Arc::clone(&connection));
    let late_input = Arc::new(Notify::new());
    let stop_reading = no_more_requests.clone();
    let reader =
        reader::Reader::new(read, buf, service, stop_reading, Arc::clone(&late_input), connection);
    let mut reading = Box::pin(reader.run(tx));
    let written = tokio::select! {
        // Nothing more is answered on a connection that is to be closed at once.
        biased;
        () = abort.cancelled() => {
            tracing::trace!("caller connection closed at once");
            return;
        }
        () = &mut reading => {
            tracing::trace!("caller left");
            return;
        }
        written = writer.run(rx) => written,
    };
    if let Err(e) = written {
        tracing::info!(error = %e, "caller connection failed");
    }
    no_more_requests.cancel();
    let Some(last_write) = writer.finish().await else { return };
    tokio::select! {
        () = reading => {}
        () = linger(last_write, &late_input) => {
            tracing::debug!("the caller did not close its connection after the last response");
        }
    }
}

/// Waits as long as a caller has to close its connection. One that sends ahead sends on with each response that it
/// reads, until it has read the last one, which announces the close.
async fn linger(last_write: Instant, late_input: &Notify) {
    let latest = last_write + MAX_LINGER_TIME;
    let mut until = last_write + LINGER_TIME;
    while tokio::time::timeout_at(until, late_input.notified()).await.is_ok() {
        until = latest.min(Instant::now() + LINGER_TIME);
    }
}
