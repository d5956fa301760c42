//! Requests that are still running when the drain of a daemon ends.

use std::time::{Duration, Instant};

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_test_support::process::{OutputLine, Signal};
use baobabreel_testsuite::{Fleet, LIMIT, RawAnswer, h1};
use tokio::task::JoinHandle;

/// Time between requests that are sent one after the other, and for the last one to be passed on.
const APART: Duration = Duration::from_millis(150);

/// Time allowed beyond the times of the settings.
const MARGIN: Duration = Duration::from_secs(1);

/// Time after the drain limit in which connections are closed.
const CLOSING: Duration = Duration::from_millis(400);

/// Pause of a daemon; it ends after the notice and before the drain.
const PAUSE: Duration = Duration::from_secs(3);

/// Work that ends after the drain.
const LONG_WORK: [(&str, &str); 2] = [("x-work-us", "9000000"), ("baobabreel-timeout-ms", "20000")];

/// Node of a service whose backend server has one slot; its daemon drains for 1 s after a notice of 0.5 s.
fn node(name: &str, service: &str) -> NodeSpec {
    NodeSpec::new(name, "hobart-a", service)
        .backend(|backend| backend.slots(1))
        .setting("\"drain_notice_ms\": 500")
        .setting("\"drain_limit_ms\": 1000")
}

/// Sends a request to each of the nodes `entries`, of which the first one runs and the others wait for its slot, and
/// has the daemon of the first node end. Returns their answers in the order of sending.
async fn answers_at_end(fleet: &mut Fleet, entries: &[usize]) -> Vec<RawAnswer> {
    let mut running: Vec<JoinHandle<RawAnswer>> = Vec::new();
    for (i, entry) in entries.iter().enumerate() {
        let callers = fleet.nodes[*entry].callers;
        running.push(tokio::spawn(async move {
            h1(callers, &format!("/bids/{i}"), &LONG_WORK, "").await
        }));
        tokio::time::sleep(APART).await;
    }
    fleet.nodes[0].daemon.signal(Signal::Terminate).expect("it runs");
    let mut answers = Vec::new();
    for answer in running {
        answers.push(answer.await.expect("the request ends"));
    }
    answers
}

fn assert_answer(answer: &RawAnswer, status: u16, outcome: &str) {
    assert_eq!(
        (answer.code(), answer.header("baobabreel-outcome")),
        (status, outcome),
        "{answer:?}"
    );
    assert_eq!(answer.header("connection"), "close", "{answer:?}");
    assert!(answer.whole, "{answer:?}");
}

/// Checks that the first daemon ends with the status for cut requests, and what it logs of them.
async fn assert_end(fleet: &mut Fleet, not_run: u64, unknown: u64) {
    let daemon = &mut fleet.nodes[0].daemon;
    let status = daemon.wait(LIMIT).await.expect("it ends");
    assert_eq!(status.code(), Some(3), "{status}");
    let is_stopped =
        |line: &OutputLine| line.json().is_some_and(|line| line["message"] == "stopped");
    let line = daemon.wait_for_line(LIMIT, is_stopped).await.expect("a line");
    let line = line.json().expect("a line of the log");
    assert_eq!(
        (&line["answered_not_run"], &line["answered_unknown"]),
        (&not_run.into(), &unknown.into()),
        "{line}"
    );
}

/// Guards against requests in the queue of the backend server beside a daemon whose connection closes without an
/// answer when the drain ends, and against one that runs and gets none, or one that says that it did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_in_the_own_queue_are_refused_as_not_run() {
    let specs = vec![(node("a1", "catalogue"), "catalogue"), (node("a2", "yard"), "yard")];
    let mut fleet = Fleet::ready(specs).await;
    let answers = answers_at_end(&mut fleet, &[0; 4]).await;
    assert_answer(&answers[0], 502, "unknown");
    for queued in &answers[1..] {
        assert_answer(queued, 503, "not_run");
    }
    assert_end(&mut fleet, 3, 1).await;
    let ran = fleet.nodes[0].journal();
    assert!(ran.len() <= 1, "a request ran that was refused as not run: {ran:?}");
}

/// Guards against requests that another daemon runs or queues and whose connection closes without an answer when the
/// drain ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_at_another_daemon_are_answered_with_an_open_outcome() {
    let specs = vec![(node("a1", "yard"), "yard"), (node("a2", "catalogue"), "catalogue")];
    let mut fleet = Fleet::ready(specs).await;
    for answer in answers_at_end(&mut fleet, &[0; 3]).await {
        assert_answer(&answer, 502, "unknown");
    }
    assert_end(&mut fleet, 0, 3).await;
}

/// Guards against queued calls of other daemons that start when the slot of a request becomes free that ends with the
/// drain, and against ones that break off so that their callers cannot tell that they did not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn queued_calls_of_other_daemons_are_refused_as_not_run() {
    let specs = vec![(node("a1", "catalogue"), "catalogue"), (node("a2", "yard"), "yard")];
    let mut fleet = Fleet::ready(specs).await;
    let answers = answers_at_end(&mut fleet, &[0, 1, 1]).await;
    let outcomes = answers.iter().map(|answer| answer.header("baobabreel-outcome"));
    assert_eq!(outcomes.collect::<Vec<_>>(), ["unknown", "not_run", "not_run"], "{answers:?}");
    assert_end(&mut fleet, 2, 1).await;
    let ran = fleet.nodes[0].journal();
    assert!(ran.len() <= 1, "a call ran that was refused as not run: {ran:?}");
}

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
