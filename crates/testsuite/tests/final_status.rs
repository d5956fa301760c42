//! Responses of a backend server whose status is no final status.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_testsuite::{RawAnswer, RawBackend, h1, raw_mesh, wait_until};

const GOOD: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 5\r\n\r\nhello";

fn response(status: &str) -> String {
    format!(
        "HTTP/1.1 {status} Odd\r\ncontent-length: 5\r\nbaobabreel-outcome: not_run\r\n\r\nhello"
    )
}

/// Waits until the backend server is used; one that lost several requests in a row is left out for a while.
async fn wait_for_success(backend: &RawBackend, to: SocketAddr) {
    backend.answer_with(&[(GOOD, Duration::ZERO)]);
    wait_until("a good answer", async || h1(to, "/lots", &[], "").await.code() == 200).await;
}

fn assert_lost(answer: &RawAnswer, what: &str) {
    assert_eq!(answer.code(), 502, "{what}: {answer:?}");
    assert_eq!(answer.header("baobabreel-outcome"), "unknown", "{what}: {answer:?}");
}

/// Guards against a status outside 200 to 599, or a 101 that nobody asked for, that reaches a caller as an answer or is
/// believed to tell that nothing ran; through one daemon and two, with a key and without.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn response_without_a_final_status_is_a_lost_one() {
    let (mesh, backend) = raw_mesh().await;
    let switching =
        "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: odd\r\n\r\n";
    let statuses = ["000", "099", "99", "20", "1000", "600", "999"].map(response);
    let mut failures = Vec::new();
    for odd in statuses.iter().map(String::as_str).chain([switching]) {
        for to in mesh.nodes.iter().map(|node| node.addresses().callers) {
            for (path, body) in [("/lots", ""), ("/bids", "x"), ("/bids/keyed", "x")] {
                wait_for_success(&backend, to).await;
                let key = format!("{to}-{}", odd[9..13].trim_end_matches(" O"));
                let headers = [("idempotency-key", key.as_str()), ("baobabreel-attempt", "first")];
                let headers = if path == "/bids/keyed" { &headers[..] } else { &[] };
                backend.answer_with(&[(odd, Duration::ZERO)]);
                let answer = h1(to, path, headers, body).await;
                let outcome = answer.header("baobabreel-outcome");
                if answer.code() != 502 || outcome != "unknown" {
                    let line = odd.lines().next().unwrap_or_default();
                    failures.push(format!("{line} {path} at {to}: {} {outcome}", answer.code()));
                }
            }
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

/// Guards against interim responses and unusual final ones that count as lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn interim_responses_are_skipped_and_final_ones_passed_on() {
    let (mesh, backend) = raw_mesh().await;
    for to in mesh.nodes.iter().map(|node| node.addresses().callers) {
        wait_for_success(&backend, to).await;
        for status in [102, 103] {
            let answer = format!("HTTP/1.1 {status} Interim\r\n\r\n{GOOD}");
            backend.answer_with(&[(&answer, Duration::ZERO)]);
            let answer = h1(to, "/lots", &[], "").await;
            assert_eq!(answer.code(), 200, "{status}: {answer:?}");
        }
        for status in [200, 299, 304, 399, 418, 499, 599] {
            let answer = format!(
                "HTTP/1.1 {status} Final\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
            );
            backend.answer_with(&[(&answer, Duration::ZERO)]);
            let answer = h1(to, "/lots", &[], "").await;
            assert_eq!(answer.code(), status, "{answer:?}");
        }
    }
}

/// Guards against a backend server that is used on although all of its responses have no final status.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn backend_server_without_final_statuses_counts_as_failing() {
    let (mesh, backend) = raw_mesh().await;
    let to = mesh.nodes[1].addresses().callers;
    wait_for_success(&backend, to).await;
    backend.answer_with(&[(&response("600"), Duration::ZERO)]);
    assert_lost(&h1(to, "/lots", &[], "").await, "600");
    wait_until("it is left out", async || h1(to, "/lots", &[], "").await.code() == 503).await;
}
