//! Logs, metrics and traces.
//!
//! Logs are JSON lines on standard output. Metrics are kept by `opentelemetry` and served in the
//! Prometheus text format. Spans are log lines of target `span`, one for each hop.

mod metrics;
mod trace;

pub use metrics::Metrics;
pub use trace::{Span, TRACEPARENT, TraceContext};

use eyre::{Result, WrapErr, eyre};
use tracing_subscriber::EnvFilter;

/// Starts to write log lines as JSON to standard output.
///
/// # Errors
///
/// The filter is malformed, or log lines are already being written.
pub fn init_logs(filter: &str) -> Result<()> {
    let filter = EnvFilter::try_new(filter)
        .wrap_err_with(|| format!("failed to read the log filter `{filter}`"))?;
    tracing_subscriber::fmt()
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_env_filter(filter)
        .with_writer(std::io::stdout)
        .try_init()
        .map_err(|e| eyre!("failed to start the log: {e}"))
}
