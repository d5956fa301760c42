//! Responses on their way to callers when a connection or the daemon ends.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_test_support::process::Signal;
use baobabreel_testsuite::{Fleet, LIMIT, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Size of a response; the daemon buffers it as a whole.
const RESPONSE_BYTES: usize = 65_000;

/// Receive buffer of a caller, in bytes; little, so that the rest waits at the daemon.
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// Time without an event after which the daemon has nothing left to do.
const SETTLED: Duration = Duration::from_millis(500);

/// Longer than the stop of an idle daemon takes, which stays for the keys that it owned.
const IDLE_STOP: Duration = Duration::from_secs(9);

/// Connects with a small receive buffer.
async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.connect(to).await.expect("the daemon listens")
}

fn request(id: &str, more: &str) -> String {
    format!(
        "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-request-id: {id}\r\nx-work-us: 1000\r\n\
         x-response-bytes: {RESPONSE_BYTES}\r\n{more}\r\n"
    )
}

/// Length of the body that a head announces.
fn content_length(head: &str) -> usize {
    let value = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    value.and_then(|value| value.parse().ok()).expect("a length")
}

/// Reads until the end of the connection and returns the number of whole responses of the backend server.
async fn count_responses(stream: &mut TcpStream) -> usize {
    let mut data = Vec::new();
    let read = tokio::time::timeout(LIMIT, stream.read_to_end(&mut data)).await;
    // What came before a reset counts.
    drop(read.expect("the connection ends"));
    let mut count = 0;
    let mut rest = &*data;
    while let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
        let head = String::from_utf8_lossy(&rest[..end]).into_owned();
        let whole = end + 4 + content_length(&head);
        if rest.len() < whole {
            break;
        }
        count += usize::from(head.starts_with("HTTP/1.1 200"));
        rest = &rest[whole..];
    }
    count
}

/// Guards against responses that are ready, wait for a caller that reads slowly, and are cut by the exit of the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ready_responses_are_written_before_the_daemon_ends() {
    /// More responses than the kernel holds for a connection.
    const REQUESTS: usize = 100;
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .setting("\"drain_notice_ms\": 300")
        .setting("\"drain_limit_ms\": 20000");
    let mut fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let mut stream = connect(fleet.nodes[0].callers).await;
    let requests: String = (0..REQUESTS).map(|n| request(&format!("id-{n}"), "")).collect();
    stream.write_all(requests.as_bytes()).await.expect("it is sent");
    let mut ran = 0;
    wait_until("no further request is taken before responses are read", async || {
        tokio::time::sleep(SETTLED).await;
        let before = std::mem::replace(&mut ran, fleet.nodes[0].journal().len());
        ran > 0 && ran == before
    })
    .await;
    fleet.nodes[0].daemon.signal(Signal::Terminate).expect("it runs");
    // The daemon is idle but for the responses that wait to be written.
    let early_end = fleet.nodes[0].daemon.wait(IDLE_STOP).await.ok();
    let received = count_responses(&mut stream).await;
    let status = match early_end {
        Some(status) => status,
        None => fleet.nodes[0].daemon.wait(LIMIT).await.expect("it ends"),
    };
    let ran = fleet.nodes[0].journal().iter().filter(|entry| entry.ran()).count();
    assert_eq!(received, ran, "each request that ran is answered");
    assert!(status.success(), "{status}");
}

/// Guards against a response that is lost since its caller has sent more on a connection which the daemon closes: input
/// at a closed connection is answered with a reset, which discards what the caller has not received.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_that_crosses_the_close_costs_no_response() {
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue");
    let fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let mut stream = connect(fleet.nodes[0].callers).await;
    let last = request("last", "connection: close\r\n");
    stream.write_all(last.as_bytes()).await.expect("it is sent");
    tokio::time::sleep(SETTLED).await;
    stream.write_all(request("beyond", "").as_bytes()).await.expect("it is sent");
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(count_responses(&mut stream).await, 1);
    let ran = fleet.nodes[0].journal();
    assert!(!ran.iter().any(|entry| entry.request_id.as_deref() == Some("beyond")));
}

/// Guards against a refusal that is lost because the caller is still sending the body.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn refusal_reaches_a_caller_that_is_still_sending() {
    /// More than the kernel holds, so that a part of it arrives after the refusal.
    const BODY_BYTES: usize = 16 << 20;
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue");
    let fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.expect("it listens");
    let head = format!(
        "POST /nowhere HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {BODY_BYTES}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.expect("it is sent");
    let (mut rx, mut tx) = stream.split();
    let body = vec![b'x'; BODY_BYTES];
    let mut answer = Vec::new();
    let (sent, read) = tokio::join!(tx.write_all(&body), async {
        // A caller reads once it has sent.
        tokio::time::sleep(SETTLED).await;
        rx.read_to_end(&mut answer).await
    });
    let answer = String::from_utf8_lossy(&answer);
    assert!(answer.starts_with("HTTP/1.1 404"), "sent: {sent:?}, read: {read:?}, {answer:?}");
    assert!(sent.is_ok() && read.is_ok(), "sent: {sent:?}, read: {read:?}");
}
