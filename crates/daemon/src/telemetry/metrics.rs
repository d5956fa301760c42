//! Metrics of the daemon.

use std::time::Duration;

use baobabreel_core::error::{ErrorKind, Outcome};
use eyre::{Result, WrapErr};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, MeterProvider};
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Registry, TextEncoder};

/// Upper bounds of the latency histogram buckets, in seconds.
const LATENCY_BOUNDS: [f64; 14] =
    [0.000_1, 0.000_25, 0.000_5, 0.001, 0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 1.0, 5.0, 30.0];

/// Metric instruments and the registry that they are exported from.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    _provider: SdkMeterProvider,
    requests: Counter<u64>,
    latency: Histogram<f64>,
    retries: Counter<u64>,
    undelivered: Counter<u64>,
    caller_limits: Counter<u64>,
    control_bytes: Counter<u64>,
    config_offset: Gauge<u64>,
    held: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments and registers their exporter.
    ///
    /// # Errors
    ///
    /// The exporter cannot be registered.
    pub fn new() -> Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .build()
            .wrap_err("failed to build the metrics exporter")?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter("baobabreel");
        Ok(Self {
            requests: meter
                .u64_counter("baobabreel.requests")
                .with_description("Requests of callers by route and result")
                .build(),
            latency: meter
                .f64_histogram("baobabreel.request.duration")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .with_description("Time from the request head to the answer head")
                .build(),
            retries: meter
                .u64_counter("baobabreel.retries")
                .with_description("Second tries by route")
                .build(),
            undelivered: meter
                .u64_counter("baobabreel.responses.undelivered")
                .with_description("Responses that did not reach their callers, by stage")
                .build(),
            caller_limits: meter
                .u64_counter("baobabreel.caller.limits")
                .with_description("Limits on the connections of callers that acted, by limit")
                .build(),
            control_bytes: meter
                .u64_counter("baobabreel.control.bytes")
                .with_unit("By")
                .with_description("Bodies of control messages by direction")
                .build(),
            config_offset: meter
                .u64_gauge("baobabreel.config.offset")
                .with_description("Offset of the configuration in force")
                .build(),
            held: meter
                .u64_gauge("baobabreel.config.held")
                .with_description("1 while the daemon holds its last whole version")
                .build(),
            registry,
            _provider: provider,
        })
    }

    /// Counts a request and records its latency.
    pub fn record_request(
        &self,
        route: &str,
        result: Result<Outcome, ErrorKind>,
        latency: Duration,
    ) {
        let result = match result {
            Ok(outcome) => outcome.as_str(),
            Err(kind) => kind.name(),
        };
        let route = KeyValue::new("route", route.to_owned());
        self.latency.record(latency.as_secs_f64(), std::slice::from_ref(&route));
        self.requests.add(1, &[route, KeyValue::new("result", result)]);
    }

    /// Counts a retry.
    pub fn record_retry(&self, route: &str) {
        self.retries.add(1, &[KeyValue::new("route", route.to_owned())]);
    }

    /// Counts a response that did not reach its caller; the stage tells how far it had come.
    pub fn record_undelivered(&self, stage: &'static str) {
        self.undelivered.add(1, &[KeyValue::new("stage", stage)]);
    }

    /// Counts a limit on callers that acted so many times.
    pub fn record_caller_limit(&self, limit: &'static str, count: usize) {
        self.caller_limits.add(count as u64, &[KeyValue::new("limit", limit)]);
    }

    /// Counts the bytes of a control message; the direction is `in` or `out`.
    pub fn record_control_bytes(&self, direction: &'static str, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[KeyValue::new("direction", direction)]);
    }

    /// Records the offset of the configuration in force and whether it is held.
    pub fn record_config(&self, offset: u64, held: bool) {
        self.config_offset.record(offset, &[]);
        self.held.record(u64::from(held), &[]);
    }

    /// Returns all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// A metric cannot be encoded.
    pub fn render(&self) -> Result<String> {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .wrap_err("failed to encode the metrics")
    }
}
