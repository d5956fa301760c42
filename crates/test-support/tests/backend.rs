//! Guards the truthfulness of the backend stand-in's journal and announcements.

mod support;

use std::time::Duration;

use baobabreel_test_support::backend::{BackendServer, BackendSettings, Phase, WorkResult};
use baobabreel_test_support::checksum;
use serde_json::json;
use support::{AnnouncementSink, client, send, until};

/// Guards against answers whose length or checksum does not fit their body.
#[tokio::test]
async fn an_answer_carries_its_checksum_and_request_id() {
    let server = BackendServer::start(BackendSettings::new("b1", "bidding")).await.unwrap();
    let headers = [("x-request-id", "r1"), ("x-work-us", "0")];
    let url = format!("{}/bids", server.url());
    let answer = send(&client(), "POST", &url, &headers, "12345").await.unwrap();
    let echo = answer.json();
    assert_eq!((&echo["method"], &echo["path"]), (&"POST".into(), &"/bids".into()));
    assert_eq!(echo["body_bytes"], 5);
    assert_eq!(answer.headers["x-body-fnv"], checksum(answer.text.as_bytes()).as_str());
    assert_eq!(answer.headers["x-request-id"], "r1");
    let journal = server.journal();
    assert_eq!(journal[0].request_id.as_deref(), Some("r1"));
    assert_eq!(journal[0].result, WorkResult::Finished);
}

/// Guards against work that goes on, or is journalled as finished, after its caller has gone.
#[tokio::test]
async fn a_closed_connection_cancels_the_work() {
    let server = BackendServer::start(BackendSettings::new("b1", "bidding")).await.unwrap();
    let url = format!("{}/long", server.url());
    let call = tokio::spawn(async move {
        send(&client(), "GET", &url, &[("x-work-us", "60000000")], "").await.is_ok()
    });
    until(|| server.counters().running == 1).await;
    call.abort();
    assert!(server.wait_idle(Duration::from_secs(10)).await);
    assert_eq!(server.journal()[0].result, WorkResult::Cancelled);
    assert!(server.journal()[0].ran());
}

/// Guards against shed work that is counted as having run, and against more work than slots.
#[tokio::test]
async fn work_over_the_limit_is_shed_without_running() {
    let settings = BackendSettings::new("b1", "bidding").slots(1).shed_above_slots_by(1);
    let server = BackendServer::start(settings).await.unwrap();
    let url = format!("{}/w", server.url());
    let mut calls = Vec::new();
    for _ in 0..2 {
        let url = url.clone();
        calls.push(tokio::spawn(async move {
            send(&client(), "GET", &url, &[("x-work-us", "200000")], "").await.unwrap().status
        }));
    }
    until(|| server.counters().running + server.counters().waiting == 2).await;
    let shed = send(&client(), "GET", &url, &[("x-work-us", "200000")], "").await.unwrap();
    assert_eq!(shed.status, 503);
    for call in calls {
        assert_eq!(call.await.unwrap(), 200);
    }
    assert_eq!(server.counters().peak_running, 1);
    let journal = server.journal();
    assert_eq!((journal[2].result, journal[2].ran()), (WorkResult::Shed, false));
}

/// Guards against a deadline that the backend server ignores.
#[tokio::test]
async fn a_deadline_stops_the_work() {
    let server = BackendServer::start(BackendSettings::new("b1", "bidding")).await.unwrap();
    let headers = [("x-work-us", "60000000"), ("baobabreel-timeout-ms", "20")];
    let answer = send(&client(), "GET", &server.url(), &headers, "").await.unwrap();
    assert_eq!(answer.status, 504);
    assert_eq!(server.journal()[0].result, WorkResult::Cancelled);
}

/// Guards against state changes that are announced late, and against a drain that interrupts work.
#[tokio::test]
async fn cold_ready_and_draining_are_announced_and_a_drain_finishes_the_work() {
    let sink = AnnouncementSink::start().await;
    let settings = BackendSettings::new("b1", "bidding")
        .announce_url(&sink.url)
        .cold_start(Duration::from_millis(50))
        .announce_interval(Duration::from_secs(3_600));
    let server = BackendServer::start(settings).await.unwrap();
    assert_eq!(server.phase(), Phase::Cold);
    until(|| sink.received().len() == 2).await;
    let url = server.url();
    let call = tokio::spawn(async move {
        send(&client(), "GET", &url, &[("x-work-us", "300000")], "").await.unwrap().status
    });
    until(|| server.counters().running == 1).await;
    server.drain();
    until(|| sink.received().len() == 3).await;
    assert_eq!(call.await.unwrap(), 200);
    let announced = |state: &str, running: u64, load: f64| {
        json!({"service": "bidding", "address": server.addr().to_string(), "protocol": "http1",
            "slots": 10, "state": state, "running": running, "load": load})
    };
    let expected =
        [announced("cold", 0, 0.0), announced("ready", 0, 0.0), announced("draining", 1, 0.1)];
    assert_eq!(sink.received(), expected);
}

/// Guards against faults of the backend server that do not reach the caller or never end.
#[tokio::test]
async fn frozen_requests_wait_and_slow_spells_lengthen_the_work() {
    let server = BackendServer::start(BackendSettings::new("b1", "bidding")).await.unwrap();
    server.set_faults(|faults| faults.freeze = true);
    let (http, url) = (client(), format!("{}/health", server.url()));
    let mut health = Box::pin(send(&http, "GET", &url, &[], ""));
    tokio::time::timeout(Duration::from_millis(100), &mut health).await.unwrap_err();
    server.set_faults(|faults| faults.freeze = false);
    assert_eq!(health.await.unwrap().json(), json!({"state": "ready"}));

    server.slow_down(20.0, Duration::ZERO, Duration::from_secs(3_600));
    let headers = [("x-work-us", "5000")];
    send(&http, "GET", &format!("{}/w", server.url()), &headers, "").await.unwrap();
    let ran = &server.journal()[0];
    assert!(ran.ended_us.unwrap() - ran.started_us.unwrap() >= 100_000);
}

/// Guards against a killed backend server that still listens, finishes or announces anything, and
/// against a load report that is the real one although it is set to be false.
#[tokio::test]
async fn a_kill_ends_everything_and_load_reports_can_be_false() {
    let sink = AnnouncementSink::start().await;
    let settings = BackendSettings::new("b1", "bidding")
        .announce_url(&sink.url)
        .announce_interval(Duration::from_millis(5));
    let server = BackendServer::start(settings).await.unwrap();
    server.set_faults(|faults| faults.false_load = Some(0.5));
    until(|| sink.received().last().is_some_and(|last| last["load"] == 0.5)).await;
    assert_eq!(sink.received().last().unwrap()["running"], 5);

    let (http, url) = (client(), server.url());
    let call = tokio::spawn(async move {
        send(&http, "GET", &url, &[("x-work-us", "60000000")], "").await.is_err()
    });
    until(|| server.counters().running == 1).await;
    server.kill().await;
    let announced = sink.received().len();
    let broken = tokio::time::timeout(Duration::from_secs(30), call).await.unwrap();
    assert!(broken.unwrap());
    assert_eq!(server.journal()[0].result, WorkResult::Cancelled);
    let refused = tokio::net::TcpStream::connect(server.addr()).await.unwrap_err();
    assert_eq!(refused.kind(), std::io::ErrorKind::ConnectionRefused);
    tokio::time::sleep(Duration::from_millis(50)).await;
    // One announcement may have been on its way.
    assert!(sink.received().len() <= announced + 1);
}
