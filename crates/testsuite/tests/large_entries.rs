//! Entries that are too large to be read many at once.

use std::time::Duration;

use baobabreel_test_support::log::Outage;
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};

const LIMIT: Duration = Duration::from_secs(40);

/// Bytes of one large entry.
const ENTRY_BYTES: usize = 256 * 1024;

/// Guards against a daemon that is stuck for ever because the next entries of the log together exceed
/// the largest answer that the client reads, 16 MiB.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn large_entries_do_not_stop_a_reader() {
    let specs = vec![NodeSpec::new("a1", "hobart-a", "catalogue")];
    let mesh = Mesh::start(specs).await.expect("mesh starts");
    let first = mesh.publish(ChangeBuilder::new("first").service("catalogue").build());
    mesh.wait_ready(first, LIMIT).await.expect("mesh is ready");
    // The entries arrive together, as after an outage.
    mesh.log.set_faults(|faults| faults.outage = Outage::Close);
    let large = "x".repeat(ENTRY_BYTES);
    for _ in 0..150 {
        mesh.log.append("config", &large);
    }
    let last = mesh.publish(ChangeBuilder::new("last").service("bidding").build());
    mesh.log.set_faults(|faults| faults.outage = Outage::None);
    mesh.wait_version(last, LIMIT).await.expect("the last change is in force");
    let daemon = mesh.nodes[0].daemon.as_ref().expect("daemon runs");
    let config = daemon.context().config.load();
    assert!(config.services.contains_key("bidding"));
}

/// Guards against a daemon that asks for the same entries again and again when they take longer to come than
/// it waits.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn slow_log_does_not_stop_a_reader() {
    /// 12.5 MB at 2.5 MB a second are too slow for one read, which waits up to 4 s.
    const ENTRIES: usize = 190;
    let specs = vec![NodeSpec::new("a1", "hobart-a", "catalogue")];
    let mesh = Mesh::start(specs).await.expect("mesh starts");
    let first = mesh.publish(ChangeBuilder::new("first").service("catalogue").build());
    mesh.wait_ready(first, LIMIT).await.expect("mesh is ready");
    mesh.log.set_faults(|faults| faults.outage = Outage::Close);
    for _ in 0..ENTRIES {
        mesh.log.append("config", &"x".repeat(ENTRY_BYTES / 4));
    }
    let last = mesh.publish(ChangeBuilder::new("last").service("bidding").build());
    mesh.log.set_faults(|faults| {
        faults.outage = Outage::None;
        faults.bytes_per_second = Some(2_500_000);
    });
    mesh.wait_version(last, LIMIT).await.expect("the last change is in force");
}
