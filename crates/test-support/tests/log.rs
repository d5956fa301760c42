//! Guards the rules of the log stand-in that the log client is built against.

mod support;

use std::time::Duration;

use baobabreel_test_support::log::{LogServer, LogSettings, Outage};
use serde_json::json;
use support::{client, send, until};

async fn start() -> (LogServer, String) {
    let log = LogServer::start(LogSettings::new()).await.unwrap();
    let url = format!("{}/streams/config/records", log.url());
    (log, url)
}

/// Guards against offsets that do not start at 1 and against a wrong end of a page.
#[tokio::test]
async fn appends_are_read_back_by_offset() {
    let (log, url) = start().await;
    let http = client();
    for (offset, text) in [(1, "a"), (2, "b"), (3, "c")] {
        let answer = send(&http, "POST", &url, &[], text).await.unwrap();
        assert_eq!(answer.json(), json!({"generation": 1, "offset": offset}));
    }
    let page = send(&http, "GET", &format!("{url}?from=2&limit=1"), &[], "").await.unwrap().json();
    assert_eq!(
        (&page["first"], &page["next"], &page["records"][0]["data"], &page["records"][1]),
        (&json!(1), &json!(4), &json!("b"), &json!(null))
    );
    assert_eq!((log.counters().appends, log.counters().bytes_in), (3, 3));
}

/// Guards against a reader that silently misses records which retention has removed.
#[tokio::test]
async fn a_read_below_the_retained_range_is_gone() {
    let (log, url) = start().await;
    log.set_faults(|faults| faults.retain_count = Some(2));
    for text in ["a", "b", "c"] {
        log.append("config", text);
    }
    let answer = send(&client(), "GET", &format!("{url}?from=1"), &[], "").await.unwrap();
    assert_eq!(answer.status, 410);
    assert_eq!(answer.json(), json!({"generation": 1, "first": 2, "next": 4}));
}

/// Guards against a long poll that sleeps through an append.
#[tokio::test]
async fn an_append_wakes_a_long_poll() {
    let (log, url) = start().await;
    let poll = tokio::spawn(async move {
        send(&client(), "GET", &format!("{url}?from=1&wait_ms=60000"), &[], "").await.unwrap()
    });
    until(|| log.counters().open_polls == 1).await;
    log.append("config", "late");
    // Without the wake-up the answer comes only at the end of the wait, after 60 s.
    let answer = tokio::time::timeout(Duration::from_secs(30), poll).await.unwrap().unwrap();
    assert_eq!(answer.json()["records"][0]["data"], "late");
    assert_eq!(log.counters().open_polls, 0);
}

/// Guards against a lost answer without effect, which would hide doubled appends of a client.
#[tokio::test]
async fn a_lost_answer_leaves_the_record() {
    let (log, url) = start().await;
    log.set_faults(|faults| faults.lose_answers = 1);
    let http = client();
    let failure = send(&http, "POST", &url, &[], "a").await.unwrap_err();
    assert_eq!(failure.to_string(), "failed to send");
    assert_eq!(log.records("config")[0].data, "a");
    assert_eq!(send(&http, "POST", &url, &[], "b").await.unwrap().json()["offset"], 2);
}

/// Guards against a partition that leaves an open long poll of the cut client working.
#[tokio::test]
async fn a_cut_client_is_cut_off_also_in_an_open_long_poll() {
    let (log, url) = start().await;
    let poll_url = format!("{url}?from=1&wait_ms=60000");
    let poll = tokio::spawn(async move {
        send(&client(), "GET", &poll_url, &[("x-client", "d1")], "").await.is_err()
    });
    until(|| log.counters().open_polls == 1).await;
    log.set_faults(|faults| {
        faults.cut_clients.insert("d1".to_owned());
    });
    assert!(poll.await.unwrap());
    let failure = send(&client(), "POST", &url, &[("x-client", "d1")], "a").await.unwrap_err();
    assert_eq!(failure.to_string(), "failed to send");
    let other = send(&client(), "POST", &url, &[("x-client", "d2")], "a").await.unwrap();
    assert_eq!(other.json()["offset"], 1);
}

/// Guards against faults that do not reach the client in the form that they are set.
#[tokio::test]
async fn outages_limits_and_cuts_reach_the_client() {
    let (log, url) = start().await;
    let http = client();
    // The first request leaves a connection that the outage has to close as well.
    assert_eq!(send(&http, "GET", &url, &[], "").await.unwrap().status, 200);
    log.set_faults(|faults| faults.outage = Outage::Close);
    let failure = send(&http, "POST", &url, &[], "a").await.unwrap_err();
    assert_eq!(failure.to_string(), "failed to send");
    let failure = send(&http, "POST", &url, &[], "a").await.unwrap_err();
    assert_eq!(failure.to_string(), "failed to send");
    log.set_faults(|faults| faults.outage = Outage::Silent);
    let silent = send(&http, "POST", &url, &[], "a");
    tokio::time::timeout(Duration::from_millis(100), silent).await.unwrap_err();
    log.set_faults(|faults| faults.outage = Outage::None);
    assert!(log.records("config").is_empty());

    log.set_faults(|faults| faults.cut_answers = 1);
    let cut = send(&http, "GET", &url, &[], "").await.unwrap_err();
    assert_eq!(cut.to_string(), "failed to read the answer");

    log.set_faults(|faults| faults.appends_per_second = Some(1));
    assert_eq!(send(&http, "POST", &url, &[], "a").await.unwrap().status, 200);
    let limited = send(&http, "POST", &url, &[], "b").await.unwrap();
    assert_eq!(
        (limited.status.as_u16(), &limited.headers["retry-after"]),
        (429, &"1".parse().unwrap())
    );
}

/// Guards against a replaced log that keeps records or its generation.
#[tokio::test]
async fn a_new_generation_starts_empty() {
    let (log, url) = start().await;
    log.append("config", "old");
    assert_eq!(log.replace_generation(), 2);
    let answer = send(&client(), "POST", &url, &[], "new").await.unwrap();
    assert_eq!(answer.json(), json!({"generation": 2, "offset": 1}));
}
