//! Hostile and malformed input on every listener.

use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use baobabreel_test_support::backend::JournalEntry;
use baobabreel_test_support::mesh::{Mesh, NodeSpec};
use baobabreel_testsuite::LIMIT;
use baobabreel_testsuite::{
    Fleet, FleetNode, RawAnswer, exchange, first_change, h1, h2, raw_mesh, specs, wait_until,
};
use tokio::net::TcpStream;

/// Memory of one daemon at the target size, in KiB.
const MEMORY_KIB: u64 = 128 * 1024;

const BODY_LIMIT: usize = 100_000;

/// Path, headers and body of a request, and the error that it gets.
type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a [u8], ErrorKind);

/// Checks an answer of the daemon itself against the closed list.
fn assert_kind(answer: &RawAnswer, kind: ErrorKind, what: &str) {
    let row = kind.answer();
    assert_eq!(answer.code(), row.status, "{what}: {answer:?}");
    assert_eq!(answer.header("baobabreel-outcome"), row.outcome.as_str(), "{what}");
    let body = String::from_utf8_lossy(&answer.body);
    assert!(body.contains(&format!("\"error\":\"{}\"", row.name)), "{what}: {body}");
}

async fn assert_serves(node: &FleetNode, after: &str) {
    let answer = h1(node.callers, "/lots/1", &[], "").await;
    assert_eq!(answer.code(), 200, "after {after}: {answer:?}");
    assert!(node.memory_kib() < MEMORY_KIB, "after {after}: {} KiB", node.memory_kib());
}

async fn limited_fleet() -> Fleet {
    let limit = format!("\"limits\": {{\"body_bytes\": {BODY_LIMIT}}}");
    let specs = specs().into_iter().take(2);
    Fleet::ready(specs.map(|spec| (spec.setting(&limit), "catalogue")).collect()).await
}

/// Guards against requests over the limits that run or that are answered without an outcome, and
/// against faults of callers that are answered as something else.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn faults_of_callers_are_named() {
    let fleet = limited_fleet().await;
    let node = &fleet.nodes[0];
    let to = node.callers;
    let long = "x".repeat(17_000);
    let longest = "x".repeat(200_000);
    for headers in [[("x-long", long.as_str())], [("x-long", longest.as_str())]] {
        for answer in [h1(to, "/lots", &headers, "").await, h2(to, "/lots", &headers, "").await] {
            assert!(matches!(answer.code(), 0 | 431), "{}", answer.code());
        }
    }
    let large = vec![b'x'; BODY_LIMIT + 1];
    let key = "k".repeat(65);
    let cases: [Case<'_>; 7] = [
        ("/lots", &[("x-long", &long)], b"", ErrorKind::HeaderTooLarge),
        ("/lots", &[], &large, ErrorKind::BodyTooLarge),
        ("/lots", &[("baobabreel-timeout-ms", "soon")], b"", ErrorKind::BadRequest),
        ("/bids", &[("idempotency-key", &key)], b"bid", ErrorKind::BadKey),
        ("/bids", &[("idempotency-key", "bk1.a1.x")], b"bid", ErrorKind::BadKey),
        ("/peer/v1/call/lots", &[], b"", ErrorKind::NoRoute),
        ("/%2e%2e/lots", &[], b"", ErrorKind::NoRoute),
    ];
    for (path, headers, body, kind) in cases {
        let what = format!("{path} {}", kind.name());
        assert_kind(&h1(to, path, headers, body.to_vec()).await, kind, &what);
        assert_kind(&h2(to, path, headers, body.to_vec()).await, kind, &what);
    }
    // Without a length the fault shows only after the start of the body was passed on.
    let mut chunked =
        b"POST /bids HTTP/1.1\r\nhost: x\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n".to_vec();
    chunked.extend(format!("{:x}\r\n", large.len()).bytes().chain(large));
    chunked.extend(b"\r\n0\r\n\r\n");
    let answer = exchange(to, &chunked, false).await;
    let answer = String::from_utf8_lossy(&answer);
    let expected = answer.starts_with("HTTP/1.1 502") && answer.contains("body: too large");
    assert!(expected, "{answer}");
    let ran = fleet.journals().concat();
    assert!(!ran.iter().any(JournalEntry::ran), "nothing ran: {ran:?}");
    for path in ["/lots/../bids", "/lots//7", "/lots/%00", "/lots/%2e%2e/bids", "/lots?a=%zz"] {
        let answer = h1(to, path, &[], "").await;
        assert_eq!(answer.code(), 200, "{path}: {answer:?}");
    }
    assert_serves(node, "faults of callers").await;
    let ran = fleet.journals().concat();
    assert!(ran.iter().any(|entry| entry.path == "/lots/../bids"), "paths stay as they are");
}

/// Bytes that are no request, or one without an end.
fn garbage() -> Vec<(&'static str, Vec<u8>)> {
    let noise = (0..50_000_u32).map(|i| (i.wrapping_mul(2_654_435_761) >> 24) as u8);
    let frames = |frame: &[u8]| [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", frame].concat();
    vec![
        ("nothing", Vec::new()),
        ("noise", noise.collect()),
        ("zeros", vec![0; 50_000]),
        ("another protocol", b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03".to_vec()),
        ("a head without an end", [b"GET / HTTP/1.1\r\nx: ".to_vec(), vec![b'x'; 2_000_000]].concat()),
        ("a version that does not exist", b"GET / HTTP/9.9\r\n\r\n".to_vec()),
        ("two lengths", b"POST /bids HTTP/1.1\r\nhost: x\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab".to_vec()),
        ("length and chunks", b"POST /bids HTTP/1.1\r\nhost: x\r\ncontent-length: 3\r\ntransfer-encoding: gzip\r\n\r\nabc".to_vec()),
        ("a body that breaks off", b"POST /announce HTTP/1.1\r\nhost: x\r\ncontent-length: 900\r\n\r\n{".to_vec()),
        ("a frame without a stream", frames(&[0, 0, 4, 1, 4, 0, 0, 0, 0, 0xff, 0xff, 0xff, 0xff])),
        ("a frame that is too large", frames(&[0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1])),
        ("settings only", frames(&[0, 0, 0, 4, 0, 0, 0, 0, 0])),
    ]
}

/// Guards against input that ends a daemon, fills its memory or keeps it from serving.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn garbage_on_every_listener_is_survived() {
    let fleet = limited_fleet().await;
    let node = &fleet.nodes[0];
    for to in [node.callers, node.peers, node.announce, node.operators] {
        for (name, bytes) in garbage() {
            for _ in 0..5 {
                let answer = exchange(to, &bytes, true).await;
                let answer = String::from_utf8_lossy(&answer);
                assert!(!answer.starts_with("HTTP/1.1 2"), "{name}: {answer}");
            }
            assert_serves(node, name).await;
        }
    }
    let ran = fleet.journals().concat();
    assert!(ran.iter().all(|entry| entry.path == "/lots/1"), "{ran:?}");
    let status = node.status().await.expect("it answers");
    assert!(status.serving && status.members == 2, "{status:?}");
}

/// Guards against connections that send nothing and take all file descriptors of a daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn idle_connections_are_bounded() {
    let specs = specs().into_iter().take(2);
    let limit = "\"limits\": {\"peer_connections\": 64, \"caller_connections\": 64}";
    let fleet = specs.map(|spec| (spec.setting(limit), "catalogue")).collect();
    let fleet = Fleet::ready(fleet).await;
    let node = &fleet.nodes[0];
    let before = node.open_files();
    let mut idle = Vec::new();
    for to in [node.callers, node.peers, node.announce, node.operators] {
        // Over the limits by less than the 128 that wait in the queue of the kernel.
        for _ in 0..180 {
            idle.push(TcpStream::connect(to).await.expect("the kernel accepts it"));
        }
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let most = before + 2 * 64 + 2 * 128;
    assert!(node.open_files() <= most, "{} after {before}", node.open_files());
    drop(idle);
    wait_until("it answers again", async || node.status().await.is_some()).await;
    assert_serves(node, "idle connections").await;
}

/// Guards against malformed heads and messages of peers that are taken for good ones, and against
/// callers' requests on listeners that are not for them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn malformed_messages_of_peers_are_refused() {
    let fleet = limited_fleet().await;
    let node = &fleet.nodes[0];
    let nested = "91".repeat(4_000);
    let bins = format!("{}{}", "c6ffffffff", "00".repeat(8));
    for head in ["", "9", "zz", "c0", "a57468657265", &nested, &bins] {
        let answer = h2(node.peers, "/peer/v1/call/lots", &[("baobabreel-call", head)], "").await;
        assert_kind(&answer, ErrorKind::BadRequest, head);
    }
    let answer = h2(node.peers, "/peer/v1/call/lots", &[], "").await;
    assert_kind(&answer, ErrorKind::BadRequest, "no head");
    let nested = vec![0x91; 1_000_000];
    let length = b"\xdd\xff\xff\xff\xff".to_vec();
    for path in ["probe", "entries", "pull", "outcome"] {
        for body in [b"x".to_vec(), nested.clone(), length.clone(), vec![0; 9_000_000]] {
            let bytes = body.len();
            let answer = h2(node.peers, &format!("/peer/v1/{path}"), &[], body).await;
            // A body over the limit may be refused before it was sent.
            assert!(matches!(answer.code(), 0 | 400), "{path} {bytes}: {answer:?}");
            assert_serves(node, path).await;
        }
    }
    assert_kind(&h2(node.peers, "/lots/7", &[], "").await, ErrorKind::Forbidden, "peers");
    assert_kind(
        &h1(node.peers, "/lots/7", &[], "").await,
        ErrorKind::Forbidden,
        "HTTP/1.1 on peers",
    );
    for (to, path, body, code) in [
        (node.operators, "/lots/7", String::new(), 404),
        (node.operators, "/status", "x".to_owned(), 405),
        (node.announce, "/lots/7", String::new(), 404),
        (node.announce, "/announce", "{\"service\": 1}".to_owned(), 400),
        (node.announce, "/announce", "[".repeat(60_000), 400),
        (node.announce, "/announce", "x".repeat(70_000), 413),
    ] {
        assert_eq!(h1(to, path, &[], body).await.code(), code, "{to}{path}");
    }
    assert_serves(node, "requests on other listeners").await;
    let status = node.status().await.expect("it answers");
    assert!(status.serving && status.members == 2, "{status:?}");
}

/// Guards against daemons and operators without the token, and against a token that reaches
/// callers or backend servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn peers_and_operators_need_the_token() {
    let specs = specs().into_iter().take(2);
    let specs: Vec<NodeSpec> = specs.map(|spec| spec.setting("\"token\": \"secret\"")).collect();
    let mesh = Mesh::start(specs).await.expect("mesh starts");
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("daemons with the token accept each other");
    let addr = mesh.nodes[0].addresses();
    for (headers, forbidden) in [
        (&[][..], true),
        (&[("baobabreel-token", "secre")], true),
        (&[("authorization", "Bearer secret2")], true),
        (&[("authorization", "Bearer secret")], false),
    ] {
        let answer = h2(addr.peers, "/peer/v1/probe", headers, "x").await;
        match forbidden {
            true => assert_kind(&answer, ErrorKind::Forbidden, "probe"),
            false => assert_eq!(answer.code(), 400, "{answer:?}"),
        }
        let answer = h1(addr.operators, "/status", headers, "").await;
        assert_eq!(answer.code(), if forbidden { 403 } else { 200 }, "{headers:?}");
    }
    assert_eq!(h1(addr.callers, "/lots/7", &[], "").await.code(), 200);
}

/// Guards against callers that speak as daemons, and against hop metadata that a backend server
/// or a caller sees.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn internal_headers_stay_inside() {
    let (mesh, backend) = raw_mesh().await;
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\nbaobabreel-outcome: not_run\r\n\
                  baobabreel-answer: 00\r\nconnection: close, x-hop\r\nx-hop: 1\r\n\r\nok";
    backend.answer_with(&[(answer, Duration::ZERO)]);
    let call = "96a46c6f7473";
    let pad = "x".repeat(15_900);
    let sent = [
        ("baobabreel-call", call),
        ("baobabreel-answer", "00"),
        ("baobabreel-token", "guess"),
        ("baobabreel-host", "evil.example"),
        ("baobabreel-outcome", "ran"),
        ("connection", "x-hop"),
        ("x-hop", "1"),
        ("host", "shop.example"),
        ("x-pad", &pad),
    ];
    for to in mesh.callers() {
        let answer = h1(to, "/lots/7", &sent, "").await;
        assert!(answer.code() == 200 && answer.body == "ok", "{to}: {answer:?}");
        assert_eq!(answer.header("baobabreel-outcome"), "ran");
        for name in ["baobabreel-answer", "baobabreel-call", "x-hop", "baobabreel-token"] {
            assert!(!answer.headers.contains_key(name), "{name} reaches the caller");
        }
        let head = backend.last_head();
        for text in ["baobabreel-call", "baobabreel-answer", "guess", "evil", "x-hop", "outcome"] {
            assert!(!head.contains(text), "{text} reaches the backend server: {head}");
        }
        assert!(head.contains("host: shop.example\r\n") && head.contains("x-pad"), "{head}");
    }
}
