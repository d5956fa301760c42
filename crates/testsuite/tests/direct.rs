//! Lookups over granted connections to backend servers.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::transport::HttpClient;
use baobabreel_test_support::backend::BackendFaults;
use baobabreel_test_support::mesh::{Mesh, NodeSpec};
use baobabreel_testsuite::{LIMIT, RawAnswer, first_change, h1, wait_until};

/// An entry daemon without a backend server of the service, and a host daemon.
async fn start(direct: bool) -> Mesh {
    let mute = BackendFaults { mute: true, ..BackendFaults::default() };
    let setting = format!("\"direct_lookups\": {direct}");
    let specs = vec![
        NodeSpec::new("a1", "hobart-a", "catalogue").setting(setting.as_str()),
        NodeSpec::new("a2", "hobart-a", "yard").backend(|b| b.faults(mute)).setting(setting),
    ];
    let mesh = Mesh::start(specs).await.expect("mesh starts");
    let offset = mesh.publish(first_change());
    mesh.wait_version(offset, LIMIT).await.expect("the version is in force");
    wait_until("a lookup is served", async || lookup(&mesh, 0).await.code() == 200).await;
    mesh
}

async fn lookup(mesh: &Mesh, work_us: u64) -> RawAnswer {
    let work = work_us.to_string();
    h1(mesh.nodes[1].addresses().callers, "/lots/7", &[("x-work-us", &work)], "").await
}

/// Calls that the entry daemon has made over granted connections.
fn direct_calls(mesh: &Mesh) -> u64 {
    let daemon = mesh.nodes[1].daemon.as_ref().expect("it runs");
    let text = daemon.context().metrics.render().expect("metrics");
    let line = text.lines().find(|line| line.starts_with("baobabreel_direct_total"));
    let value = line.and_then(|line| line.rsplit(' ').next()?.parse().ok());
    value.unwrap_or(0)
}

async fn granted_mesh() -> Mesh {
    let mesh = start(true).await;
    wait_until("a lookup goes directly", async || {
        assert_eq!(lookup(&mesh, 0).await.code(), 200);
        direct_calls(&mesh) > 0
    })
    .await;
    mesh
}

/// Guards against grants while they are switched off, against commands over granted connections, and
/// against answers without their outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn only_lookups_go_directly_and_only_when_switched_on() {
    let mesh = start(false).await;
    for _ in 0..20 {
        assert_eq!(lookup(&mesh, 0).await.code(), 200);
    }
    assert_eq!(direct_calls(&mesh), 0);
    let mesh = granted_mesh().await;
    let before = direct_calls(&mesh);
    let res = lookup(&mesh, 0).await;
    assert_eq!((res.code(), res.header("baobabreel-outcome")), (200, "ran"));
    assert_eq!(direct_calls(&mesh), before + 1);
    let callers = mesh.nodes[1].addresses().callers;
    assert_eq!(h1(callers, "/bids/7", &[], "bid").await.code(), 200);
    assert_eq!(direct_calls(&mesh), before + 1);
}

/// Guards against a daemon that ends, and lets its backend server go, while a granted call runs
/// there, and against new granted calls more than 3 s after the drain began.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn drain_of_the_host_waits_for_granted_calls() {
    let mut mesh = granted_mesh().await;
    let before = direct_calls(&mesh);
    let host = mesh.nodes[0].daemon.take().expect("it runs");
    let cx = Arc::clone(host.context());
    let running = || mesh.nodes[0].backend.counters().running;
    let drain = async {
        wait_until("the call runs", async || running() > 0).await;
        let idle = async {
            wait_until("the host is idle", async || cx.in_flight() == 0).await;
            running()
        };
        tokio::join!(host.shutdown(), idle)
    };
    // Longer than a grant lasts, and shorter than the timeout of the route.
    let (res, (whole, running_when_idle)) = tokio::join!(lookup(&mesh, 4_000_000), drain);
    assert_eq!((res.code(), whole, running_when_idle), (200, true, 0));
    assert_eq!(direct_calls(&mesh), before + 1, "the long call was granted");
    let ran = mesh.nodes[0].backend.journal().len();
    assert_ne!(lookup(&mesh, 0).await.code(), 200);
    assert_eq!(mesh.nodes[0].backend.journal().len(), ran);
}

/// Guards against granted calls beside a queue at the host daemon, whose requests they would pass.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn overload_withdraws_grants() {
    let mesh = granted_mesh().await;
    let uri = format!("http://{}/lots/7", mesh.nodes[1].addresses().callers);
    // A grant that is not used is returned anyway.
    let using = tokio::spawn(async move {
        let http = HttpClient::new();
        loop {
            drop(http.get(&uri, Duration::from_millis(200)).await);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    });
    let callers = mesh.nodes[0].addresses().callers;
    // More than the 10 slots; less than the timeout of the route.
    let busy = (0..14).map(|_| async move {
        drop(h1(callers, "/lots/8", &[("x-work-us", "4500000")], "").await);
    });
    let busy: Vec<_> = busy.map(tokio::spawn).collect();
    let host = mesh.nodes[0].daemon.as_ref().expect("it runs").context();
    wait_until("no grant beside a queue", async || {
        host.host.load().queued > 0 && host.host.granted(host.clock.now()) == 0
    })
    .await;
    let before = direct_calls(&mesh);
    let lookup = tokio::time::timeout(Duration::from_millis(300), lookup(&mesh, 0)).await;
    assert!(lookup.is_err() || host.host.load().queued == 0, "it waits in the queue");
    assert_eq!(direct_calls(&mesh), before);
    using.abort();
    busy.iter().for_each(tokio::task::JoinHandle::abort);
}
