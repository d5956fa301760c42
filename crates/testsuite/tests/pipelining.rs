//! Several requests of a caller on one connection.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_test_support::backend::WorkResult;
use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_testsuite::{LIMIT, exchange, h1, journals, ready_mesh, specs, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn request(path: &str, work: Duration, id: &str, more: &str) -> String {
    let work_us = work.as_micros();
    format!(
        "GET {path} HTTP/1.1\r\nhost: x\r\nx-work-us: {work_us}\r\nx-request-id: {id}\r\n{more}\r\n"
    )
}

async fn ask(to: SocketAddr, requests: &[String]) -> String {
    let answers = exchange(to, requests.concat().as_bytes(), false).await;
    String::from_utf8_lossy(&answers).into_owned()
}

/// Guards against a short request that waits for a long one before it on its connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_behind_a_long_one_runs_at_once() {
    let mesh = ready_mesh(specs()).await;
    let mut stream =
        TcpStream::connect(mesh.nodes[0].addresses().callers).await.expect("it listens");
    let long = request("/lots/1", Duration::from_secs(30), "long", "");
    let short = request("/lots/2", Duration::from_millis(1), "short", "");
    stream.write_all([long, short].concat().as_bytes()).await.expect("it is sent");
    let ended = |id: &str| {
        let entries = journals(&mesh).concat();
        entries.iter().any(|e| e.request_id.as_deref() == Some(id) && e.ended_us.is_some())
    };
    wait_until("the short one ends", async || ended("short")).await;
    assert!(!ended("long"), "the long one still runs");
}

/// Guards against answers that overtake each other.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn answers_keep_the_order_of_the_requests() {
    let mesh = ready_mesh(specs()).await;
    let to = mesh.nodes[0].addresses().callers;
    let requests: Vec<String> = (0..8_u32)
        .map(|n| {
            let more = if n == 7 { "connection: close\r\n" } else { "" };
            request(
                "/lots/1",
                Duration::from_millis(u64::from(8 - n) * 20),
                &format!("id-{n}"),
                more,
            )
        })
        .collect();
    let answers = ask(to, &requests).await;
    let order: Vec<_> = (0..8).map(|n| answers.find(&format!("x-request-id: id-{n}"))).collect();
    assert!(order[0].is_some() && order.is_sorted(), "{order:?} in {answers}");
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 8, "{answers}");
}

/// Guards against work that goes on for a caller that has left while requests of it were waiting in
/// the daemon, so that the end of the connection was behind bytes that nobody read.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn caller_that_leaves_cancels_all_of_its_requests() {
    let mesh = ready_mesh(specs()).await;
    let mut stream =
        TcpStream::connect(mesh.nodes[0].addresses().callers).await.expect("it listens");
    let long = Duration::from_secs(30);
    let requests = [request("/lots/1", long, "first", ""), request("/lots/2", long, "second", "")];
    stream.write_all(requests.concat().as_bytes()).await.expect("it is sent");
    let running = || journals(&mesh).concat().iter().filter(|entry| entry.ran()).count();
    wait_until("both run", async || running() == 2).await;
    drop(stream);
    wait_until("both are cancelled", async || {
        let entries = journals(&mesh).concat();
        entries.iter().all(|entry| entry.result == WorkResult::Cancelled)
    })
    .await;
}

/// Guards against requests that were read and get no answer because an earlier one closes the
/// connection, and against requests after a close that are read.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn no_request_is_read_after_the_last_one() {
    let mesh = ready_mesh(specs()).await;
    let to = mesh.nodes[0].addresses().callers;
    let short = Duration::from_millis(1);
    let answers = ask(
        to,
        &[
            request("/lots/1", short, "kept", ""),
            request("/lots/2", short, "last", "connection: close\r\n"),
            request("/lots/3", short, "beyond", ""),
        ],
    )
    .await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2, "{answers}");
    assert_eq!(answers.matches("connection: close").count(), 1, "{answers}");
    let ids: Vec<_> = journals(&mesh).concat().into_iter().filter_map(|e| e.request_id).collect();
    assert!(!ids.iter().any(|id| id == "beyond"), "{ids:?}");
}

/// Guards against an answer that breaks off at the backend server and takes the requests behind it on
/// its caller's connection with it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn broken_answer_costs_its_own_request_only() {
    let mesh = ready_mesh(specs()).await;
    for node in &mesh.nodes {
        node.backend.set_faults(|faults| faults.cut_answers = 1);
    }
    let to = mesh.nodes[0].addresses().callers;
    let command =
        "POST /bids/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 0\r\nx-response-bytes: 9000\r\n\r\n";
    // Each backend server breaks off one answer; a command is sent to one of them only.
    let last = request("/lots/9", Duration::from_millis(1), "last", "connection: close\r\n");
    let requests: Vec<String> =
        std::iter::repeat_n(command.to_owned(), 8).chain(std::iter::once(last)).collect();
    let answers = ask(to, &requests).await;
    let statuses: Vec<&str> = answers.split("HTTP/1.1 ").skip(1).map(|head| &head[..3]).collect();
    assert_eq!(statuses.len(), 9, "{statuses:?}");
    let lost = statuses.iter().filter(|status| **status == "502").count();
    assert!((1..=4).contains(&lost), "{statuses:?}");
    assert_eq!(statuses.iter().filter(|status| **status == "200").count(), 9 - lost);
}

/// Guards against a body whose parts are taken for a request, and against one that is cut or changed
/// on its way.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn bodies_keep_their_bounds() {
    let mesh = ready_mesh(specs()).await;
    let to = mesh.nodes[0].addresses().callers;
    let inner = "GET /lots/inner HTTP/1.1\r\nhost: x\r\n\r\n";
    let sized = format!(
        "POST /bids/1 HTTP/1.1\r\nhost: x\r\ncontent-length: {}\r\n\r\n{inner}",
        inner.len()
    );
    let chunked = format!(
        "POST /bids/2 HTTP/1.1\r\nhost: x\r\ntransfer-encoding: chunked\r\nconnection: close\r\n\r\n\
         {:x};note=1\r\n{inner}\r\n3\r\nabc\r\n0\r\nx-trailer: 1\r\n\r\n",
        inner.len()
    );
    // The body comes in pieces, so that it has to be waited for.
    let mut stream = TcpStream::connect(to).await.expect("it listens");
    let bytes = [sized, chunked].concat();
    for piece in bytes.as_bytes().chunks(31) {
        stream.write_all(piece).await.expect("it is sent");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut answers = String::new();
    let read = tokio::time::timeout(LIMIT, stream.read_to_string(&mut answers)).await;
    read.expect("it ends").expect("text");
    let lengths: Vec<&str> =
        answers.lines().filter_map(|line| line.strip_prefix("x-request-bytes: ")).collect();
    let expected = [inner.len().to_string(), (inner.len() + 3).to_string()];
    assert_eq!(lengths, expected, "{answers}");
    let paths: Vec<String> = journals(&mesh).concat().into_iter().map(|entry| entry.path).collect();
    assert!(!paths.iter().any(|path| path == "/lots/inner"), "{paths:?}");
}

/// Guards against requests whose end two readers could see at different places.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn ambiguous_requests_are_refused() {
    let mesh = ready_mesh(specs()).await;
    let to = mesh.nodes[0].addresses().callers;
    let cases = [
        ("a length and chunks", "content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ("two lengths", "content-length: 3\r\ncontent-length: 3\r\n\r\nabc"),
        ("a list of lengths", "content-length: 3, 3\r\n\r\nabc"),
        ("a signed length", "content-length: +3\r\n\r\nabc"),
        ("another coding", "transfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        ("a second host", "host: y\r\n\r\n"),
        ("a space before the colon", "x-odd : 1\r\n\r\n"),
        ("a folded line", "x-odd: 1\r\n 2\r\n\r\n"),
    ];
    for (what, rest) in cases {
        let request = format!("POST /bids/1 HTTP/1.1\r\nhost: x\r\n{rest}");
        let answer = ask(to, &[request]).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{what}: {answer}");
        assert!(answer.contains("connection: close"), "{what}: {answer}");
    }
    assert!(journals(&mesh).concat().is_empty(), "nothing ran");
}

/// Guards against limits on callers that act, on the smallest instances, on a caller which sends a moderate number of
/// requests ahead and reads the responses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn requests_ahead_are_served_in_calm() {
    /// Requests of one connection that the daemon serves at once.
    const AHEAD: usize = 32;
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .backend(|backend| backend.slots(50))
        .setting("\"limits\": {\"memory_bytes\": 115343360, \"descriptors\": 4100}");
    let mesh = ready_mesh(vec![spec]).await;
    let node = &mesh.nodes[0];
    let large = format!("x-response-bytes: 60000\r\nx-long: {}\r\n", "h".repeat(10_000));
    let requests: Vec<String> = (0..2 * AHEAD)
        .map(|n| {
            let close = if n + 1 == 2 * AHEAD { "connection: close\r\n" } else { "" };
            let more = format!("{large}{close}");
            request("/lots/1", Duration::from_millis(50), &format!("id-{n}"), &more)
        })
        .collect();
    let answers = ask(node.addresses().callers, &requests).await;
    assert_eq!(answers.matches("HTTP/1.1 200").count(), 2 * AHEAD);
    let metrics = h1(node.addresses().operators, "/metrics", &[], "").await;
    let metrics = String::from_utf8_lossy(&metrics.body).into_owned();
    assert!(metrics.contains("baobabreel_requests_total"), "{metrics}");
    assert!(!metrics.contains("baobabreel_caller_limits"), "{metrics}");
}
