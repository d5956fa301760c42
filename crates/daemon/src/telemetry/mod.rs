//! Logs, metrics and traces.
//!
//! Logs are JSON lines on standard output. Metrics are kept by `opentelemetry` and served in the
//! Prometheus text format. Spans are log lines of target `span`, one for each hop.

mod limit;
mod metrics;
mod trace;

pub use limit::{LogLineKind, LogRateLimiter};
pub use metrics::Metrics;
pub use trace::{Span, TRACEPARENT, TraceContext};

use eyre::{Result, WrapErr, eyre};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

/// Lines that may wait to be written; later ones are dropped, so that no request waits for a reader of
/// the log.
const MAX_WAITING_LINES: usize = 4_096;

/// Starts to write log lines as JSON to standard output; the lines that wait are written when the
/// returned guard is dropped.
///
/// # Errors
///
/// The filter is malformed, or log lines are already being written.
pub fn init_logs(filter: &str) -> Result<WorkerGuard> {
    let filter = EnvFilter::try_new(filter)
        .wrap_err_with(|| format!("failed to read the log filter `{filter}`"))?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_WAITING_LINES)
        .finish(std::io::stdout());
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(writer)
        .try_init()
        .map_err(|e| eyre!("failed to start the log: {e}"))?;
    Ok(guard)
}
