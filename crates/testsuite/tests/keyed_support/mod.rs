//! Callers with idempotency keys.
//!
//! Every attempt that is not marked as a first one checks that it does not get `not_run`, since the
//! key may have run before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use baobabreel_core::rendezvous;
use baobabreel_test_support::backend::JournalEntry;
use baobabreel_test_support::log::LogServer;
use baobabreel_test_support::mesh::Mesh;
use baobabreel_testsuite::{journals, wait_until};
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinHandle;

/// Time after the wait of a new owner in which keys count as issued before it.
pub const MARGIN: Duration = Duration::from_secs(2);

/// Time from an eviction to the issue of keys that the new owner runs unasked.
pub const TAKEOVER: Duration = Duration::from_secs(8).saturating_add(MARGIN);

pub const SHORT: Duration = Duration::from_millis(100);

pub type Http = Client<HttpConnector, Full<Bytes>>;

pub fn client() -> Http {
    Client::builder(TokioExecutor::new()).build_http()
}

pub async fn send(
    http: &Http,
    to: SocketAddr,
    key: &str,
    body: &str,
    more: &[(&str, &str)],
) -> Response<Bytes> {
    let mut req = Request::post(format!("http://{to}/bids")).header("idempotency-key", key);
    for (name, value) in more {
        req = req.header(*name, *value);
    }
    let req = req.body(Full::from(body.to_owned())).expect("a request");
    let (parts, body) = http.request(req).await.expect("an answer").into_parts();
    let res = Response::from_parts(parts, body.collect().await.expect("a body").to_bytes());
    let denied = header(&res, "baobabreel-outcome") == "not_run" && res.status() != 422;
    let first = more.iter().any(|(name, _)| *name == "baobabreel-attempt");
    assert!(!denied || first, "{key} may have run: {res:?}");
    res
}

/// Sends a request in a task of its own; it runs for `work_us` on its backend server.
pub fn spawn(to: SocketAddr, key: &str, work_us: &'static str) -> JoinHandle<Response<Bytes>> {
    let key = key.to_owned();
    tokio::spawn(async move { send(&client(), to, &key, "bid", &[("x-work-us", work_us)]).await })
}

pub async fn post(http: &Http, to: SocketAddr, key: &str) -> Response<Bytes> {
    send(http, to, key, "bid", &[]).await
}

pub fn header<'a>(res: &'a Response<Bytes>, name: &str) -> &'a str {
    let value = res.headers().get(name);
    value.map_or("", |value| value.to_str().expect("text"))
}

/// Kind of the error in an answer of a daemon; otherwise `replayed` or `ran`.
pub fn kind(res: &Response<Bytes>) -> String {
    if header(res, "baobabreel-outcome") != "ran" || res.status() == 410 {
        let body: serde_json::Value = serde_json::from_slice(res.body()).expect("JSON");
        return body["error"].as_str().expect("a kind").to_owned();
    }
    let replayed = header(res, "idempotency-replayed") == "true";
    ["ran", "replayed"][usize::from(replayed)].to_owned()
}

/// Posts and returns the kind of the answer.
pub async fn ask(http: &Http, to: SocketAddr, key: &str) -> String {
    kind(&post(http, to, key).await)
}

/// A UUID of version 7 with the present time.
pub fn uuid_v7(i: usize) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("time");
    let hex = format!("{:012x}", now.as_millis());
    format!("{}-{}-7000-8000-{i:012x}", &hex[..8], &hex[8..])
}

/// First of the daemons in rank for a key.
pub fn owner<'a>(key: &str, names: &[&'a str]) -> &'a str {
    let bytes = format!("catalogue\0{key}");
    rendezvous::first(bytes.as_bytes(), names.iter().copied()).expect("a name")
}

pub const FIRST: [(&str, &str); 1] = [("baobabreel-attempt", "first")];

pub const NAMES: [&str; 4] = ["a1", "a2", "b1", "b2"];

/// New key that is owned by `name`.
pub fn key_of(name: &str, names: &[&str]) -> String {
    let mut keys = (0..).map(uuid_v7);
    keys.find(|key| owner(key, names) == name).expect("a key")
}

/// Waits until new keys of all daemons run, and new ones are run without asking previous owners.
pub async fn warm_up(http: &Http, to: SocketAddr, names: &[&str]) {
    wait_until("keys run", async || {
        for name in names {
            if ask(http, to, &key_of(name, names)).await != "ran" {
                return false;
            }
        }
        true
    })
    .await;
    tokio::time::sleep(MARGIN).await;
}

/// Checks that no key ran twice, and returns how often each ran.
pub fn runs_once(journals: &[Vec<JournalEntry>]) -> BTreeMap<String, usize> {
    let mut runs = BTreeMap::new();
    for entry in journals.iter().flatten().filter(|entry| entry.ran()) {
        let key = entry.idempotency_key.clone().unwrap_or_default();
        *runs.entry(key).or_default() += 1;
    }
    assert!(runs.values().all(|count| *count == 1), "{runs:?}");
    runs
}

pub fn has_entry(log: &LogServer, kind: &str) -> bool {
    let entries = log.records("members");
    entries.iter().any(|entry| entry.data.contains(kind))
}

pub fn is_running(mesh: &Mesh, key: &str) -> bool {
    let journals = journals(mesh);
    let mut entries = journals.iter().flatten();
    entries.any(|entry| entry.idempotency_key.as_deref() == Some(key) && entry.ran())
}

/// Repeats keys that ran through the daemons in turn for a while; returns the kinds of the answers.
pub async fn repeat(
    http: &Http,
    to: &[SocketAddr],
    keys: &[String],
    lasting: Duration,
) -> Vec<String> {
    let start = Instant::now();
    let mut kinds = Vec::new();
    while start.elapsed() < lasting {
        for (i, key) in keys.iter().enumerate() {
            let res = post(http, to[(i + kinds.len()) % to.len()], key).await;
            let kind = kind(&res);
            let since = start.elapsed();
            assert_ne!(kind, "ran", "{key} ran before; after {since:?}: {res:?}");
            kinds.push(kind);
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    kinds.sort_unstable();
    kinds.dedup();
    kinds
}

/// Runs new keys, some of each daemon.
pub async fn run_keys(http: &Http, to: SocketAddr, count: usize) -> Vec<String> {
    let mut keys = Vec::new();
    for i in 0..count {
        let key = key_of(NAMES[i % NAMES.len()], &NAMES);
        assert_eq!(ask(http, to, &key).await, "ran");
        keys.push(key);
    }
    keys
}
