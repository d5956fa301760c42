//! Crowds of clients at several daemons, whose requests meet at the daemon beside the only backend server; and what
//! one client can make that daemon hold without the help of others.
//!
//! The memory of that daemon is lowered in its settings, its backend server has many slots. Each test checks that the
//! memory and the descriptors of the daemon stay below its limits, and that ordinary requests are answered beside the
//! crowd; no times. The tests run one at a time.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_testsuite::{Crowd, Fleet, Habit, RawAnswer, h1, wait_until};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::JoinSet;

/// Memory of the instance in KiB, and the bound of the tests.
const MEMORY_KIB: u64 = 64 * 1_024;

/// Descriptors of the instance, as many as the smallest ones have, and the bound of the tests.
const DESCRIPTORS: usize = 4_100;

/// Slots of the backend server; as many calls may be in progress at once.
const SLOTS: u32 = 600;

/// Daemons whose callers misbehave; each opens up to 128 connections for calls to the other one.
const ENTRIES: usize = 5;

/// Clients of each of these daemons.
const CLIENTS: usize = 150;

/// Clients at the listener for other daemons: as many as it takes connections, of which there are at most 682.
const PEER_CLIENTS: usize = 700;

/// Time in which the crowd takes what it can get.
const SETTLING: Duration = Duration::from_secs(6);

/// Requests of ordinary callers that are to be answered, one after the other.
const ORDINARY: usize = 3;

/// Lets the tests run one at a time.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// The daemon beside the backend server, and `entries` others without one of its service.
async fn fleet(entries: usize) -> Fleet {
    let bytes = MEMORY_KIB * 1_024;
    let limits = format!(
        "\"memory_bytes\": {bytes}, \"descriptors\": {DESCRIPTORS}, \"backend_connections\": {SLOTS}"
    );
    let host = NodeSpec::new("a0", "hobart-a", "catalogue")
        .backend(|backend| backend.slots(SLOTS))
        .setting(format!("\"limits\": {{{limits}}}"));
    let entries =
        (1..=entries).map(|i| (NodeSpec::new(&format!("a{i}"), "hobart-a", "yard"), "yard"));
    Fleet::ready(std::iter::once((host, "catalogue")).chain(entries).collect()).await
}

/// Starts the same crowd at each daemon but the first.
fn crowds(fleet: &Fleet, habit: &Habit) -> Vec<Crowd> {
    let entries = fleet.nodes.iter().skip(1);
    entries.map(|node| Crowd::start(node.callers, CLIENTS, habit)).collect()
}

/// Whether a daemon answers one ordinary request on a new connection.
async fn is_served(to: SocketAddr) -> bool {
    let answer = tokio::time::timeout(Duration::from_secs(5), h1(to, "/lots/1", &[], "")).await;
    answer.is_ok_and(|answer| answer.code() == 200 && answer.whole)
}

/// Checks that ordinary callers of a daemon are served beside the crowds, and the limits of the first one.
async fn assert_served_beside(fleet: &Fleet, to: SocketAddr, crowds: Vec<Crowd>) {
    let host = &fleet.nodes[0];
    tokio::time::sleep(SETTLING).await;
    let mut descriptors = 0;
    for _ in 0..ORDINARY {
        wait_until("an ordinary request is answered beside the crowd", async || {
            descriptors = descriptors.max(host.open_files());
            is_served(to).await
        })
        .await;
    }
    let connected = crowds.iter().filter(|crowd| crowd.connections() > 0).count();
    assert_eq!(connected, crowds.len(), "all crowds have connected");
    drop(crowds);
    let memory = host.peak_memory_kib();
    println!("memory {memory} KiB, descriptors {descriptors}");
    assert!(memory <= MEMORY_KIB, "{memory} KiB of {MEMORY_KIB}");
    assert!(descriptors <= DESCRIPTORS, "{descriptors} of {DESCRIPTORS}");
}

/// Guards against responses that the clients of other daemons do not read, each of which holds buffers at the daemon
/// beside the backend server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_responses_to_other_daemons_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = fleet(ENTRIES).await;
    let request = "GET /lots/1 HTTP/1.1\r\nhost: x\r\nx-response-bytes: 8000000\r\n\r\n";
    let crowds = crowds(&fleet, &Habit::ReadNothing(Bytes::from(request), 1));
    assert_served_beside(&fleet, fleet.nodes[1].callers, crowds).await;
}

/// Guards against request bodies that the backend server does not read, from the clients of other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn uploads_from_other_daemons_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = fleet(ENTRIES).await;
    let head =
        "POST /lots/1 HTTP/1.1\r\nhost: x\r\nx-work-us: 4000000\r\ncontent-length: 8000000\r\n\r\n";
    let request = format!("{head}{}", "b".repeat(1_000_000));
    let crowds = crowds(&fleet, &Habit::ReadNothing(Bytes::from(request), 1));
    assert_served_beside(&fleet, fleet.nodes[1].callers, crowds).await;
}

/// Uploads that stop in the middle, more than an instance with little memory has buffers for.
const STALLED: usize = 40;

/// Sends half of an upload and reads the head of the answer; `None` if the connection ends without one.
async fn stall(to: SocketAddr) -> Option<RawAnswer> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    let head = "POST /bids/1 HTTP/1.1\r\nhost: x\r\ncontent-length: 200000\r\n\r\n";
    stream.write_all(format!("{head}{}", "b".repeat(100_000)).as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    // The connection may stay open for the rest of the body.
    while !bytes.windows(4).any(|end| end == b"\r\n\r\n") {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(RawAnswer::parse(bytes).await)
}

/// Guards against a client whose buffer is taken back and that gets a success, a false promise or nothing at all, and
/// against uploads of others that wait behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn upload_whose_buffer_is_taken_back_gets_no_promise() {
    let _only = ONE_AT_A_TIME.lock().await;
    let memory = format!("\"limits\": {{\"memory_bytes\": {}}}", 32 * 1_024 * 1_024);
    let host = NodeSpec::new("a0", "hobart-a", "catalogue")
        .backend(|backend| backend.slots(SLOTS))
        .setting(memory);
    let entry = NodeSpec::new("a1", "hobart-a", "yard");
    let fleet = Fleet::ready(vec![(host, "catalogue"), (entry, "yard")]).await;
    let to = fleet.nodes[1].callers;
    let mut stalled: JoinSet<Option<RawAnswer>> = (0..STALLED).map(|_| stall(to)).collect();
    tokio::time::sleep(SETTLING).await;
    let upload = Bytes::from("b".repeat(200_000));
    wait_until("an upload is taken beside those that stopped", async || {
        h1(to, "/bids/1", &[], upload.clone()).await.code() == 200
    })
    .await;
    let mut ends = Vec::new();
    wait_until("all that stopped are answered or closed", async || {
        while let Some(end) = stalled.try_join_next() {
            ends.push(end.expect("the client does not panic"));
        }
        ends.len() == STALLED
    })
    .await;
    let mut without_promise = 0;
    for answer in ends.iter().flatten() {
        match (answer.code(), answer.header("baobabreel-outcome")) {
            (502 | 504, "unknown") => without_promise += 1,
            (503 | 408, "not_run") => {}
            _ => panic!("{answer:?}"),
        }
    }
    println!("{without_promise} of {} answers promise nothing", ends.iter().flatten().count());
    assert!(without_promise > 0, "{ends:?}");
}

/// HTTP/2 frames of a header list that does not end.
fn endless_header_list() -> Bytes {
    /// Length of the payload of each frame: 138 fields of 104 bytes. Its bytes are ASCII, as are all of these.
    const LENGTH: &str = "\0\x38\x10";
    let fields = format!("\0\x01x\x64{}", "h".repeat(100)).repeat(138);
    let settings = "\0\0\0\x04\0\0\0\0\0";
    let headers = format!("{LENGTH}\x01\0\0\0\0\x01{fields}");
    let continuation = format!("{LENGTH}\x09\0\0\0\0\x01{fields}");
    let preface = format!("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n{settings}{headers}");
    Bytes::from(preface + &continuation.repeat(3))
}

/// Guards against HTTP/2 header lists that do not end at the listener for other daemons.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn header_lists_at_the_listener_for_daemons_are_bounded() {
    let _only = ONE_AT_A_TIME.lock().await;
    let fleet = fleet(1).await;
    let habit = Habit::ReadNothing(endless_header_list(), 1);
    let crowd = Crowd::start(fleet.nodes[0].peers, PEER_CLIENTS, &habit);
    assert_served_beside(&fleet, fleet.nodes[1].callers, vec![crowd]).await;
}
