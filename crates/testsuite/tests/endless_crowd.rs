//! A faulty backend server whose answers never end, called by many clients at once, beside clients of another one.
//!
//! The memory of the instances is lowered in the settings. Each test checks that their daemons stay below it, and that
//! the requests of the other clients are answered. Answers never end in their head or in their body, and reach their
//! callers from the daemon beside the backend server or through a second one. The tests run one at a time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use baobabreel_test_support::mesh::{ChangeBuilder, NodeSpec};
use baobabreel_testsuite::{Fleet, h1, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Memory of an instance in KiB, and the bound of the tests.
const MEMORY_KIB: u64 = 64 * 1_024;

/// Clients of the faulty backend server at each daemon; every other one reads nothing.
const CLIENTS: usize = 40;

/// Time for which they call it.
const CALLING: Duration = Duration::from_secs(4);

/// Pause between two requests of other clients at a daemon.
const PAUSE: Duration = Duration::from_millis(25);

/// Bytes that the backend server repeats at once.
const PART_BYTES: usize = 64 * 1_024;

/// Request to the faulty backend server, whose deadline is long enough to fill the memory many times.
const REQUEST: &str = "GET /lots/1 HTTP/1.1\r\nhost: x\r\nbaobabreel-timeout-ms: 1500\r\n\
                       connection: close\r\n\r\n";

/// Lets the tests run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Calls the faulty backend server again and again, and counts what comes.
async fn call_endlessly(to: SocketAddr, reads: bool, received: Arc<AtomicU64>) {
    let mut buf = vec![0; PART_BYTES];
    loop {
        let Ok(mut stream) = TcpStream::connect(to).await else { continue };
        if stream.write_all(REQUEST.as_bytes()).await.is_err() {
            continue;
        }
        if !reads {
            tokio::time::sleep(Duration::from_secs(2)).await;
            continue;
        }
        while let Ok(length @ 1..) = stream.read(&mut buf).await {
            received.fetch_add(length as u64, Ordering::Relaxed);
        }
    }
}

/// Answers to the requests of other clients.
#[derive(Debug, Default)]
struct Served {
    whole: usize,
    others: Vec<String>,
}

/// Sends requests of other clients at a daemon for a time.
async fn call_others(to: SocketAddr) -> Served {
    let (mut served, begin) = (Served::default(), Instant::now());
    while begin.elapsed() < CALLING {
        let answer = h1(to, "/yard/1", &[], "").await;
        if answer.code() == 200 && answer.whole {
            served.whole += 1;
        } else {
            served.others.push(format!("{} at {:?}", answer.code(), begin.elapsed()));
        }
        tokio::time::sleep(PAUSE).await;
    }
    served
}

/// Plays an answer that begins with `start` and repeats `rest`, and checks memory and other clients.
async fn play(start: &str, rest: &str) {
    let _only = ONE_AT_A_TIME.lock().await;
    let limits = format!("\"limits\": {{\"memory_bytes\": {}}}", MEMORY_KIB * 1_024);
    let spec = |name| NodeSpec::new(name, "hobart-a", "yard").setting(limits.clone());
    let (fleet, backend) = Fleet::with_raw_backend_beside([spec("a1"), spec("a2")]).await;
    let other = ChangeBuilder::new("other").service("yard");
    fleet.publish(other.class_route("yard", "/yard", "yard", "lookup").build());
    let all = || fleet.nodes.iter().map(|node| node.callers);
    for to in all() {
        wait_until("other clients are served", async || {
            h1(to, "/yard/1", &[], "").await.code() == 200
        })
        .await;
    }
    backend.answer_endlessly(start, &rest.repeat(PART_BYTES / rest.len()), Duration::ZERO);
    let (mut clients, received) = (JoinSet::new(), Arc::new(AtomicU64::new(0)));
    for to in all() {
        for i in 0..CLIENTS {
            clients.spawn(call_endlessly(to, i % 2 == 0, Arc::clone(&received)));
        }
    }
    let others: JoinSet<_> = all().map(call_others).collect();
    let others = others.join_all().await;
    drop(clients);
    assert!(backend.endless_closed_at().is_some(), "no endless answer has been given up");
    assert!(received.load(Ordering::Relaxed) > 0, "its clients have got nothing");
    for node in &fleet.nodes {
        let memory = node.peak_memory_kib();
        println!("memory {memory} KiB");
        assert!(memory <= MEMORY_KIB, "{memory} KiB of {MEMORY_KIB}");
        assert!(node.status().await.is_some(), "a daemon has ended");
    }
    for served in others {
        println!("{} whole, others: {:?}", served.whole, served.others);
        assert!(served.whole > 0 && served.others.is_empty(), "{served:?}");
    }
}

/// Guards against a head without an end that is kept until the memory is used up, and ends the daemon with the requests
/// of its other clients.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_heads_leave_other_clients_alone() {
    play("HTTP/1.1 200 OK\r\nx: ", "aaaaaaaaaaaaaaaa").await;
}

/// Guards against the same with bytes that are no answer at all.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_bytes_that_are_no_answer_leave_other_clients_alone() {
    play("", "\0\u{1}\u{2}aaaaa").await;
}

/// Guards against the same with a body of chunks without an end.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_chunks_leave_other_clients_alone() {
    let head = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n";
    play(head, "10\r\naaaaaaaaaaaaaaaa\r\n").await;
}

/// Guards against the same with a body that ends with its connection, which never comes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn endless_bodies_leave_other_clients_alone() {
    play("HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaaaaaaaaaa").await;
}
