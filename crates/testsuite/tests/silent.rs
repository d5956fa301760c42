//! Connections between daemons that go silent for ever while new ones work.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use baobabreel_daemon::{Daemon, settings};
use baobabreel_test_support::backend::{BackendServer, BackendSettings};
use baobabreel_test_support::load::Outcome;
use baobabreel_test_support::log::{LogServer, LogSettings};
use baobabreel_test_support::mesh::{NodeSpec, entry_text, settings_text};
use baobabreel_test_support::net::Relay;
use baobabreel_test_support::process::free_port;
use baobabreel_testsuite::{
    assert_consistent, assert_cut_only, first_change, mixed_load, wait_until,
};

/// Time in which a silent connection is found: ping interval 1 s and ping timeout 2 s.
const DETECTION: Duration = Duration::from_secs(3);

/// Time allowed beyond it for a second attempt on a busy machine.
const MARGIN: Duration = Duration::from_secs(1);

/// Daemon that others reach through a relay, with its backend server.
struct Node {
    daemon: Daemon,
    backend: BackendServer,
    relay: Relay,
}

impl Node {
    async fn start(name: &str, service: &str, log: &LogServer, seeds: &[SocketAddr]) -> Self {
        let peers = SocketAddr::from(([127, 0, 0, 1], free_port()));
        let relay = Relay::start(peers).await.expect("relay starts");
        let spec = NodeSpec::new(name, "hobart-a", service)
            .setting(format!("\"advertise_peers\": \"{}\"", relay.addr()));
        let text = settings_text(&spec, &log.url(), seeds)
            .replace("\"peers\": \"127.0.0.1:0\"", &format!("\"peers\": \"{peers}\""));
        let settings = settings::parse(name, &text).expect("good settings");
        let daemon = Daemon::start(settings).await.expect("daemon starts");
        let announce = format!("http://{}", daemon.addresses().backend);
        let backend = BackendSettings::new(name, service).announce_url(announce).slots(100);
        let backend = BackendServer::start(backend).await.expect("backend starts");
        Self { daemon, backend, relay }
    }
}

/// Guards against requests that wait for their deadline on a silent connection, against one that
/// is never replaced, and against answers for the wrong caller after the replacement.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn silent_connection_is_replaced() {
    let log = LogServer::start(LogSettings::new()).await;
    let log = log.expect("log starts");
    let entry = Node::start("a1", "yard", &log, &[]).await;
    let seeds = [entry.relay.addr()];
    let first = Node::start("a2", "catalogue", &log, &seeds).await;
    let second = Node::start("a3", "catalogue", &log, &seeds).await;
    log.append("config", &entry_text(first_change()));
    let cx = entry.daemon.context();
    let able = async || {
        let able = |name: &str| cx.view.load().find("catalogue", name).is_some();
        cx.config.load().version.offset > 0 && able("a2") && able("a3")
    };
    wait_until("the entry daemon is ready", able).await;

    let work = Duration::from_millis(400);
    let lasting = Duration::from_secs(15);
    let plan = mixed_load(31, lasting, 100.0, work).target(entry.daemon.addresses().callers);
    let start = Instant::now();
    let load = tokio::spawn(plan.run());
    let works =
        async || first.backend.journal().len() > 40 && first.backend.counters().running > 10;
    wait_until("the backend server works", works).await;
    let accepted = first.relay.counters().accepted;
    first.relay.silence_existing();
    let silenced = start.elapsed();
    let report = load.await.expect("no panic").expect("load runs");

    let journals = [first.backend.journal(), second.backend.journal()];
    assert_consistent(&report, &journals);
    // An answer whose body was on the connection cannot end whole.
    assert_cut_only(&report, silenced, silenced + DETECTION + MARGIN);
    assert!(first.relay.counters().accepted > accepted, "it is replaced");
    let struck = report.calls.iter().filter(|call| call.service_time > Duration::from_secs(1));
    assert!(struck.clone().count() > 0, "some requests are struck");
    for call in struck {
        assert!(call.service_time < DETECTION + work + MARGIN, "{call:?}");
    }
    // Only the requests on the silent connection end without an answer of the backend server.
    for call in report.calls.iter().filter(|call| call.idempotency_key.is_none()) {
        let late = call.intended > silenced + DETECTION + MARGIN;
        assert!(call.end.succeeded() || !late, "{call:?}");
    }
    assert!(report.by_outcome.contains_key(&Outcome::Unknown), "{:?}", report.by_outcome);
    let again =
        report.calls.iter().filter(|call| call.intended > silenced + DETECTION + MARGIN).filter(
            |call| {
                journals[0].iter().any(|entry| entry.request_id.as_ref() == Some(&call.request_id))
            },
        );
    let again = again.count();
    assert!(again > 10, "{again} requests after {silenced:?}");
}
