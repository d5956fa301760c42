//! Daemons that stand still for a moment while they serve calls.

use std::time::Duration;

use baobabreel_test_support::process::Signal;
use baobabreel_testsuite::{Fleet, h1, specs, wait_until};

/// Node with the only backend server of the service that is called.
const STALLED: usize = 1;

/// Time for which its daemon stands still: longer than it takes to leave several questions about a call
/// unanswered.
const STALL: Duration = Duration::from_millis(1_700);

/// Longer than a call waits for any sign of life if it can be sent to another daemon.
const LONG_STALL: Duration = Duration::from_millis(2_700);

/// Sends four requests, lets the daemon that runs them stand still for `stall`, and checks that all succeed.
async fn assert_all_survive(path: &'static str, body: &'static str, stall: Duration) {
    let services = ["yard", "catalogue"];
    let fleet = Fleet::ready(specs().into_iter().zip(services).collect()).await;
    let entry = fleet.nodes[0].callers;
    let timeout_ms = (stall + Duration::from_millis(900)).as_millis().to_string();
    let requests: Vec<_> = (0..4)
        .map(|_| {
            let timeout_ms = timeout_ms.clone();
            tokio::spawn(async move {
                let headers = [("x-work-us", "300000"), ("baobabreel-timeout-ms", &*timeout_ms)];
                h1(entry, path, &headers, body).await
            })
        })
        .collect();
    wait_until("the requests run", async || fleet.nodes[STALLED].journal().len() == 4).await;
    let daemon = &fleet.nodes[STALLED].daemon;
    daemon.signal(Signal::Stop).expect("it runs");
    tokio::time::sleep(stall).await;
    daemon.signal(Signal::Continue).expect("it is there");
    for request in requests {
        let answer = request.await.expect("no panic");
        assert_eq!(answer.code(), 200, "{answer:?}");
    }
}

/// Guards against commands that end as unknown although their daemon goes on after a moment and the
/// backend server runs them to their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stall_of_a_daemon_does_not_end_its_commands() {
    assert_all_survive("/bids/1", "", STALL).await;
}

/// Guards against commands that are given up after some time of silence although they cannot be sent elsewhere.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_stall_of_a_daemon_does_not_end_its_commands() {
    assert_all_survive("/bids/1", "a bid", LONG_STALL).await;
}

/// Guards against lookups that are given up to be sent elsewhere although no other daemon can run them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stall_of_the_only_daemon_does_not_end_its_lookups() {
    assert_all_survive("/lots/1", "", STALL).await;
}
