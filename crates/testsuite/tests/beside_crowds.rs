//! Ordinary callers beside crowds of clients that do not behave, which stay and come back when they are closed.
//!
//! The limits of the instance are lowered in the settings. Each test checks that ordinary requests on new connections
//! are answered while the crowd is there, and that the memory and the descriptors of the daemon stay below their
//! limits; no times. The tests run one at a time.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_testsuite::{Crowd, Fleet, Habit, h1, wait_until};
use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use tokio::sync::Mutex;

/// Memory of the instance in KiB, and the bound of the tests.
const MEMORY_KIB: u64 = 64 * 1_024;

/// Descriptors of the instance, and the bound of the tests.
const DESCRIPTORS: usize = 512;

/// Clients of a crowd: more than the daemon takes connections, of which there are at most 256.
const CLIENTS: usize = 300;

/// Time in which the crowd takes what it can get.
const SETTLING: Duration = Duration::from_secs(3);

/// Requests of ordinary callers that are to be answered, one after the other.
const ORDINARY: usize = 3;

/// Requests that a client sends ahead on a connection: more than the daemon ever reads.
const ENDLESS: usize = 1_000_000;

/// Lets the tests run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

fn spec(name: &str) -> NodeSpec {
    let bytes = MEMORY_KIB * 1_024;
    let limits = format!("\"memory_bytes\": {bytes}, \"descriptors\": {DESCRIPTORS}");
    NodeSpec::new(name, "hobart-a", "catalogue").setting(format!("\"limits\": {{{limits}}}"))
}

/// A daemon beside a backend server with 10 slots.
async fn one_daemon() -> Fleet {
    Fleet::ready(vec![(spec("a1"), "catalogue")]).await
}

/// A daemon whose callers are served by the backend server beside a second one.
async fn two_daemons() -> Fleet {
    Fleet::ready(vec![(spec("a1"), "yard"), (spec("a2"), "catalogue")]).await
}

fn crowd(to: SocketAddr, habit: &Habit) -> Crowd {
    Crowd::start(to, CLIENTS, habit)
}

/// Whether the daemon answers one ordinary request on a new connection.
async fn is_served(to: SocketAddr) -> bool {
    let request = h1(to, "/lots/1", &[], "");
    let answer = tokio::time::timeout(Duration::from_secs(5), request).await;
    answer.is_ok_and(|answer| answer.code() == 200 && answer.whole)
}

/// Checks that ordinary callers of the first daemon are served beside the crowd, and the limits of all daemons.
async fn assert_served_beside(fleet: &Fleet, crowd: Crowd) {
    tokio::time::sleep(SETTLING).await;
    assert!(crowd.connections() > 0, "the crowd has connected");
    let mut descriptors = 0;
    for _ in 0..ORDINARY {
        wait_until("an ordinary request is answered beside the crowd", async || {
            let open = fleet.nodes.iter().map(|node| node.open_files());
            descriptors = descriptors.max(open.max().unwrap_or_default());
            is_served(fleet.nodes[0].callers).await
        })
        .await;
    }
    assert_eq!(crowd.clients(), CLIENTS, "the crowd has stayed");
    drop(crowd);
    for node in &fleet.nodes {
        let memory = node.peak_memory_kib();
        println!("memory {memory} KiB, descriptors {descriptors}");
        assert!(memory <= MEMORY_KIB, "{memory} KiB of {MEMORY_KIB}");
    }
    assert!(descriptors <= DESCRIPTORS, "{descriptors} of {DESCRIPTORS}");
}

/// Checks that a listener answers a request on a new connection.
async fn assert_answers(to: SocketAddr) {
    wait_until("the listener answers", async || {
        let answer = tokio::time::timeout(Duration::from_secs(5), h1(to, "/status", &[], "")).await;
        answer.is_ok_and(|answer| answer.status.is_some() && answer.whole)
    })
    .await;
}

fn large_answers() -> Habit {
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-response-bytes: 8000000\r\n\r\n";
    Habit::ReadNothing(Bytes::from(request), ENDLESS)
}

fn trickled_chunks() -> Habit {
    let head = "POST /lots/1 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\n\r\n";
    Habit::Trickle(Bytes::from(head), Bytes::from("1\r\nb\r\n"), Duration::from_millis(100))
}

/// Body that stops after its first bytes, too long to be buffered.
fn stalled_upload() -> Habit {
    let head = "POST /lots/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 1000000\r\n\r\n";
    Habit::ReadNothing(Bytes::from(format!("{head}{}", "b".repeat(10_000))), 1)
}

/// Guards against large responses that nobody reads, which hold the slots of the backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_clients_that_read_nothing() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let crowd = crowd(fleet.nodes[0].callers, &large_answers());
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against the same at a second daemon, which has the backend server, and on the connections to it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_clients_that_read_nothing_of_another_daemon() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    let crowd = crowd(fleet.nodes[0].callers, &large_answers());
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against request bodies without end, of which a byte comes now and then.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_trickled_chunks() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let crowd = crowd(fleet.nodes[0].callers, &trickled_chunks());
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against the same through a second daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_trickled_chunks_to_another_daemon() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    let crowd = crowd(fleet.nodes[0].callers, &trickled_chunks());
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against long request bodies that stop and hold slots.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_uploads_that_stop() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let crowd = crowd(fleet.nodes[0].callers, &stalled_upload());
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against the same through a second daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_uploads_to_another_daemon_that_stop() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    let crowd = crowd(fleet.nodes[0].callers, &stalled_upload());
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against short request bodies that stop, whose connections were never closed.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_short_bodies_that_stop() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let request = "POST /lots/1 HTTP/1.1\r\nhost: x\r\nbaobabreel-timeout-ms: 500\r\ncontent-length: 100\r\n\r\nb";
    let crowd = crowd(fleet.nodes[0].callers, &Habit::ReadNothing(Bytes::from(request), 1));
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against unwanted rests of request bodies that come byte by byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_rests_of_bodies_that_trickle() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let head = "POST /nowhere HTTP/1.1\r\nhost: x\r\ncontent-length: 100000\r\n\r\n";
    let pause = Duration::from_millis(100);
    let habit = Habit::Trickle(Bytes::from(head), Bytes::from("b"), pause);
    let crowd = crowd(fleet.nodes[0].callers, &habit);
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against many requests sent ahead that fill the queue, and whose small responses are read slowly.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_requests_sent_ahead() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let request =
        "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-work-us: 100000\r\nx-response-bytes: 60000\r\n\r\n";
    let crowd = crowd(fleet.nodes[0].callers, &Habit::ReadNothing(Bytes::from(request), ENDLESS));
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against responses that are read a byte at a time.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_clients_that_read_slowly() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-response-bytes: 8000000\r\n\r\n";
    let habit = Habit::ReadSlowly(Bytes::from(request), Duration::from_millis(100));
    let crowd = crowd(fleet.nodes[0].callers, &habit);
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against HTTP/2 streams whose responses nobody reads, on as many connections as there are.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_http2_streams_that_are_not_read() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let to = fleet.nodes[0].callers;
    for bytes in ["8000000", "20000"] {
        let request = Request::get(format!("http://{to}/lots/1")).header("x-response-bytes", bytes);
        let request = request.body(Full::default()).expect("a request");
        assert_served_beside(&fleet, crowd(to, &Habit::Streams(request))).await;
    }
}

/// Start of an HTTP/2 connection of a client.
const HTTP2_PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

/// HTTP/2 frame with the headers of `GET http://x/lots/1`, which end the stream.
fn stream_frame(id: [u8; 4]) -> Vec<u8> {
    let mut bytes = b"\0\0\x0e\x01\x05".to_vec();
    bytes.extend(id);
    bytes.extend(b"\x82\x86\x04\x07/lots/1\x41\x01x");
    bytes
}

fn stream_ids(count: u32) -> impl Iterator<Item = [u8; 4]> {
    (0..count).map(|stream| (2 * stream + 1).to_be_bytes())
}

/// HTTP/2 frames that open a connection, then so many streams each of which is reset at once.
fn reset_streams(count: u32) -> Vec<u8> {
    let mut bytes = [HTTP2_PREFACE, b"\0\0\0\x04\0\0\0\0\0"].concat();
    for id in stream_ids(count) {
        bytes.extend(stream_frame(id));
        bytes.extend(b"\0\0\x04\x03\0");
        bytes.extend(id);
        bytes.extend(b"\0\0\0\x08");
    }
    bytes
}

/// HTTP/2 frames that open a connection without room for response bodies, then so many streams.
fn unread_streams(count: u32) -> Vec<u8> {
    let mut bytes = [HTTP2_PREFACE, b"\0\0\x06\x04\0\0\0\0\0\0\x04\0\0\0\0"].concat();
    stream_ids(count).for_each(|id| bytes.extend(stream_frame(id)));
    bytes
}

/// Guards against HTTP/2 streams that are reset as soon as they are opened.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_http2_streams_that_are_reset() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let habit = Habit::ReadNothing(Bytes::from(reset_streams(5_000)), 1);
    assert_served_beside(&fleet, crowd(fleet.nodes[0].callers, &habit)).await;
}

/// Guards against HTTP/2 connections without a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_idle_http2_connections() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let habit = Habit::ReadNothing(Bytes::from(reset_streams(0)), 1);
    assert_served_beside(&fleet, crowd(fleet.nodes[0].callers, &habit)).await;
}

/// Guards against connections that are reset in the middle of a request.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_connections_that_are_reset() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-work-us: 100000\r\n\r\n";
    let habit = Habit::Reset(Bytes::from(request));
    assert_served_beside(&fleet, crowd(fleet.nodes[0].callers, &habit)).await;
}

/// Guards against connections whose clients have ended their direction and read nothing.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_half_closed_connections() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-response-bytes: 8000000\r\n\r\n";
    let habit = Habit::HalfClose(Bytes::from(request));
    assert_served_beside(&fleet, crowd(fleet.nodes[0].callers, &habit)).await;
}

/// Guards against heads that come byte by byte.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn served_beside_heads_that_trickle() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let (head, more) = (Bytes::from("GET /lots/1 HTTP/1.1\r\nx-long: "), Bytes::from("h"));
    let habit = Habit::Trickle(head, more, Duration::from_millis(100));
    assert_served_beside(&fleet, crowd(fleet.nodes[0].callers, &habit)).await;
}

/// Guards against connections that send nothing at the listener for other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_daemons_get_in_beside_idle_connections() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    let idle = Habit::ReadNothing(Bytes::new(), 1);
    let crowd = crowd(fleet.nodes[1].peers, &idle);
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against HTTP/2 streams whose responses nobody reads at the listener for other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_daemons_get_in_beside_streams_that_are_not_read() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    let habit = Habit::ReadNothing(Bytes::from(unread_streams(1_000)), 1);
    let crowd = crowd(fleet.nodes[1].peers, &habit);
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against requests without end whose refusals nobody reads at the listener for other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_daemons_get_in_beside_requests_sent_ahead() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    let request = Bytes::from("GET /lots/1 HTTP/1.1\r\nhost: x\r\n\r\n".repeat(1_000));
    let crowd = crowd(fleet.nodes[1].peers, &Habit::ReadNothing(request, ENDLESS));
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against heads that come byte by byte at the listener for other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_daemons_get_in_beside_heads_that_trickle() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    let head = format!("GET /lots/1 HTTP/1.1\r\nx-long: {}", "h".repeat(30_000));
    let (head, more) = (Bytes::from(head), Bytes::from("h"));
    let habit = Habit::Trickle(head, more, Duration::from_millis(100));
    let crowd = crowd(fleet.nodes[1].peers, &habit);
    assert_served_beside(&fleet, crowd).await;
}

/// Guards against long heads that never end at the listeners for the backend server and for operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_listeners_answer_beside_long_heads() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let head = format!("GET /status HTTP/1.1\r\nx-long: {}", "h".repeat(390_000));
    let habit = Habit::ReadNothing(Bytes::from(head), 1);
    let to = [fleet.nodes[0].operators, fleet.nodes[0].announce];
    let crowds = to.map(|to| crowd(to, &habit));
    for (to, crowd) in to.into_iter().zip(crowds) {
        tokio::time::sleep(SETTLING).await;
        assert_answers(to).await;
        assert_served_beside(&fleet, crowd).await;
    }
}

/// Guards against bodies that stop at the listeners for the backend server and for operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_listeners_answer_beside_bodies_that_stop() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    let request = "PUT /status HTTP/1.1\r\nhost: x\r\ncontent-length: 100\r\n\r\nb";
    let habit = Habit::ReadNothing(Bytes::from(request), 1);
    for to in [fleet.nodes[0].operators, fleet.nodes[0].announce] {
        let crowd = crowd(to, &habit);
        tokio::time::sleep(SETTLING).await;
        assert_answers(to).await;
        assert_served_beside(&fleet, crowd).await;
    }
}

/// Habits of clients that leave in the middle of a request to a listener that is not for callers.
fn leaving(path: &str) -> [Habit; 2] {
    let head = format!("POST {path} HTTP/1.1\r\nhost: x\r\ncontent-length: 1000\r\n\r\nb");
    let bytes = Bytes::from(head);
    [Habit::Reset(bytes.clone()), Habit::HalfClose(bytes)]
}

/// Guards against connections that are reset, or of which the client ends its direction, at the listener for other
/// daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn other_daemons_get_in_beside_clients_that_leave() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = two_daemons().await;
    for habit in leaving("/peer/v1/call/lots/1") {
        assert_served_beside(&fleet, crowd(fleet.nodes[1].peers, &habit)).await;
    }
}

/// Guards against the same at the listeners for the backend server and for operators.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn small_listeners_answer_beside_clients_that_leave() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = one_daemon().await;
    for to in [fleet.nodes[0].operators, fleet.nodes[0].announce] {
        for habit in leaving("/status") {
            let crowd = crowd(to, &habit);
            tokio::time::sleep(SETTLING).await;
            assert_answers(to).await;
            assert_served_beside(&fleet, crowd).await;
        }
    }
}
