//! Requests that are still running when the drain of a daemon ends.

use std::time::{Duration, Instant};

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_test_support::process::Signal;
use baobabreel_testsuite::{Fleet, LIMIT, h1};

/// Time for a request to be passed on.
const APART: Duration = Duration::from_millis(150);

/// Time allowed beyond the times of the settings.
const MARGIN: Duration = Duration::from_secs(1);

/// Time after the drain limit in which connections are closed.
const CLOSING: Duration = Duration::from_millis(400);

/// Pause of a daemon; it ends after the notice and before the drain.
const PAUSE: Duration = Duration::from_secs(3);

/// Work that ends after the drain.
const LONG_WORK: [(&str, &str); 2] = [("x-work-us", "9000000"), ("baobabreel-timeout-ms", "20000")];

/// Guards against a daemon that was held up in its notice and then drains for the whole drain limit, past the time at
/// which its supervisor kills it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn time_in_which_a_daemon_is_paused_counts_as_drain() {
    let (notice, limit) = (Duration::from_secs(1), Duration::from_millis(2_500));
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .setting("\"drain_notice_ms\": 1000")
        .setting("\"drain_limit_ms\": 2500");
    let mut fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let callers = fleet.nodes[0].callers;
    let running = tokio::spawn(async move { h1(callers, "/bids/1", &LONG_WORK, "").await });
    tokio::time::sleep(APART).await;
    let daemon = &mut fleet.nodes[0].daemon;
    let begin = Instant::now();
    daemon.signal(Signal::Terminate).expect("it runs");
    tokio::time::sleep(notice / 4).await;
    daemon.signal(Signal::Stop).expect("it runs");
    tokio::time::sleep(PAUSE).await;
    daemon.signal(Signal::Continue).expect("it runs");
    let status = daemon.wait(LIMIT).await.expect("it ends");
    let took = begin.elapsed();
    assert!(took < notice + limit + CLOSING + MARGIN, "the daemon ended after {took:?}");
    assert_eq!(status.code(), Some(3), "{status}");
    drop(running.await.expect("the request ends"));
}
