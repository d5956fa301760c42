//! A log that is out of reach, slow, or limited.

use std::time::{Duration, Instant};

use baobabreel_client::log::LogClient;
use baobabreel_client::transport::HttpClient;
use baobabreel_core::config::{ChangeSet, Version};
use baobabreel_test_support::log::Outage;
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, entry_text};
use baobabreel_testsuite::{LIMIT, ready_mesh, specs};

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
            assert!(
                version >= *seen,
                "{} went back to {version}",
                node.spec.name
            );
            *seen = version;
            let uri = format!("http://{}/lots/7", node.addresses().callers);
            let reply = http.get(&uri, LIMIT).await.expect("an answer");
            assert!(
                reply.status.is_success(),
                "{}: {}",
                node.spec.name,
                reply.status
            );
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
    let in_force = || {
        mesh.nodes
            .iter()
            .all(|node| version(mesh, &node.spec.name).offset >= offset)
    };
    while !in_force() {
        watch(mesh, Duration::ZERO).await;
        assert!(
            start.elapsed() < CONVERGENCE,
            "{what}: not within {CONVERGENCE:?}"
        );
    }
    println!(
        "{what}: in force everywhere after {} ms",
        start.elapsed().as_millis()
    );
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
        assert!(
            version(&mesh, "a1").offset < offset,
            "nobody reads during the outage"
        );
        mesh.log.set_faults(|faults| faults.outage = Outage::None);
        assert_converges(&mesh, offset, name).await;
    }
}

/// Guards against long polls of a slow log that never succeed, and against an answer that breaks off and
/// is applied in part.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_and_cut_answers_delay_a_change_only() {
    let mesh = ready_mesh(specs()).await;
    mesh.log
        .set_faults(|faults| faults.delay = Duration::from_secs(2));
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
    mesh.log
        .set_faults(|faults| faults.appends_per_second = Some(4));
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
    let config = mesh.nodes[0]
        .daemon
        .as_ref()
        .expect("daemon runs")
        .context();
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
