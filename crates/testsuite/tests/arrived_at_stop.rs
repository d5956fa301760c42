//! Requests that have arrived when a daemon stops, and that it has not read yet.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_test_support::process::Signal;
use baobabreel_testsuite::{Fleet, LIMIT, h2, ready_mesh, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// Connections of each kind, as chance decides whether a daemon sees first that it stops or that a request has arrived.
const CONNECTIONS: usize = 12;

/// Time from the begin of a shutdown to its stop, by the settings of [`fleet`].
const STOP: Duration = Duration::from_secs(2);

/// Time before the stop at which the daemon is paused.
const PAUSE_BEFORE: Duration = Duration::from_millis(700);

/// Longest time that a daemon takes from its stop to its end, with room for a busy machine.
const MAX_END: Duration = Duration::from_millis(1_500);

/// Request of a caller.
const REQUEST: &str = "GET /lots/1 HTTP/1.1\r\nhost: catalogue\r\n\r\n";

/// Call of another daemon, without the head that describes it.
const CALL: &str = "POST /peer/v1/call/lots HTTP/1.1\r\nhost: a1\r\ncontent-length: 0\r\n\r\n";

/// A daemon that stops 2 s after the begin of its shutdown, beside another one.
async fn fleet() -> Fleet {
    let stopped = NodeSpec::new("a1", "hobart-a", "yard")
        .setting("\"drain_notice_ms\": 1000")
        .setting("\"drain_limit_ms\": 1000");
    let host = NodeSpec::new("a2", "hobart-a", "catalogue");
    let fleet = Fleet::ready(vec![(stopped, "yard"), (host, "catalogue")]).await;
    // Without this entry it would not wait for the handover of its keys, and stop after 1 s.
    wait_until("it may own keys", async || {
        let entries = fleet.log.records("members");
        entries.iter().any(|entry| entry.data.contains("join") && entry.data.contains("\"a1\""))
    })
    .await;
    fleet
}

/// Begins the shutdown of the first daemon, pauses it shortly before its stop, and runs `arrive`.
///
/// It goes on when its stop is due, and must then end in time.
async fn arrive_before_the_stop<T>(fleet: &mut Fleet, arrive: impl AsyncFnOnce() -> T) -> T {
    let daemon = &mut fleet.nodes[0].daemon;
    let begin = Instant::now();
    daemon.signal(Signal::Terminate).expect("it runs");
    tokio::time::sleep_until((begin + STOP - PAUSE_BEFORE).into()).await;
    daemon.signal(Signal::Stop).expect("it runs");
    let arrived = arrive().await;
    tokio::time::sleep_until((begin + STOP + PAUSE_BEFORE).into()).await;
    let resumed = Instant::now();
    daemon.signal(Signal::Continue).expect("it runs");
    let status = daemon.wait(LIMIT).await.expect("it ends");
    assert!(status.success(), "{status}");
    assert!(resumed.elapsed() < MAX_END, "it ended only {:?} after its stop", resumed.elapsed());
    arrived
}

/// Opens connections, and uses each for one request if `used`.
async fn connect(to: SocketAddr, used: Option<&str>) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for _ in 0..CONNECTIONS {
        let mut stream = TcpStream::connect(to).await.expect("it listens");
        if let Some(request) = used {
            stream.write_all(request.as_bytes()).await.expect("it is open");
            let mut buf = [0; 4096];
            assert!(stream.read(&mut buf).await.expect("it is open") > 0, "it is answered");
        }
        streams.push(stream);
    }
    streams
}

/// Sends a request on each connection.
async fn send(streams: &mut [TcpStream], request: &str) {
    for stream in streams {
        stream.write_all(request.as_bytes()).await.expect("it is open");
    }
}

/// What came on each connection until it closed, with the error if it broke off.
async fn answers(streams: Vec<TcpStream>) -> Vec<String> {
    let mut answers = Vec::new();
    for mut stream in streams {
        let mut bytes = Vec::new();
        let read = stream.read_to_end(&mut bytes);
        let ended = tokio::time::timeout(LIMIT, read).await.expect("it closes");
        let error = ended.err().map(|e| format!("<{e}>")).unwrap_or_default();
        answers.push(String::from_utf8_lossy(&bytes).into_owned() + &error);
    }
    answers
}

/// Checks that each request was refused as not run on a connection that was then closed.
fn assert_refused(what: &str, answers: &[String]) {
    let is_refused = |answer: &&String| {
        answer.starts_with("HTTP/1.1 503 ")
            && answer.contains("baobabreel-outcome: not_run\r\n")
            && answer.contains("connection: close\r\n")
    };
    let refused = answers.iter().filter(is_refused).count();
    assert_eq!(refused, answers.len(), "{what}: {answers:#?}");
}

/// Guards against a request of a caller that is reset without an answer because it waits in the backlog of the kernel
/// when the daemon stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_on_a_connection_not_yet_accepted_is_answered() {
    let mut fleet = fleet().await;
    let callers = fleet.nodes[0].callers;
    let streams = arrive_before_the_stop(&mut fleet, async || {
        let mut streams = connect(callers, None).await;
        send(&mut streams, REQUEST).await;
        streams
    })
    .await;
    assert_refused("not yet accepted", &answers(streams).await);
    assert!(fleet.nodes[1].journal().is_empty(), "none has run");
}

/// Guards against a request of a caller that has arrived on an open connection and is dropped unread because the daemon
/// stops at the same time.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_on_an_open_connection_is_answered() {
    let mut fleet = fleet().await;
    let callers = fleet.nodes[0].callers;
    let mut unused = connect(callers, None).await;
    let mut used = connect(callers, Some(REQUEST)).await;
    arrive_before_the_stop(&mut fleet, async || {
        send(&mut unused, REQUEST).await;
        send(&mut used, REQUEST).await;
    })
    .await;
    assert_refused("first request", &answers(unused).await);
    assert_refused("second request", &answers(used).await);
    assert_eq!(fleet.nodes[1].journal().len(), CONNECTIONS, "only the first of each has run");
}

/// Guards against an HTTP/2 request of a caller that is reset without an answer because its connection waits in the
/// backlog of the kernel when the daemon stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn http2_request_on_a_connection_not_yet_accepted_is_answered() {
    let mut fleet = fleet().await;
    let callers = fleet.nodes[0].callers;
    let requests = arrive_before_the_stop(&mut fleet, async || {
        let requests = (0..CONNECTIONS).map(|_| h2(callers, "/lots/1", &[], ""));
        requests.collect::<JoinSet<_>>()
    })
    .await;
    for answer in requests.join_all().await {
        let (code, outcome) = (answer.code(), answer.header("baobabreel-outcome"));
        assert_eq!((code, outcome), (503, "not_run"), "{answer:?}");
    }
}

/// Guards against a call of another daemon that is reset without an answer when the daemon stops, so that the other one
/// must report a request as one that may have run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn call_of_another_daemon_is_answered() {
    let mut fleet = fleet().await;
    let peers = fleet.nodes[0].peers;
    let mut used = connect(peers, Some(CALL)).await;
    let new = arrive_before_the_stop(&mut fleet, async || {
        send(&mut used, CALL).await;
        let mut new = connect(peers, None).await;
        send(&mut new, CALL).await;
        new
    })
    .await;
    for (what, streams) in [("open", used), ("not yet accepted", new)] {
        let answers = answers(streams).await;
        let answered = answers.iter().filter(|answer| answer.starts_with("HTTP/1.1 400 "));
        assert_eq!(answered.count(), CONNECTIONS, "{what}: {answers:#?}");
    }
}

/// Guards against a stop that does not end because callers keep connecting.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_stops_while_callers_keep_connecting() {
    let mut fleet = fleet().await;
    let callers = fleet.nodes[0].callers;
    let mut connecting = JoinSet::new();
    arrive_before_the_stop(&mut fleet, async || {
        for _ in 0..4 {
            connecting.spawn(async move {
                let mut streams = Vec::new();
                while let Ok(stream) = TcpStream::connect(callers).await {
                    streams.push(stream);
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
                streams.len()
            });
        }
    })
    .await;
    let connected: usize = connecting.join_all().await.iter().sum();
    assert!(connected > CONNECTIONS, "{connected} connected");
}

/// Guards against a daemon that still answers after the crash that a test plays, and so looks to others as if it drained.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_answers_nothing_after_a_crash() {
    let specs = [("a1", "yard"), ("a2", "catalogue")];
    let specs = specs.map(|(name, service)| NodeSpec::new(name, "hobart-a", service));
    let mut mesh = ready_mesh(specs.to_vec()).await;
    let addresses = mesh.nodes[0].addresses();
    let requests = connect(addresses.callers, Some(REQUEST)).await;
    let calls = connect(addresses.peers, Some(CALL)).await;
    mesh.crash(0);
    for (request, mut streams) in [(REQUEST, requests), (CALL, calls)] {
        for stream in &mut streams {
            // Its connection may have been reset already.
            drop(stream.write_all(request.as_bytes()).await);
        }
        let answers = answers(streams).await;
        assert!(!answers.iter().any(|answer| answer.starts_with("HTTP")), "{answers:#?}");
    }
}
