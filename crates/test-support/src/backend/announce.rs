//! Announcements of a backend server to its daemon.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Serialize;
use tokio::time::Instant;

use super::Phase;
use super::work::Backend;

/// Longest wait for the answer to an announcement.
const ANSWER_LIMIT: Duration = Duration::from_millis(900);

#[derive(Debug, Serialize)]
struct Announcement<'a> {
    service: &'a str,
    address: String,
    protocol: &'static str,
    slots: u32,
    state: Phase,
    running: u64,
    load: f64,
}

/// Numbers of running requests, kept for reports that lag.
#[derive(Debug, Default)]
struct LoadHistory(VecDeque<(Instant, u64)>);

impl LoadHistory {
    /// Adds a sample, and returns the newest one that is at least `lag` old (the oldest otherwise).
    fn lagging(&mut self, running: u64, lag: Duration) -> u64 {
        let now = Instant::now();
        self.0.push_back((now, running));
        while self.0.get(1).is_some_and(|(at, _)| now.duration_since(*at) >= lag) {
            self.0.pop_front();
        }
        self.0[0].1
    }
}

/// Announces until the task is aborted.
pub(super) async fn run(backend: Arc<Backend>) {
    let cold_start = backend.settings.cold_start;
    let ready_at = Instant::now() + cold_start;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let mut history = LoadHistory::default();
    let mut changes = backend.phase_changes();
    loop {
        if Instant::now() >= ready_at {
            backend.become_ready();
        }
        changes.mark_unchanged();
        announce(&backend, &client, &mut history).await;
        let mut wake = Instant::now() + backend.settings.announce_interval;
        if Instant::now() < ready_at {
            wake = wake.min(ready_at);
        }
        tokio::select! {
            () = tokio::time::sleep_until(wake) => {}
            _ = changes.changed() => {}
        }
    }
}

async fn announce(
    backend: &Backend,
    client: &Client<HttpConnector, Full<Bytes>>,
    history: &mut LoadHistory,
) {
    let Some(url) = &backend.settings.announce_url else {
        return;
    };
    let faults = backend.faults();
    if faults.mute {
        return;
    }
    let slots = backend.settings.slots;
    let counters = backend.counters();
    let mut running = history.lagging(counters.running + counters.waiting, faults.load_lag);
    let mut load = running as f64 / f64::from(slots.max(1));
    if let Some(false_load) = faults.false_load {
        load = false_load;
        running = (false_load * f64::from(slots)).round() as u64;
    }
    let announcement = Announcement {
        service: &backend.settings.service,
        address: backend.addr.to_string(),
        protocol: if backend.settings.http2 { "http2" } else { "http1" },
        slots,
        state: backend.phase(),
        running,
        load,
    };
    let body = serde_json::to_vec(&announcement).expect("announcements are plain JSON values");
    let req = Request::post(format!("{}/announce", url.trim_end_matches('/')))
        .header(http::header::CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .expect("the announce URL is valid");
    let answer = tokio::time::timeout(ANSWER_LIMIT, client.request(req)).await;
    backend.count_announcement(matches!(answer, Ok(Ok(answer)) if answer.status().is_success()));
}
