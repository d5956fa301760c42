//! Daemons that stand still for a moment while they serve calls.

use std::time::Duration;

use baobabreel_test_support::process::Signal;
use baobabreel_testsuite::{Fleet, h1, specs, wait_until};

/// Node with the only backend server of the service that is called.
const STALLED: usize = 1;

/// Time for which its daemon stands still: longer than it takes to leave several questions about a call
/// unanswered.
const STALL: Duration = Duration::from_millis(1_700);

/// Guards against commands that end as unknown although their daemon goes on after a moment and the
/// backend server runs them to their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn stall_of_a_daemon_does_not_end_its_commands() {
    let services = ["yard", "catalogue"];
    let fleet = Fleet::ready(specs().into_iter().zip(services).collect()).await;
    let entry = fleet.nodes[0].callers;
    let headers = [("x-work-us", "300000"), ("baobabreel-timeout-ms", "2600")];
    let commands: Vec<_> = (0..4)
        .map(|_| tokio::spawn(async move { h1(entry, "/bids/1", &headers, "").await }))
        .collect();
    wait_until("the commands run", async || fleet.nodes[STALLED].journal().len() == 4).await;
    let daemon = &fleet.nodes[STALLED].daemon;
    daemon.signal(Signal::Stop).expect("it runs");
    tokio::time::sleep(STALL).await;
    daemon.signal(Signal::Continue).expect("it is there");
    for command in commands {
        let answer = command.await.expect("no panic");
        assert_eq!(answer.code(), 200, "{answer:?}");
    }
}
