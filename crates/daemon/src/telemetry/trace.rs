//! Trace contexts in the W3C `traceparent` format, and spans.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue};

/// Name of the trace context header.
pub const TRACEPARENT: HeaderName = HeaderName::from_static("traceparent");

/// Position in a trace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TraceContext {
    /// Identifier of the trace.
    pub trace_id: u128,
    /// Identifier of the current span.
    pub span_id: u64,
    /// Whether spans of the trace are written.
    pub sampled: bool,
}

impl TraceContext {
    /// Parses the trace context header; a malformed one counts as absent.
    #[must_use]
    pub fn read(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(TRACEPARENT)?.to_str().ok()?;
        let mut parts = text.split('-');
        let (version, trace, span, flags) =
            (parts.next()?, parts.next()?, parts.next()?, parts.next()?);
        if version.len() != 2 || trace.len() != 32 || span.len() != 16 || flags.len() != 2 {
            return None;
        }
        let trace_id = u128::from_str_radix(trace, 16).ok().filter(|id| *id != 0)?;
        let span_id = u64::from_str_radix(span, 16).ok().filter(|id| *id != 0)?;
        let sampled = u8::from_str_radix(flags, 16).ok()? & 1 == 1;
        Some(Self { trace_id, span_id, sampled })
    }

    /// Returns the value of the trace context header.
    #[must_use]
    pub fn to_header(self) -> Option<HeaderValue> {
        let flags = u8::from(self.sampled);
        let text = format!("00-{:032x}-{:016x}-{flags:02x}", self.trace_id, self.span_id);
        HeaderValue::from_str(&text).ok()
    }
}

/// Span of one hop of a request.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Trace context with the identifier of this span.
    pub context: TraceContext,
    parent: Option<u64>,
    hop: &'static str,
    start: Duration,
}

impl Span {
    /// Starts a span. Without a parent it starts a trace, which is sampled with the probability
    /// `sample_share`.
    #[must_use]
    pub fn start(
        hop: &'static str,
        parent: Option<TraceContext>,
        sample_share: f64,
        start: Duration,
    ) -> Self {
        let span_id = rand::random::<u64>() | 1;
        let context = match parent {
            Some(parent) => TraceContext { span_id, ..parent },
            None => {
                let sampled = sample_share > 0.0 && rand::random::<f64>() < sample_share;
                TraceContext { trace_id: rand::random::<u128>() | 1, span_id, sampled }
            }
        };
        Self { context, parent: parent.map(|parent| parent.span_id), hop, start }
    }

    /// Logs the span if its trace is sampled.
    pub fn finish(&self, now: Duration, route: &str, result: &str) {
        if !self.context.sampled {
            return;
        }
        let micros = u64::try_from(now.saturating_sub(self.start).as_micros()).unwrap_or(u64::MAX);
        tracing::info!(
            target: "span",
            trace_id = format!("{:032x}", self.context.trace_id),
            span_id = format!("{:016x}", self.context.span_id),
            parent_id = self.parent.map(|id| format!("{id:016x}")),
            hop = self.hop,
            route,
            result,
            duration_us = micros,
            "span"
        );
    }
}
