//! Requests that come late while a daemon shuts down.

use std::time::Duration;

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_test_support::process::Signal;
use baobabreel_testsuite::{Fleet, LIMIT, h1};

/// Time after the begin of the shutdown at which the requests come.
const LATE: Duration = Duration::from_millis(1_200);

/// Guards against a request that is taken late in a shutdown although it may outlast it, and is cut at the end without
/// an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_may_outlast_the_shutdown_is_refused_as_not_run() {
    let entry = NodeSpec::new("a1", "hobart-a", "yard")
        .setting("\"drain_notice_ms\": 2000")
        .setting("\"drain_limit_ms\": 1000");
    let host = NodeSpec::new("a2", "hobart-a", "catalogue");
    let mut fleet = Fleet::ready(vec![(entry, "yard"), (host, "catalogue")]).await;
    let callers = fleet.nodes[0].callers;
    fleet.nodes[0].daemon.signal(Signal::Terminate).expect("it runs");
    tokio::time::sleep(LATE).await;
    let long = [("x-work-us", "2500000"), ("baobabreel-timeout-ms", "6000")];
    let short = [("x-work-us", "300000"), ("baobabreel-timeout-ms", "800")];
    let (long, short) =
        tokio::join!(h1(callers, "/bids/1", &long, ""), h1(callers, "/bids/2", &short, ""));
    assert_eq!((long.code(), long.header("baobabreel-outcome")), (503, "not_run"), "{long:?}");
    assert_eq!(short.code(), 200, "{short:?}");
    let status = fleet.nodes[0].daemon.wait(LIMIT).await.expect("it ends");
    assert!(status.success(), "requests were cut: {status}");
    assert_eq!(fleet.nodes[1].journal().len(), 1, "only the short request runs");
}
