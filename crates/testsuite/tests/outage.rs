//! A log that is out of reach, slow, or limited.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use baobabreel_client::log::LogClient;
use baobabreel_client::transport::HttpClient;
use baobabreel_core::config::{ChangeSet, Version};
use baobabreel_daemon::{Daemon, settings};
use baobabreel_test_support::backend::BackendServer;
use baobabreel_test_support::log::{LogServer, LogSettings, Outage};
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec, entry_text, settings_text};
use baobabreel_test_support::net::Relay;
use baobabreel_test_support::process::free_port;
use baobabreel_testsuite::{LIMIT, first_change, ready_mesh, specs, wait_until};

/// Time in which a change is in force everywhere.
const CONVERGENCE: Duration = Duration::from_secs(9);

/// Time for which the log is out of reach; longer than leases and pauses between reads last.
const OUTAGE: Duration = Duration::from_secs(12);

/// Time to see that nothing changes.
const QUIET: Duration = Duration::from_secs(4);

/// Adds one more service.
fn change(name: &str) -> ChangeSet {
    ChangeBuilder::new(name).service(name).build()
}

/// Watches that no daemon goes back to an older version and that all serve lookups.
async fn watch(mesh: &Mesh, lasting: Duration) {
    let (http, start) = (HttpClient::new(), Instant::now());
    let mut seen = vec![Version::default(); mesh.nodes.len()];
    loop {
        for (node, seen) in mesh.nodes.iter().zip(&mut seen) {
            let version = version(mesh, &node.spec.name);
            assert!(version >= *seen, "{} went back to {version}", node.spec.name);
            *seen = version;
            let uri = format!("http://{}/lots/7", node.addresses().callers);
            let reply = http.get(&uri, LIMIT).await.expect("an answer");
            assert!(reply.status.is_success(), "{}: {}", node.spec.name, reply.status);
        }
        if start.elapsed() >= lasting {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

fn version(mesh: &Mesh, name: &str) -> Version {
    let node = mesh.nodes.iter().find(|node| node.spec.name == name);
    let daemon = node.and_then(|node| node.daemon.as_ref());
    daemon.expect("daemon runs").context().config.load().version
}

/// Waits until the version is in force everywhere while daemons serve and no version goes back.
async fn assert_converges(mesh: &Mesh, offset: u64, what: &str) {
    let start = Instant::now();
    let in_force = || mesh.nodes.iter().all(|node| version(mesh, &node.spec.name).offset >= offset);
    while !in_force() {
        watch(mesh, Duration::ZERO).await;
        assert!(start.elapsed() < CONVERGENCE, "{what}: not within {CONVERGENCE:?}");
    }
    println!("{what}: in force everywhere after {} ms", start.elapsed().as_millis());
}

/// Cuts the daemons of a list off from the log.
fn cut_from_log(mesh: &Mesh, names: &[&str]) {
    let names = names.iter().map(|name| (*name).to_owned()).collect();
    mesh.log.set_faults(|faults| faults.cut_clients = names);
}

/// Guards against daemons that stop serving, lose their version, or miss the change that waits for
/// them after a long outage of the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn change_is_in_force_soon_after_an_outage() {
    let mesh = ready_mesh(specs()).await;
    for (outage, name) in [(Outage::Close, "closed"), (Outage::Silent, "silent")] {
        mesh.log.set_faults(|faults| faults.outage = outage);
        watch(&mesh, OUTAGE).await;
        let offset = mesh.publish(change(name));
        watch(&mesh, QUIET).await;
        assert!(version(&mesh, "a1").offset < offset, "nobody reads during the outage");
        mesh.log.set_faults(|faults| faults.outage = Outage::None);
        assert_converges(&mesh, offset, name).await;
    }
}

/// Guards against long polls of a slow log that never succeed, and against an answer that breaks off and
/// is applied in part.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_and_cut_answers_delay_a_change_only() {
    let mesh = ready_mesh(specs()).await;
    mesh.log.set_faults(|faults| faults.delay = Duration::from_secs(2));
    watch(&mesh, QUIET).await;
    let offset = mesh.publish(change("slow"));
    assert_converges(&mesh, offset, "answers slow by 2 s").await;
    mesh.log.set_faults(|faults| {
        faults.delay = Duration::ZERO;
        faults.cut_answers = 8;
    });
    let offset = mesh.publish(change("cut"));
    assert_converges(&mesh, offset, "8 answers cut").await;
}

/// Guards against appends that are given up for good when the log refuses some of them.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limited_appends_are_told_from_lost_ones() {
    let mesh = ready_mesh(specs()).await;
    mesh.log.set_faults(|faults| faults.appends_per_second = Some(4));
    let client = LogClient::new(HttpClient::new(), mesh.log.url());
    let (mut offset, mut refused) = (0, 0);
    for i in 0..8 {
        let text = entry_text(change(&format!("limited-{i}")));
        loop {
            match client.append("config", &text).await {
                Ok(appended) => break offset = appended.offset,
                Err(baobabreel_client::log::AppendError::Refused(_)) => refused += 1,
                Err(e) => panic!("{e}"),
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    assert!(refused > 0, "the limit was not reached");
    assert_converges(&mesh, offset, "4 appends a second").await;
    let config = mesh.nodes[0].daemon.as_ref().expect("daemon runs").context();
    let folded = config.config.load().services.len();
    assert_eq!(folded, 9, "each change is in force once");
}

/// Guards against a data centre that misses changes because only its way to the log is cut.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn data_centre_without_the_log_hears_from_the_others() {
    let mesh = ready_mesh(specs()).await;
    cut_from_log(&mesh, &["b1", "b2"]);
    watch(&mesh, QUIET).await;
    for name in ["one", "two", "three"] {
        let offset = mesh.publish(change(name));
        assert_converges(&mesh, offset, "data centre cut from the log").await;
    }
}

/// Daemon whose peers reach it only through a relay, and its backend server.
struct Remote {
    daemon: Daemon,
    relay: Relay,
    /// Kept running.
    _backend: BackendServer,
}

impl Remote {
    /// Starts a daemon that gives `advertised` as its address for peers.
    async fn start(
        spec: NodeSpec,
        log: &str,
        advertised: SocketAddr,
        seeds: &[SocketAddr],
    ) -> Self {
        let spec = spec.setting(format!("\"advertise_peers\": \"{advertised}\""));
        let text = settings_text(&spec, log, seeds);
        let settings = settings::parse(&spec.name, &text).expect("valid settings");
        let daemon = Daemon::start(settings).await.expect("daemon starts");
        let addresses = daemon.addresses();
        let relay = Relay::start_on(advertised, addresses.peers).await;
        let announce = format!("http://{}", addresses.backend);
        let backend = BackendServer::start(spec.backend.announce_url(announce)).await;
        Self {
            daemon,
            relay: relay.expect("relay starts"),
            _backend: backend.expect("backend starts"),
        }
    }

    fn offset(&self) -> u64 {
        self.daemon.context().config.load().version.offset
    }

    /// Status code and body of a lookup, which is 200 when the daemon serves.
    async fn look_up(&self) -> (u16, String) {
        let uri = format!("http://{}/lots/7", self.daemon.addresses().callers);
        let reply = HttpClient::new().get(&uri, LIMIT).await.expect("an answer");
        let text = String::from_utf8_lossy(&reply.body).into_owned();
        (reply.status.as_u16(), text)
    }
}

/// Guards against a data centre that stops serving or loses its version when it is cut off from the log
/// and all others, and against one that does not catch up afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn isolated_data_centre_serves_and_catches_up() {
    let log = LogServer::start(LogSettings::new()).await.expect("log starts");
    let at = [free_port(), free_port()].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let spec = |name, site| NodeSpec::new(name, site, "catalogue");
    let a = Remote::start(spec("a1", "hobart-a"), &log.url(), at[0], &[]).await;
    let b = Remote::start(spec("b1", "hobart-b"), &log.url(), at[1], &at[..1]).await;
    let first = log.append("config", &entry_text(first_change()));
    wait_until("both are ready", async || {
        let known = |node: &Remote| {
            let members = node.daemon.context().members.load_full();
            members.iter().filter(|member| member.is_able()).count() == 2
        };
        a.offset() == first
            && b.offset() == first
            && known(&a)
            && known(&b)
            && b.look_up().await.0 == 200
    })
    .await;
    log.set_faults(|faults| faults.cut_clients = ["b1".to_owned()].into());
    for node in [&a, &b] {
        node.relay.refuse(true).await;
        node.relay.cut();
    }
    let change = log.append("config", &entry_text(change("meanwhile")));
    let start = Instant::now();
    while start.elapsed() < OUTAGE {
        let (status, text) = b.look_up().await;
        assert_eq!(status, 200, "after {:?}: {text}", start.elapsed());
        assert_eq!(b.offset(), first);
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    assert_eq!(a.offset(), change);
    for node in [&a, &b] {
        node.relay.refuse(false).await;
    }
    // Only its peers can tell the data centre, since it is still cut off from the log.
    let start = Instant::now();
    wait_until("the data centre catches up", async || b.offset() == change).await;
    println!("isolated: in force after {} ms", start.elapsed().as_millis());
    assert!(start.elapsed() < CONVERGENCE, "{:?}", start.elapsed());
}
