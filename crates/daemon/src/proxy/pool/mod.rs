//! Connections to backend servers and to other daemons.

mod idle_limit;
mod peer;
mod pooled;

pub use idle_limit::IdleLimit;
pub use peer::{PeerError, PeerPool};
pub use pooled::{ConnectionPool, PooledConnection, Protocol, SendError};

use std::error::Error;
use std::time::Duration;

use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time between pings.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time in which a ping must be answered.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Receive window of one stream; bounds what is buffered for a slow reader.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Receive window of one connection.
const CONNECTION_WINDOW: u32 = 1024 * 1024;

/// HTTP/2 that pings a connection while an answer is awaited.
fn http2_builder() -> http2::Builder<TokioExecutor> {
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(PING_INTERVAL)
        .keep_alive_timeout(PING_TIMEOUT)
        .keep_alive_while_idle(false)
        .initial_stream_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW);
    builder
}

/// Text of an error with its causes; hyper's own text leaves them out.
fn describe(e: &hyper::Error) -> String {
    let causes = std::iter::successors(e.source(), |cause| (*cause).source());
    causes.fold(e.to_string(), |text, cause| format!("{text}: {cause}"))
}
