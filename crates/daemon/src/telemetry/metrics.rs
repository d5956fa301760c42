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
    bodies: Counter<u64>,
    body_bytes: Counter<u64>,
    body_wait: Histogram<f64>,
    caller_limits: Counter<u64>,
    control_bytes: Counter<u64>,
    link_bytes: Counter<u64>,
    body_rate: Gauge<f64>,
    quota_refusals: Counter<u64>,
    quota_reserve: Counter<u64>,
    config_offset: Gauge<u64>,
    held: Gauge<u64>,
    proof_age: Gauge<f64>,
    lease_refusals: Counter<u64>,
    rollout_phase: Gauge<u64>,
    rollout_share: Gauge<f64>,
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
            bodies: meter
                .u64_counter("baobabreel.bodies")
                .with_description("Large request bodies by what the links decided")
                .build(),
            body_bytes: meter
                .u64_counter("baobabreel.body.bytes")
                .with_unit("By")
                .with_description("Bytes of large request bodies by what the links decided")
                .build(),
            body_wait: meter
                .f64_histogram("baobabreel.body.wait")
                .with_unit("s")
                .with_boundaries(LATENCY_BOUNDS.to_vec())
                .with_description("Time for which granted bodies waited before their start")
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
            link_bytes: meter
                .u64_counter("baobabreel.link.bytes")
                .with_unit("By")
                .with_description(
                    "Bytes on the link of the instance by direction and flow, without headers of packets",
                )
                .build(),
            body_rate: meter
                .f64_gauge("baobabreel.link.body.rate")
                .with_unit("By/s")
                .with_description("Rate that large request bodies may use, by direction of the link")
                .build(),
            quota_refusals: meter
                .u64_counter("baobabreel.quota.refusals")
                .with_description("Requests refused by the quotas of their tenants, by reason")
                .build(),
            quota_reserve: meter
                .u64_counter("baobabreel.quota.reserve")
                .with_description("Requests sent from the reserve, as no account answered")
                .build(),
            config_offset: meter
                .u64_gauge("baobabreel.config.offset")
                .with_description("Offset of the configuration in force")
                .build(),
            held: meter
                .u64_gauge("baobabreel.config.held")
                .with_description("1 while the daemon holds its last whole version")
                .build(),
            proof_age: meter
                .f64_gauge("baobabreel.revocation.proof.age")
                .with_unit("s")
                .with_description("Age of the proof that the configuration is the newest one")
                .build(),
            lease_refusals: meter
                .u64_counter("baobabreel.revocation.refusals")
                .with_description("Requests with API keys refused for lack of such a proof")
                .build(),
            rollout_phase: meter
                .u64_gauge("baobabreel.rollout.phase")
                .with_description(
                    "Phase of the roll-out of a service at its decider: 0 canary, 1 ramp, 2 promoting, 3 succeeded, \
                     4 rolled back",
                )
                .build(),
            rollout_share: meter
                .f64_gauge("baobabreel.rollout.share")
                .with_description("Part of the requests of a service that goes to its new release")
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

    /// Counts a large request body; the result tells what the links decided about it.
    pub fn record_body(&self, result: &'static str, bytes: u64, wait: Duration) {
        let labels = [KeyValue::new("result", result)];
        self.bodies.add(1, &labels);
        self.body_bytes.add(bytes, &labels);
        if result == "granted" {
            self.body_wait.record(wait.as_secs_f64(), &[]);
        }
    }

    /// Counts a limit on callers that acted so many times.
    pub fn record_caller_limit(&self, limit: &'static str, count: usize) {
        self.caller_limits.add(count as u64, &[KeyValue::new("limit", limit)]);
    }

    /// Counts the bytes of a control message; the direction is `in` or `out`.
    pub fn record_control_bytes(&self, direction: &'static str, bytes: usize) {
        self.control_bytes.add(bytes as u64, &[KeyValue::new("direction", direction)]);
    }

    /// Counts bytes that passed the link of the instance.
    pub fn record_link_bytes(&self, direction: &'static str, flow: &'static str, bytes: u64) {
        if bytes > 0 {
            let of = [KeyValue::new("direction", direction), KeyValue::new("flow", flow)];
            self.link_bytes.add(bytes, &of);
        }
    }

    /// Records the rate that large bodies may use on the link, in bytes per second.
    pub fn record_body_rate(&self, direction: &'static str, bytes_per_sec: f64) {
        self.body_rate.record(bytes_per_sec, &[KeyValue::new("direction", direction)]);
    }

    /// Counts a request that a quota refused; the reason is `limit` or `no_account`.
    pub fn record_quota_refusal(&self, reason: &'static str) {
        self.quota_refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts a request that was sent from the reserve.
    pub fn record_quota_reserve(&self) {
        self.quota_reserve.add(1, &[]);
    }

    /// Records the offset of the configuration in force and whether it is held.
    pub fn record_config(&self, offset: u64, held: bool) {
        self.config_offset.record(offset, &[]);
        self.held.record(u64::from(held), &[]);
    }

    /// Records the age of the proof that the configuration is the newest one.
    pub fn record_proof_age(&self, age: Duration) {
        self.proof_age.record(age.as_secs_f64(), &[]);
    }

    /// Counts a request that was refused for lack of such a proof.
    pub fn record_lease_refusal(&self) {
        self.lease_refusals.add(1, &[]);
    }

    /// Records the phase of a roll-out and the part of the requests that goes to the new release.
    pub fn record_rollout(&self, service: &str, phase: u64, share: f64) {
        let service = [KeyValue::new("service", service.to_owned())];
        self.rollout_phase.record(phase, &service);
        self.rollout_share.record(share, &service);
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
