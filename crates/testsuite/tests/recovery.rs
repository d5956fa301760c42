//! Recovery of daemons and of the configuration after the log lost entries.

use std::time::{Duration, Instant};

use baobabreel_core::config::{Kind, Version};
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};

const LIMIT: Duration = Duration::from_secs(40);

fn specs() -> Vec<NodeSpec> {
    vec![NodeSpec::new("a1", "hobart-a", "catalogue"), NodeSpec::new("b1", "hobart-b", "catalogue")]
}

fn publish_many(mesh: &Mesh, count: u64) -> u64 {
    let mut offset = mesh.publish(ChangeBuilder::new("service").service("catalogue").build());
    for i in 1..count {
        let route = format!("r{i}");
        let prefix = format!("/r{i}");
        let change = ChangeBuilder::new(&route).route(&route, &prefix, "catalogue", true).build();
        offset = mesh.publish(change);
    }
    offset
}

async fn wait_until(what: &str, check: impl Fn() -> bool) {
    let start = Instant::now();
    while !check() {
        assert!(start.elapsed() < LIMIT, "{what}: not within {LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Guards against a cold daemon that cannot start, or starts from a part of the configuration,
/// after the log dropped the first entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn cold_daemon_starts_from_a_snapshot() {
    let mut mesh = Mesh::start(specs()).await.expect("mesh starts");
    let offset = publish_many(&mesh, 520);
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    wait_until("a snapshot", || !mesh.log.records("snapshots").is_empty()).await;
    mesh.log.set_faults(|faults| faults.retain_count = Some(5));
    mesh.crash(0);
    mesh.crash(1);
    for index in 0..2 {
        mesh.restart(index).await.expect("node starts");
    }
    mesh.wait_version(offset, LIMIT).await.expect("both are at the last version");
    for node in &mesh.nodes {
        let cx = node.daemon.as_ref().expect("daemon runs").context();
        assert_eq!(cx.config.load().routes.len(), 519);
    }
}

/// Guards against a configuration that reverts, or stands still for ever, when the platform
/// replaces the log by an empty one.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn replaced_log_is_continued() {
    let mut mesh = Mesh::start(specs()).await.expect("mesh starts");
    let offset = publish_many(&mesh, 5);
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    let generation = mesh.log.replace_generation();
    wait_until("a snapshot of the new generation", || !mesh.log.records("snapshots").is_empty())
        .await;
    let change = ChangeBuilder::new("later")
        .delete(Kind::Route, "r1", Version { generation: 1, offset: 2 })
        .build();
    let later = mesh.publish(change);
    mesh.restart(1).await.expect("node starts");
    for node in &mesh.nodes {
        let cx = node.daemon.as_ref().expect("daemon runs").context();
        let expected = Version { generation, offset: later };
        wait_until("the new generation", || cx.config.load().version == expected).await;
        assert_eq!(cx.config.load().routes.len(), 3);
    }
}
