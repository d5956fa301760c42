//! Watches what passes the link of the instance, and sets the rates of bodies by it.

use std::time::Duration;

use baobabreel_core::link::{LinkUse, MessageDelay};

use crate::context::Cx;
use crate::proxy::pool::ControlTimes;
use crate::telemetry::{Flow, Volume};

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(200);

/// Part of the link in use from which on a log line says what uses it.
const NEARLY_FULL: f64 = 0.7;

/// Time over which a log line counts.
const LINE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes that have passed the link until a look.
#[derive(Debug, Default, Clone, Copy)]
struct Passed {
    received: Volume,
    sent: Volume,
    /// Bytes of bodies among those received.
    bodies_received: u64,
    /// Bytes of bodies among those sent.
    bodies_sent: u64,
}

impl Passed {
    fn read(cx: &Cx) -> Self {
        let (bodies_received, bodies_sent) = cx.links.passed();
        let (received, sent) = (cx.traffic.received(), cx.traffic.sent());
        Self { received, sent, bodies_received, bodies_sent }
    }

    fn since(&self, earlier: &Self) -> Self {
        Self {
            received: self.received.since(&earlier.received),
            sent: self.sent.since(&earlier.sent),
            bodies_received: self.bodies_received.saturating_sub(earlier.bodies_received),
            bodies_sent: self.bodies_sent.saturating_sub(earlier.bodies_sent),
        }
    }
}

/// What a log line counts.
#[derive(Debug, Default)]
struct LineCount {
    begin: Duration,
    passed: Passed,
    times: ControlTimes,
}

/// Sets the rates of bodies and counts the bytes on the link until the daemon stops.
pub async fn watch_link(cx: Cx) {
    let (mut looked_at, mut before) = (cx.clock.now(), Passed::read(&cx));
    let mut delay = MessageDelay::default();
    let mut line = LineCount { begin: looked_at, passed: before, ..LineCount::default() };
    loop {
        tokio::time::sleep(INTERVAL).await;
        let (now, passed) = (cx.clock.now(), Passed::read(&cx));
        let (elapsed, new) = (now.saturating_sub(looked_at), passed.since(&before));
        (looked_at, before) = (now, passed);
        let times = cx.peers.take_control_times();
        let delay = delay.observe(elapsed, times.shortest, times.lost);
        let used = |all: &Volume, body_bytes: u64| {
            let other_bytes = all.total().saturating_sub(body_bytes);
            LinkUse { elapsed, body_bytes, other_bytes, delay }
        };
        let inbound = used(&new.received, new.bodies_received);
        cx.links.observe(&inbound, &used(&new.sent, new.bodies_sent));
        record(&cx, &new);
        line.times.add(&times);
        if now.saturating_sub(line.begin) >= LINE_INTERVAL {
            let time = now.saturating_sub(line.begin);
            log_if_nearly_full(&cx, time, &passed.since(&line.passed), &line.times);
            line = LineCount { begin: now, passed, ..LineCount::default() };
        }
    }
}

fn record(cx: &Cx, new: &Passed) {
    for flow in Flow::ALL {
        cx.metrics.record_link_bytes("in", flow.name(), new.received.of(flow));
        cx.metrics.record_link_bytes("out", flow.name(), new.sent.of(flow));
    }
    if let Some(rates) = cx.links.rates() {
        cx.metrics.record_body_rate("in", rates.inbound);
        cx.metrics.record_body_rate("out", rates.outbound);
    }
}

/// Says what uses a link that is nearly full, in bytes of `time`, and how late control messages are.
fn log_if_nearly_full(cx: &Cx, time: Duration, passed: &Passed, times: &ControlTimes) {
    let Some(rates) = cx.links.rates() else { return };
    let most = passed.received.total().max(passed.sent.total()) as f64;
    if most < NEARLY_FULL * rates.link * time.as_secs_f64() {
        return;
    }
    let load = cx.host.visible_load(cx.clock.now());
    let (received, sent) = (&passed.received, &passed.sent);
    tracing::info!(
        time_ms = millis(time),
        callers_in = received.of(Flow::Callers),
        calls_in = received.of(Flow::Calls),
        control_in = received.of(Flow::Control),
        store_in = received.of(Flow::Store),
        bodies_in = passed.bodies_received,
        callers_out = sent.of(Flow::Callers),
        calls_out = sent.of(Flow::Calls),
        control_out = sent.of(Flow::Control),
        store_out = sent.of(Flow::Store),
        bodies_out = passed.bodies_sent,
        rate_in = rates.inbound as u64,
        rate_out = rates.outbound as u64,
        backlog = rates.backlog,
        control_answers = times.answers,
        control_lost = times.lost,
        control_mean_ms = millis(times.mean()),
        control_shortest_ms = times.shortest.map(millis),
        control_longest_ms = millis(times.longest),
        running = load.running,
        queued = load.queued,
        "the link is nearly full"
    );
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
