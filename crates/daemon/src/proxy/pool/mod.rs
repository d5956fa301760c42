//! Connections to backend servers and other daemons.

mod control_times;
mod held;
mod idle_limit;
mod peer;
mod pooled;

pub use control_times::ControlTimes;
pub use held::HeldConnection;
pub use idle_limit::IdleLimit;
pub use peer::{PeerError, PeerPool};
pub use pooled::{ConnectionPool, PooledConnection, Protocol, SendError};

use std::error::Error;
use std::time::Duration;

use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioTimer};

/// Time between two pings of an HTTP/2 connection.
const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a connection with an unanswered ping is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(2);

/// Receive window of one stream, in bytes; bounds what is buffered for a slow reader.
const STREAM_WINDOW: u32 = 256 * 1024;

/// Receive window of one connection, in bytes.
const CONNECTION_WINDOW: u32 = 1024 * 1024;

/// Builder of HTTP/2 connections that send pings while a response is awaited.
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

/// Formats an error with its causes, which hyper's own message leaves out.
fn describe(e: &hyper::Error) -> String {
    let causes = std::iter::successors(e.source(), |cause| (*cause).source());
    causes.fold(e.to_string(), |text, cause| format!("{text}: {cause}"))
}
