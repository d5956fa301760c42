//! HTTP/1.1 connections of callers.
//!
//! Callers may send further requests before the first one is answered. Each request is dispatched as
//! soon as it has been read, and the answers go out in the order of the requests; with one request at a
//! time, a short request waited for all those before it on its connection. The connection is read all
//! the while, so that a caller that leaves is noticed at once and its work is cancelled.

mod chunks;
mod head;
mod reader;
mod writer;

use std::time::Duration;

use bytes::BytesMut;
use http::{Request, Response};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::proxy::{ProxyBody, RequestBody};

/// Requests of one connection that are served at once.
const MAX_PIPELINED: usize = 32;

/// Why a request cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HeadFault {
    /// It is no request of the protocol.
    Malformed(&'static str),
    /// Its head is larger than allowed.
    TooLarge,
    /// Its head was not whole in time.
    TooSlow,
}

/// Bounds on the heads of requests.
#[derive(Debug, Clone, Copy)]
pub struct HeadLimits {
    /// Largest head, in bytes.
    pub bytes: usize,
    /// Time from the first byte of a head to its last.
    pub timeout: Duration,
    /// Time without a request after which a connection is closed.
    pub idle: Duration,
}

/// What serves the requests of a connection.
pub trait Service: Clone + Send + Sync + 'static {
    /// Serves a request.
    fn call(
        &self,
        req: Request<RequestBody>,
    ) -> impl Future<Output = Response<ProxyBody>> + Send + 'static;

    /// Answer to a request that cannot be read; the connection is closed after it.
    fn refuse(&self, fault: HeadFault) -> Response<ProxyBody>;

    /// Bounds in force.
    fn limits(&self) -> HeadLimits;

    /// Whether connections should end after the requests that have been read.
    fn is_closing(&self) -> bool;
}

/// Serves the requests of a connection until it ends; `buf` has what was read from it already.
pub async fn serve_connection<S: Service>(
    stream: TcpStream,
    buf: BytesMut,
    service: S,
    stop: CancellationToken,
) {
    let (read, write) = stream.into_split();
    let (tx, rx) = mpsc::channel(MAX_PIPELINED);
    let last = CancellationToken::new();
    let reader = reader::Reader::new(read, buf, service.clone(), last.clone(), stop);
    let writer = writer::Writer::new(write, last);
    tokio::select! {
        () = reader.run(tx) => tracing::trace!("caller left"),
        ended = writer.run(rx) => {
            if let Err(e) = ended {
                tracing::info!(error = %e, "connection of a caller broken off");
            }
        }
    }
}
