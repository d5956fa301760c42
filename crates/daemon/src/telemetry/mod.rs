//! Logs, metrics and traces.
//!
//! Logs are JSON lines on standard output. Metrics are collected with `opentelemetry` and served in the
//! Prometheus text format. Spans are log lines with the target `span`, one for each hop.

mod limit;
mod metrics;
mod trace;
mod traffic;

pub use limit::{LogLineKind, LogRateLimiter};
pub use metrics::Metrics;
pub use trace::{Span, TRACEPARENT, TraceContext};
pub use traffic::{Flow, Meter, Metered, Traffic, Volume};

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Most buffered log lines; further ones are dropped, so that no request waits for a slow reader of the
/// log.
const MAX_BUFFERED_LINES: usize = 4_096;

/// Initializes logging as JSON lines to standard output; buffered lines are flushed when the returned guard
/// is dropped.
///
/// # Errors
///
/// The filter is malformed, or logging is already initialized.
pub fn init_logs(filter: &str) -> Result<WorkerGuard> {
    let filter = EnvFilter::try_new(filter)
        .wrap_err_with(|| format!("failed to parse the log filter `{filter}`"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_BUFFERED_LINES)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|e| eyre!("failed to initialize logging: {e}"))?;
    Ok(guard)
}
