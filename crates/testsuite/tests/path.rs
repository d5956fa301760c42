//! A request through daemons, backend servers and a log in one process.

use std::time::Duration;

use baobabreel_client::transport::HttpClient;
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};
use baobabreel_testsuite::{h1, h2};
use bytes::Bytes;
use http::Request;
use http_body_util::Empty;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

const LIMIT: Duration = Duration::from_secs(20);

fn specs() -> Vec<NodeSpec> {
    vec![
        NodeSpec::new("a1", "hobart-a", "catalogue"),
        NodeSpec::new("b1", "hobart-b", "catalogue"),
        NodeSpec::new("b2", "hobart-b", "bidding"),
    ]
}

fn first_change() -> baobabreel_core::config::ChangeSet {
    ChangeBuilder::new("first")
        .service("catalogue")
        .service("bidding")
        .route("lots", "/lots", "catalogue", true)
        .route("bids", "/bids", "bidding", false)
        .build()
}

/// Guards against a published route that some daemon does not serve.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn published_route_is_served_by_every_daemon() {
    let mesh = Mesh::start(specs()).await.expect("mesh starts");
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    let http = HttpClient::new();
    for callers in mesh.callers() {
        for path in ["/lots/7", "/bids/7"] {
            let uri = format!("http://{callers}{path}");
            let reply = http.get(&uri, LIMIT).await.expect("an answer comes");
            let body = String::from_utf8_lossy(&reply.body).into_owned();
            assert_eq!(reply.status, 200, "{uri}: {body}");
        }
    }
    let ran: usize = mesh.nodes.iter().map(|node| node.backend.journal().len()).sum();
    assert_eq!(ran, 6);
}

/// Guards against long work that is given up because the daemon beside its backend server does not
/// answer questions about it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_call_between_daemons_is_waited_for() {
    let mesh = Mesh::start(specs()).await.expect("mesh starts");
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    let http = Client::builder(TokioExecutor::new()).build_http();
    let uri = format!("http://{}/bids/7", mesh.callers()[0]);
    let req = Request::post(uri).header("x-work-us", "4000000").body(Empty::<Bytes>::new());
    let res = http.request(req.expect("a request")).await.expect("an answer");
    assert_eq!(res.status(), 200);
    assert_eq!(mesh.nodes[2].backend.journal().len(), 1);
}

/// Guards against backend servers that announce HTTP/2 and are called over HTTP/1.1, against requests
/// that lose their host or body on the way there, and against answers that are cut and look whole.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn backend_servers_are_called_over_http2() {
    let specs = specs().into_iter().map(|spec| spec.backend(|backend| backend.http2(true)));
    let mesh = Mesh::start(specs.collect()).await.expect("mesh starts");
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    for to in mesh.callers() {
        for host in ["shop.example", "not a host"] {
            let answer = h1(to, "/bids/7?a=b", &[("host", host)], "a bid").await;
            assert_eq!((answer.code(), answer.whole), (200, true), "{answer:?}");
            assert_eq!(answer.header("x-request-version"), "HTTP/2.0");
            assert_eq!(answer.header("x-request-bytes"), "5");
        }
        let large = h2(to, "/lots/7", &[("x-response-bytes", "300000")], "").await;
        assert_eq!((large.code(), large.whole, large.body.len()), (200, true, 300_000));
        mesh.nodes[2].backend.set_faults(|faults| faults.cut_answers = 1);
        let cut = h1(to, "/bids/7", &[("x-response-bytes", "300000")], "a bid").await;
        assert!(!cut.whole || cut.code() >= 500, "{} bytes", cut.body.len());
    }
    let journal = mesh.nodes[2].backend.journal();
    assert_eq!(journal.len(), 9, "{journal:?}");
    assert!(journal.iter().all(|entry| entry.path.starts_with("/bids/7")), "{journal:?}");
}
