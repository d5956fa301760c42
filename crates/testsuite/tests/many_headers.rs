//! Proper requests with many small headers, which only the limit on bytes bounds.

use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use baobabreel_testsuite::{Fleet, h1, wait_until};

/// Numbers of headers around the limits that libraries have, up to what fits into the default of 16 KiB.
const COUNTS: [usize; 8] = [20, 90, 95, 100, 123, 129, 1_000, 1_900];

fn names(count: usize) -> Vec<String> {
    (0..count).map(|number| format!("{number:x}")).collect()
}

/// Guards against requests inside the limits that get 502 or 431, and against headers that are lost or changed on the
/// way; the backend server is beside the first daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_headers_reach_the_backend_server() {
    let (fleet, backend) = Fleet::with_raw_backend().await;
    let whole = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok";
    backend.answer_with(&[(whole, Duration::ZERO)]);
    for (place, node) in fleet.nodes.iter().enumerate() {
        wait_until("a request is served", async || {
            h1(node.callers, "/lots/1", &[], "").await.code() == 200
        })
        .await;
        for count in COUNTS {
            let names = names(count);
            let mut headers: Vec<_> = names.iter().map(|name| (name.as_str(), "v")).collect();
            headers.extend([("twice", "1"), ("twice", "2")]);
            let answer = h1(node.callers, "/lots/1", &headers, "").await;
            assert_eq!(answer.code(), 200, "{count} headers at daemon {place}");
            let head = backend.last_head();
            let lines: Vec<_> = head.lines().collect();
            for name in &names {
                assert!(lines.contains(&format!("{name}: v").as_str()), "{name} of {count}");
            }
            let twice: Vec<_> = lines.iter().filter(|line| line.starts_with("twice")).collect();
            assert_eq!(twice, [&"twice: 1", &"twice: 2"], "{count} headers at daemon {place}");
            let internal = lines.iter().find(|line| line.starts_with("baobabreel-headers"));
            assert_eq!(internal, None, "{count} headers at daemon {place}");
        }
    }
}

/// Guards against headers over the limit on bytes that are passed on because they are many.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn headers_over_the_limit_are_refused() {
    let (fleet, _backend) = Fleet::with_raw_backend().await;
    let names = names(4_000);
    let headers: Vec<_> = names.iter().map(|name| (name.as_str(), "v")).collect();
    for node in &fleet.nodes {
        let answer = h1(node.callers, "/lots/1", &headers, "").await;
        assert_eq!(answer.code(), ErrorKind::HeaderTooLarge.answer().status);
    }
}
