//! The limit of connections to a backend server.

use baobabreel_test_support::mesh::{Mesh, NodeSpec};
use baobabreel_testsuite::ready_mesh;
use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;

const CONNECTIONS: usize = 2;

async fn mesh(policy: &str) -> Mesh {
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue")
        .backend(|backend| backend.slots(6))
        .setting(format!("\"limits\": {{\"backend_connections\": {CONNECTIONS}}}"))
        .setting(format!("\"policy\": \"{policy}\""));
    ready_mesh(vec![spec]).await
}

/// Sends six requests of 200 ms at once; returns statuses and bodies.
async fn send(mesh: &Mesh) -> Vec<(u16, String)> {
    let http = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/bids/7", mesh.callers()[0]);
    let mut calls = JoinSet::new();
    for _ in 0..6 {
        let req = Request::post(&uri).header("x-work-us", "200000").body(Empty::<Bytes>::new());
        let sent = http.request(req.expect("a request"));
        calls.spawn(async move {
            let res = sent.await.expect("an answer");
            let status = res.status().as_u16();
            let body = res.into_body().collect().await.expect("a whole answer").to_bytes();
            (status, String::from_utf8_lossy(&body).into_owned())
        });
    }
    calls.join_all().await
}

/// Guards against a request that gets a slot but no connection, and is refused although it could
/// have waited.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_without_a_connection_wait_in_the_queue() {
    let mesh = mesh("full").await;
    for (status, body) in send(&mesh).await {
        assert_eq!(status, 200, "{body}");
    }
    assert_eq!(mesh.nodes[0].backend.counters().peak_running, CONNECTIONS as u64);
    assert_eq!(mesh.nodes[0].backend.journal().len(), 6);
}

/// Guards against `no_backend_server` for a backend server that is there but has no connection
/// left, and against a refused request that ran.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_full_pool_is_overload() {
    let mesh = mesh("plain").await;
    let answers = send(&mesh).await;
    let refused: Vec<&(u16, String)> =
        answers.iter().filter(|(status, _)| *status != 200).collect();
    assert_eq!(refused.len(), 6 - CONNECTIONS, "{answers:?}");
    for (status, body) in refused {
        assert_eq!(*status, 503);
        assert!(body.contains("\"overloaded\"") && body.contains("\"not_run\""), "{body}");
    }
    assert_eq!(mesh.nodes[0].backend.journal().len(), CONNECTIONS);
}
