//! Many callers at once that take memory and descriptors of a daemon: they do not read responses, or do not finish
//! requests.
//!
//! The limits of the instance are lowered in the settings. Each test checks only that the daemon lives, that its
//! memory and descriptors stay below these limits, and that an ordinary request is answered afterwards. The tests run
//! one at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_testsuite::{Fleet, h1, wait_until};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::{http1, http2};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::{Mutex, Semaphore};
use tokio::task::JoinSet;

/// Memory of the instance in KiB, and the bound of the tests. The smallest instances have 110 MB; this is less, so
/// that as many callers as fit into a test are many for it.
const MEMORY_KIB: u64 = 64 * 1_024;

/// Least memory that an instance can have in KiB, and the bound of the tests about keys.
const LEAST_KIB: u64 = 32 * 1_024;

/// Descriptors of the instance, and the bound of the tests; the smallest instances have 4,100.
const DESCRIPTORS: usize = 512;

/// Time for which the callers of a test stay connected.
const ATTACK: Duration = Duration::from_secs(8);

/// Receive buffer of a caller that does not read, in bytes; little, so that responses wait at the daemon.
const RECEIVE_BUFFER_BYTES: u32 = 4 * 1_024;

/// Connections that are opened at once; more would overflow the backlog of the kernel and wait for retransmits.
const CONNECTING: usize = 16;

/// Lets the tests run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Daemon with lowered limits and `more` of the settings of limits, and its backend server.
fn spec(more: &str) -> NodeSpec {
    let bytes = MEMORY_KIB * 1_024;
    let limits = format!("\"memory_bytes\": {bytes}, \"descriptors\": {DESCRIPTORS}, {more}");
    NodeSpec::new("a1", "hobart-a", "catalogue").setting(format!("\"limits\": {{{limits}}}"))
}

async fn start() -> Fleet {
    Fleet::ready(vec![(spec("\"backend_connections\": 100"), "catalogue")]).await
}

/// Connects without reading anything; `None` if the daemon does not take the connection.
async fn connect(to: SocketAddr) -> Option<TcpStream> {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.connect(to).await.ok()
}

/// Sends `bytes` so many times on each connection, as far as the daemon reads them, and reads nothing.
fn crowd(to: SocketAddr, connections: usize, bytes: &str, times: usize) -> JoinSet<()> {
    let bytes = Bytes::from(bytes.to_owned());
    let connecting = Arc::new(Semaphore::new(CONNECTING));
    let mut crowd = JoinSet::new();
    for _ in 0..connections {
        let (bytes, connecting) = (bytes.clone(), Arc::clone(&connecting));
        crowd.spawn(async move {
            let permit = connecting.acquire().await;
            let Some(mut stream) = connect(to).await else { return };
            drop(permit);
            for _ in 0..times {
                if stream.write_all(&bytes).await.is_err() {
                    break;
                }
            }
            std::future::pending().await
        });
    }
    crowd
}

/// Sends a request on each of so many HTTP/2 streams of each connection, and reads no response body.
fn http2_crowd(to: SocketAddr, request: &Request<Full<Bytes>>) -> JoinSet<()> {
    let mut crowd = JoinSet::new();
    for _ in 0..40 {
        let request = request.clone();
        crowd.spawn(async move {
            let Some(stream) = connect(to).await else { return };
            let handshake = http2::Builder::new(TokioExecutor::new())
                .initial_stream_window_size(1)
                .handshake(TokioIo::new(stream));
            let Ok((mut sender, conn)) = handshake.await else { return };
            let mut streams = JoinSet::new();
            streams.spawn(async move { drop(conn.await) });
            for _ in 0..200 {
                let response = sender.send_request(request.clone());
                streams.spawn(async move {
                    let _response = response.await;
                    std::future::pending().await
                });
            }
            std::future::pending().await
        });
    }
    crowd
}

/// Checks the daemon while the callers stay connected; returns the most descriptors that it had.
async fn watch(fleet: &Fleet) -> usize {
    let start = Instant::now();
    let mut most = 0;
    while start.elapsed() < ATTACK {
        most = most.max(fleet.nodes[0].open_files());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    most
}

async fn assert_serves(fleet: &Fleet) {
    let to = fleet.nodes[0].callers;
    wait_until("an ordinary request is answered", async || {
        let answer = tokio::time::timeout(Duration::from_secs(5), h1(to, "/lots/1", &[], "")).await;
        answer.is_ok_and(|answer| answer.code() == 200 && answer.whole)
    })
    .await;
}

/// Checks the memory and the descriptors of the daemon, and that it serves after the callers have left.
async fn assert_survives(fleet: &Fleet, crowd: JoinSet<()>) {
    let descriptors = watch(fleet).await;
    let memory = fleet.nodes[0].peak_memory_kib();
    println!("memory {memory} KiB, descriptors {descriptors}");
    drop(crowd);
    assert_serves(fleet).await;
    assert!(memory <= MEMORY_KIB, "{memory} KiB of {MEMORY_KIB}, {descriptors} descriptors");
    assert!(descriptors <= DESCRIPTORS, "{descriptors} of {DESCRIPTORS}, {memory} KiB");
}

/// Guards against requests sent ahead whose responses nobody reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = start().await;
    for bytes in [200_000, 60_000] {
        let request =
            format!("GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-response-bytes: {bytes}\r\n\r\n");
        let crowd = crowd(fleet.nodes[0].callers, 400, &request, 100);
        assert_survives(&fleet, crowd).await;
    }
}

/// Guards against unread responses of other daemons, of which the HTTP library reads ahead.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_of_other_daemons_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let attacked = spec("\"backend_connections\": 100");
    let host = NodeSpec::new("a2", "hobart-a", "catalogue").backend(|backend| backend.slots(400));
    let host = host.setting("\"limits\": {\"backend_connections\": 400}");
    let fleet = Fleet::ready(vec![(attacked, "yard"), (host, "catalogue")]).await;
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-response-bytes: 4000000\r\n\r\n";
    let crowd = crowd(fleet.nodes[0].callers, 250, request, 1);
    assert_survives(&fleet, crowd).await;
}

/// Guards against requests sent ahead whose bodies wait in the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bodies_sent_ahead_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    // The backend server runs all requests at once, so that none is refused soon.
    let spec = spec("\"backend_connections\": 2000").backend(|backend| backend.slots(2_000));
    let fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let body = "b".repeat(60_000);
    let head =
        "POST /lots/1 HTTP/1.1\r\nhost: x\r\nx-work-us: 4000000\r\ncontent-length: 60000\r\n\r\n";
    let crowd = crowd(fleet.nodes[0].callers, 200, &format!("{head}{body}"), 400);
    assert_survives(&fleet, crowd).await;
}

/// Guards against bodies that are buffered for requests with keys and stop short of their end, in chunks with
/// extensions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_chunked_bodies_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = start().await;
    let chunk = format!("2000;note={}\r\n{}\r\n", "n".repeat(2_000), "b".repeat(0x2000));
    let head = "POST /bids/1 HTTP/1.1\r\nhost: x\r\nidempotency-key: k\r\ntransfer-encoding: chunked\r\n\r\n";
    let crowd = crowd(fleet.nodes[0].callers, 1_000, &format!("{head}{}", chunk.repeat(7)), 1);
    assert_survives(&fleet, crowd).await;
}

/// Guards against heads that stop short of their end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_heads_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = start().await;
    let head = format!("GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-long: {}", "h".repeat(30_000));
    let crowd = crowd(fleet.nodes[0].callers, 1_000, &head, 1);
    assert_survives(&fleet, crowd).await;
}

/// Guards against HTTP/2 streams whose responses nobody reads.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_streams_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = start().await;
    let to = fleet.nodes[0].callers;
    let request = Request::get(format!("http://{to}/lots/1"))
        .header("x-response-bytes", "60000")
        .body(Full::default())
        .expect("a request");
    assert_survives(&fleet, http2_crowd(to, &request)).await;
}

/// Guards against many large header lists and bodies over HTTP/2.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_headers_and_bodies_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = start().await;
    let to = fleet.nodes[0].callers;
    let request = Request::post(format!("http://{to}/lots/1"))
        .header("x-work-us", "1000000")
        .header("x-long", "h".repeat(12_000))
        .body(Full::from("b".repeat(60_000)))
        .expect("a request");
    assert_survives(&fleet, http2_crowd(to, &request)).await;
}

/// Guards against HTTP/2 header lists that go on in frame after frame without an end.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn http2_header_lists_without_end_are_bounded() {
    /// Length of the payload of each frame: 138 fields of 104 bytes. Its bytes are ASCII, as are all of the attack.
    const LENGTH: &str = "\0\x38\x10";
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = start().await;
    let fields = format!("\0\x01x\x64{}", "h".repeat(100)).repeat(138);
    let settings = "\0\0\0\x04\0\0\0\0\0";
    let headers = format!("{LENGTH}\x01\0\0\0\0\x01{fields}");
    let continuation = format!("{LENGTH}\x09\0\0\0\0\x01{fields}");
    let preface = format!("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n{settings}{headers}");
    let attack = preface + &continuation.repeat(100);
    let crowd = crowd(fleet.nodes[0].callers, 250, &attack, 1);
    assert_survives(&fleet, crowd).await;
}

/// Guards against connections that send nothing and keep an ordinary caller out.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_caller_gets_in_beside_idle_connections() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = start().await;
    let crowd = crowd(fleet.nodes[0].callers, 1_000, "", 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_serves(&fleet).await;
    assert_survives(&fleet, crowd).await;
}

/// Guards against answers of requests with keys that are kept for minutes, on an instance that has less memory than
/// others.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn recorded_answers_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let limits = format!("\"limits\": {{\"memory_bytes\": {}}}", LEAST_KIB * 1_024);
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue").setting(limits);
    let fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let to = fleet.nodes[0].callers;
    let post = async |key: &str| {
        let headers = [("x-response-bytes", "60000"), ("idempotency-key", key)];
        h1(to, "/bids/1", &headers, "a bid").await
    };
    wait_until("the daemon owns keys", async || post("first").await.code() == 200).await;
    for number in 0..500 {
        let answer = post(&format!("key-{number}")).await;
        assert_eq!(answer.code(), 200, "{answer:?}");
    }
    let last = post("key-499").await;
    assert_eq!((last.code(), last.header("idempotency-replayed")), (200, "true"), "{last:?}");
    let memory = fleet.nodes[0].peak_memory_kib();
    println!("memory {memory} KiB");
    assert!(memory <= LEAST_KIB, "{memory} KiB of {LEAST_KIB}");
}

/// Daemon with so little memory.
fn small_spec(memory_kib: u64) -> NodeSpec {
    let limits = format!("\"limits\": {{\"memory_bytes\": {}}}", memory_kib * 1_024);
    NodeSpec::new("a1", "hobart-a", "catalogue").setting(limits)
}

/// Guards against a client whose requests with new keys fill the table of outcomes, so that those of others are refused
/// for as long as outcomes are kept, and against outcomes that take more memory than the instance has.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_key_is_taken_beside_many_new_keys() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = Fleet::ready(vec![(small_spec(LEAST_KIB), "catalogue")]).await;
    assert_keys_are_shared(&fleet, fleet.nodes[0].callers, LEAST_KIB).await;
}

/// Guards against an owner of keys that does not know whose requests another daemon sends it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn ordinary_key_is_taken_beside_many_new_keys_through_another_daemon() {
    /// The connections of the other daemon take memory, too.
    const MEMORY_KIB: u64 = 48 * 1_024;
    let _only = ONE_AT_A_TIME.lock().await;
    let entry = NodeSpec::new("a2", "hobart-a", "yard");
    let fleet = Fleet::ready(vec![(small_spec(MEMORY_KIB), "catalogue"), (entry, "yard")]).await;
    assert_keys_are_shared(&fleet, fleet.nodes[1].callers, MEMORY_KIB).await;
}

/// Sends many new keys to the first daemon by way of `to`, and an ordinary one.
async fn assert_keys_are_shared(fleet: &Fleet, to: SocketAddr, memory_kib: u64) {
    /// More keys than an instance with little memory can record.
    const KEYS: usize = 24_000;
    const CONNECTIONS: usize = 24;
    let post = async |key: &str| h1(to, "/bids/1", &[("idempotency-key", key)], "a bid").await;
    wait_until("the daemon owns keys", async || post("first").await.code() == 200).await;
    let mut greedy = JoinSet::new();
    for connection in 0..CONNECTIONS {
        greedy.spawn(async move {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket.bind(SocketAddr::from(([127, 0, 0, 2], 0))).expect("a second local address");
            let stream = socket.connect(to).await.expect("the daemon takes the connection");
            let (mut sender, conn) =
                http1::handshake(TokioIo::new(stream)).await.expect("a connection");
            tokio::spawn(async move { drop(conn.await) });
            let mut refused = 0;
            for number in 0..KEYS / CONNECTIONS {
                let req = Request::post("/bids/1")
                    .header("host", "lots.example")
                    .header(
                        "idempotency-key",
                        format!("{:k<64}", format!("greedy-{connection}-{number}-")),
                    )
                    .body(Full::new(Bytes::from_static(b"a bid")));
                let answer = sender.send_request(req.expect("a request")).await;
                let answer = answer.expect("the greedy client is answered");
                refused += usize::from(answer.status() == 503);
                answer.into_body().collect().await.expect("a whole answer");
            }
            refused
        });
    }
    let refused: usize = greedy.join_all().await.into_iter().sum();
    let memory = fleet.nodes[0].peak_memory_kib();
    println!("{refused} of {KEYS} new keys were refused, memory {memory} KiB");
    assert!(memory <= memory_kib, "{memory} KiB of {memory_kib}");
    let ordinary = post("ordinary").await;
    assert_eq!(ordinary.code(), 200, "{ordinary:?}");
    for key in ["first", "ordinary"] {
        let repeat = post(key).await;
        let seen = (repeat.code(), repeat.header("idempotency-replayed"));
        assert_eq!(seen, (200, "true"), "{key}: {repeat:?}");
    }
    // Its answers may be dropped, but it must not run again.
    let repeat = post(&format!("{:k<64}", "greedy-0-0-")).await;
    let is_replay = repeat.header("idempotency-replayed") == "true";
    assert_eq!(repeat.header("baobabreel-outcome"), "ran", "{repeat:?}");
    assert!(is_replay || repeat.code() == 410, "{repeat:?}");
}
