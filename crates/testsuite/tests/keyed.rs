//! Requests with idempotency keys through several daemons in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use baobabreel_test_support::backend::JournalEntry;
use baobabreel_test_support::log::Outage;
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

const LIMIT: Duration = Duration::from_secs(30);

fn specs() -> Vec<NodeSpec> {
    vec![
        NodeSpec::new("a1", "hobart-a", "bidding"),
        NodeSpec::new("b1", "hobart-b", "bidding"),
        NodeSpec::new("b2", "hobart-b", "bidding"),
    ]
}

type Http = Client<HttpConnector, Full<Bytes>>;

fn client() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn post(http: &Http, to: SocketAddr, key: &str, body: &str) -> Response<Bytes> {
    let req = Request::post(format!("http://{to}/bids"))
        .header("idempotency-key", key)
        .header("baobabreel-timeout-ms", "3000")
        .body(Full::from(body.to_owned()))
        .expect("a request");
    let (parts, body) = http.request(req).await.expect("an answer").into_parts();
    Response::from_parts(parts, body.collect().await.expect("a body").to_bytes())
}

fn header<'a>(res: &'a Response<Bytes>, name: &str) -> &'a str {
    res.headers()
        .get(name)
        .map_or("", |value| value.to_str().expect("text"))
}

async fn ready_mesh() -> Mesh {
    let mesh = Mesh::start(specs()).await.expect("mesh starts");
    let change = ChangeBuilder::new("first")
        .service("bidding")
        .route("bids", "/bids", "bidding", false);
    let offset = mesh.publish(change.build());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    mesh
}

/// Posts until the answer is a success; the keys of a new owner wait for 8 s.
async fn post_until_ran(http: &Http, to: SocketAddr, key: &str) -> Response<Bytes> {
    let start = Instant::now();
    loop {
        let res = post(http, to, key, "bid").await;
        if header(&res, "baobabreel-outcome") == "ran" {
            return res;
        }
        assert!(start.elapsed() < LIMIT, "{key}: {:?}", res);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn runs(mesh: &Mesh) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for node in &mesh.nodes {
        let journal: Vec<JournalEntry> = node.backend.journal();
        for entry in journal.into_iter().filter(JournalEntry::ran) {
            *runs
                .entry(entry.idempotency_key.unwrap_or_default())
                .or_default() += 1;
        }
    }
    runs
}

/// Guards against a second run when a caller repeats a request through another daemon.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeat_through_another_daemon_gets_the_recorded_answer() {
    let mesh = ready_mesh().await;
    let http = client();
    let callers = mesh.callers();
    for i in 0..12 {
        let key = format!("bid-{i}");
        let first = post_until_ran(&http, callers[i % 3], &key).await;
        let again = post(&http, callers[(i + 1) % 3], &key, "bid").await;
        assert_eq!(again.status(), 200);
        assert_eq!(header(&again, "idempotency-replayed"), "true");
        assert_eq!(again.body(), first.body());
        let other = post(&http, callers[(i + 2) % 3], &key, "another bid").await;
        assert_eq!(
            other.status(),
            422,
            "the same key with another body is refused"
        );
    }
    let runs = runs(&mesh);
    assert_eq!(runs.len(), 12);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
}

/// Guards against keys that stop working when the log is out of reach although their owner is
/// there, and against a daemon that acts as an owner without a lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn log_outage_stops_chosen_keys_and_not_issued_ones() {
    let mesh = ready_mesh().await;
    let http = client();
    let callers = mesh.callers();
    post_until_ran(&http, callers[0], "before").await;
    let issued = http
        .get(
            format!("http://{}/.well-known/baobabreel/key", callers[0])
                .parse()
                .expect("uri"),
        )
        .await
        .expect("a key")
        .into_body()
        .collect()
        .await
        .expect("a body")
        .to_bytes();
    let issued = std::str::from_utf8(&issued)
        .expect("text")
        .trim()
        .to_owned();
    mesh.log.set_faults(|faults| faults.outage = Outage::Close);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let refused = post(&http, callers[1], "during", "bid").await;
    assert_eq!(refused.status(), 409, "{refused:?}");
    let sent = post(&http, callers[2], &issued, "bid").await;
    assert_eq!(sent.status(), 200, "{sent:?}");
    let again = post(&http, callers[1], &issued, "bid").await;
    assert_eq!(header(&again, "idempotency-replayed"), "true");
    let recorded = post(&http, callers[1], "before", "bid").await;
    assert_eq!(header(&recorded, "idempotency-replayed"), "true");
    let runs = runs(&mesh);
    assert_eq!(runs.get("during"), None);
    assert_eq!(runs.get(issued.as_str()), Some(&1));
    assert_eq!(runs.get("before"), Some(&1));
}

/// Guards against a second run after the owner of a key crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashed_owner_leaves_no_second_run() {
    let mut mesh = ready_mesh().await;
    let http = client();
    let keys: Vec<String> = (0..12).map(|i| format!("settle-{i}")).collect();
    for key in &keys {
        post_until_ran(&http, mesh.callers()[0], key).await;
    }
    mesh.crash(2);
    let start = Instant::now();
    let callers = mesh.callers();
    while start.elapsed() < Duration::from_secs(25) {
        for (i, key) in keys.iter().enumerate() {
            let res = post(&http, callers[i % 2], key, "bid").await;
            let outcome = header(&res, "baobabreel-outcome");
            assert_ne!(outcome, "not_run", "{key} ran: {res:?}");
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    let runs = runs(&mesh);
    assert_eq!(runs.len(), 12);
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    // Keys that the crashed owner cannot have seen work again.
    for i in 0..6 {
        post_until_ran(&http, callers[0], &uuid_v7(i)).await;
    }
}

/// A UUID of version 7 with the present time.
fn uuid_v7(i: u64) -> String {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .expect("time");
    let millis = u64::try_from(now.as_millis()).expect("millis");
    let hex = format!("{millis:012x}");
    format!("{}-{}-7000-8000-{i:012x}", &hex[..8], &hex[8..])
}
