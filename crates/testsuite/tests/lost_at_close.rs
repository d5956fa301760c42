//! Responses that count as delivered, or are answered, and do not reach their callers.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_test_support::process::{OutputLine, Signal};
use baobabreel_testsuite::{Fleet, LIMIT, RawAnswer, h1, wait_until};
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Size of a response; the daemon buffers it as a whole.
const RESPONSE_BYTES: usize = 65_000;

/// Receive window of an HTTP/2 stream, in bytes; little, so that the rest waits at the daemon.
const STREAM_WINDOW_BYTES: u32 = 1_024;

/// Receive buffer of a caller, in bytes; little, so that the rest waits at the daemon.
const RECEIVE_BUFFER_BYTES: u32 = 8 * 1024;

/// Time without an event after which the daemon has nothing left to do.
const SETTLED: Duration = Duration::from_millis(500);

/// Longer than the stop of an idle daemon takes, which stays for the keys that it owned.
const IDLE_STOP: Duration = Duration::from_secs(9);

/// Reads until the end of the connection, also if it is reset.
async fn read_rest(stream: &mut TcpStream) -> String {
    let mut data = Vec::new();
    let read = tokio::time::timeout(LIMIT, stream.read_to_end(&mut data)).await;
    drop(read.expect("the connection ends"));
    String::from_utf8_lossy(&data).into_owned()
}

/// Takes a whole response with a length from the front of `data`; returns its head.
fn take_response(data: &mut Vec<u8>) -> Option<String> {
    let start = data.windows(4).position(|end| end == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&data[..start]).into_owned();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "))?;
    let end = start + length.parse::<usize>().expect("a length");
    (data.len() >= end).then(|| {
        data.drain(..end);
        head
    })
}

/// Connects with a small receive buffer.
async fn connect(to: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).expect("a small buffer");
    socket.connect(to).await.expect("the daemon listens")
}

/// Guards against a request that is answered when the drain ends and whose answer is not written, because the ones in
/// front of it on its connection closed the connection first.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn each_pipelined_request_answered_at_the_end_gets_its_answer() {
    /// More than the daemon takes from one connection at once.
    const REQUESTS: usize = 60;
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .backend(|backend| backend.slots(50))
        .setting("\"drain_notice_ms\": 500")
        .setting("\"drain_limit_ms\": 1000");
    let mut fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.expect("it listens");
    let requests: String = (0..REQUESTS)
        .map(|n| {
            format!(
                "GET /bids/{n} HTTP/1.1\r\nhost: x\r\nx-work-us: 9000000\r\n\
                 baobabreel-timeout-ms: 20000\r\n\r\n"
            )
        })
        .collect();
    stream.write_all(requests.as_bytes()).await.expect("it is sent");
    tokio::time::sleep(SETTLED).await;
    let daemon = &mut fleet.nodes[0].daemon;
    daemon.signal(Signal::Terminate).expect("it runs");
    let answers = read_rest(&mut stream).await.matches("HTTP/1.1 50").count();
    daemon.wait(LIMIT).await.expect("it ends");
    let is_stopped =
        |line: &OutputLine| line.json().is_some_and(|line| line["message"] == "stopped");
    let line = daemon.wait_for_line(LIMIT, is_stopped).await.expect("a line");
    let line = line.json().expect("a line of the log");
    let answered = line["answered_not_run"].as_u64().expect("a number")
        + line["answered_unknown"].as_u64().expect("a number");
    assert_eq!(answers as u64, answered, "{line}");
}

/// Guards against a response over HTTP/2 that is ready, waits for a caller that reads slowly, and is cut by the exit of
/// the daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ready_response_over_http2_is_written_before_the_daemon_ends() {
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .setting("\"drain_notice_ms\": 300")
        .setting("\"drain_limit_ms\": 20000");
    let mut fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let callers = fleet.nodes[0].callers;
    let stream = TcpStream::connect(callers).await.expect("it listens");
    let (mut sender, conn) = http2::Builder::new(TokioExecutor::new())
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .expect("it listens");
    tokio::spawn(async move { drop(conn.await) });
    let req = Request::get(format!("http://{callers}/lots/1"))
        .header("x-work-us", "1000")
        .header("x-response-bytes", RESPONSE_BYTES.to_string())
        .body(Full::<Bytes>::default())
        .expect("a request");
    let res = sender.send_request(req).await.expect("a response");
    assert_eq!(res.status(), 200);
    tokio::time::sleep(SETTLED).await;
    let daemon = &mut fleet.nodes[0].daemon;
    daemon.signal(Signal::Terminate).expect("it runs");
    let early_end = daemon.wait(IDLE_STOP).await.ok();
    let body = tokio::time::timeout(LIMIT, res.into_body().collect()).await.expect("it ends");
    let received = body.map(|body| body.to_bytes().len()).map_err(|e| e.to_string());
    assert_eq!(received, Ok(RESPONSE_BYTES), "ended early: {early_end:?}");
}

/// Guards against a whole response that is lost since the one behind it broke off and the caller has sent more: input
/// at a closed connection is answered with a reset, which discards what the caller has not received.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn response_that_breaks_off_costs_no_response_in_front() {
    let (fleet, backend) = Fleet::with_raw_backend().await;
    let callers = fleet.nodes[0].callers;
    let body = "x".repeat(RESPONSE_BYTES);
    let whole = format!(
        "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {RESPONSE_BYTES}\r\n\r\n{body}"
    );
    backend.answer_with(&[(&whole, Duration::ZERO)]);
    wait_until("the backend server is known", async || {
        let answer: RawAnswer = h1(callers, "/lots/0", &[], "").await;
        answer.code() == 200 && answer.whole
    })
    .await;
    let mut stream = connect(callers).await;
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\n\r\n";
    stream.write_all(request.as_bytes()).await.expect("it is sent");
    tokio::time::sleep(SETTLED).await;
    let broken =
        format!("HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: 200000\r\n\r\n{body}");
    backend.answer_with(&[(&broken, Duration::ZERO)]);
    stream.write_all(request.as_bytes()).await.expect("it is sent");
    tokio::time::sleep(SETTLED).await;
    // It may be refused already.
    drop(stream.write_all(request.as_bytes()).await);
    tokio::time::sleep(SETTLED).await;
    let received = read_rest(&mut stream).await;
    let end = received.find("\r\n\r\n").expect("a head") + 4;
    assert!(
        received.len() - end >= RESPONSE_BYTES,
        "{} bytes of the first body",
        received.len() - end
    );
}

/// Guards against responses that are ready and lost at a stop, because their caller reads them slowly and sends its next
/// request for each: input at a closed connection is answered with a reset.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_reader_that_sends_ahead_loses_nothing_at_a_stop() {
    const AHEAD: usize = 8;
    const BYTES: usize = 30_000;
    /// Bytes that the caller reads after each pause; the kernel holds more than a second's worth.
    const READ_BYTES: usize = 4_000;
    const PAUSE: Duration = Duration::from_millis(50);
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .setting("\"drain_notice_ms\": 300")
        .setting("\"drain_limit_ms\": 20000");
    let fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let mut stream = connect(fleet.nodes[0].callers).await;
    let request = format!("GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-response-bytes: {BYTES}\r\n\r\n");
    stream.write_all(request.repeat(AHEAD).as_bytes()).await.expect("it is sent");
    let (mut pending, mut answers, mut is_last) = (Vec::new(), 0, false);
    let ended = loop {
        let mut part = vec![0; READ_BYTES];
        match tokio::time::timeout(LIMIT, stream.read(&mut part)).await.expect("it goes on") {
            Ok(0) => break Ok(()),
            Ok(count) => pending.extend_from_slice(&part[..count]),
            Err(e) => break Err(e.kind()),
        }
        while let Some(head) = take_response(&mut pending) {
            answers += 1;
            is_last = head.contains("connection: close");
            if !is_last {
                // It may be refused already.
                drop(stream.write_all(request.as_bytes()).await);
            }
            if answers == 2 {
                fleet.nodes[0].daemon.signal(Signal::Terminate).expect("it runs");
            }
        }
        tokio::time::sleep(PAUSE).await;
    };
    assert_eq!((ended, is_last), (Ok(()), true), "{answers} answers, {} bytes", pending.len());
}

/// Guards against a connection that is closed behind a response which does not announce it, so that a caller cannot tell
/// that what it sent behind has not run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn last_response_at_the_end_announces_the_close() {
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .setting("\"drain_notice_ms\": 500")
        .setting("\"drain_limit_ms\": 1000");
    let fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.expect("it listens");
    let request = |work_us: u32| {
        format!(
            "GET /bids/1 HTTP/1.1\r\nhost: x\r\nx-work-us: {work_us}\r\n\
             baobabreel-timeout-ms: 20000\r\n\r\n"
        )
    };
    let requests = request(9_000_000) + &request(1_000);
    stream.write_all(requests.as_bytes()).await.expect("it is sent");
    tokio::time::sleep(SETTLED).await;
    fleet.nodes[0].daemon.signal(Signal::Terminate).expect("it runs");
    let answers = read_rest(&mut stream).await;
    let last = answers.rfind("HTTP/1.1 200").expect("the second response");
    assert!(answers[last..].contains("connection: close\r\n"), "{answers}");
}

/// Guards against a stop that idle connections of callers hold up, which close only when they are used again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connection_does_not_hold_up_the_stop() {
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .setting("\"drain_notice_ms\": 300")
        .setting("\"drain_limit_ms\": 1000");
    let mut fleet = Fleet::ready(vec![(spec, "catalogue")]).await;
    let mut stream = TcpStream::connect(fleet.nodes[0].callers).await.expect("it listens");
    stream.write_all(b"GET /lots/1 HTTP/1.1\r\nhost: x\r\n\r\n").await.expect("it is sent");
    tokio::time::sleep(SETTLED).await;
    let daemon = &mut fleet.nodes[0].daemon;
    daemon.signal(Signal::Terminate).expect("it runs");
    daemon.wait(LIMIT).await.expect("it ends");
    let is_late = |line: &OutputLine| {
        line.json().is_some_and(|line| {
            line["message"] == "connections were still open when the daemon stopped"
        })
    };
    let late = daemon.wait_for_line(SETTLED, is_late).await;
    assert!(late.is_err(), "{late:?}");
    drop(stream);
}

/// Guards against a call of another daemon that waits in the queue of a daemon whose drain ends, and that is started by
/// the end and cut, or that breaks off as if it had run.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn queued_call_of_another_daemon_is_refused_as_not_run_at_the_end() {
    const LONG_WORK: [(&str, &str); 2] =
        [("x-work-us", "9000000"), ("baobabreel-timeout-ms", "20000")];
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .backend(|backend| backend.slots(1))
        .setting("\"drain_notice_ms\": 500")
        .setting("\"drain_limit_ms\": 1000");
    let other = NodeSpec::new("a2", "hobart-a", "yard");
    let fleet = Fleet::ready(vec![(spec, "catalogue"), (other, "yard")]).await;
    let (own, other) = (fleet.nodes[0].callers, fleet.nodes[1].callers);
    let running = tokio::spawn(async move { h1(own, "/bids/1", &LONG_WORK, "").await });
    tokio::time::sleep(SETTLED).await;
    let queued = tokio::spawn(async move { h1(other, "/bids/2", &LONG_WORK, "").await });
    tokio::time::sleep(SETTLED).await;
    fleet.nodes[0].daemon.signal(Signal::Terminate).expect("it runs");
    let running = running.await.expect("it ends");
    let queued = queued.await.expect("it ends");
    let started = fleet.nodes[0].journal().iter().filter(|entry| entry.ran()).count();
    let outcomes = [&running, &queued].map(|answer| answer.header("baobabreel-outcome").to_owned());
    assert_eq!((outcomes, started), (["unknown".to_owned(), "not_run".to_owned()], 1));
}
