//! Operators' endpoints of a running mesh.

use std::time::{Duration, Instant};

use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};

const LIMIT: Duration = Duration::from_secs(30);

fn specs() -> Vec<NodeSpec> {
    vec![
        NodeSpec::new("a1", "hobart-a", "catalogue"),
        NodeSpec::new("a2", "hobart-a", "catalogue"),
        NodeSpec::new("b1", "hobart-b", "catalogue"),
    ]
}

/// Guards against an operator who has to name every daemon to see the whole mesh, and against a silent
/// daemon that delays the answer or is missing from it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_daemon_collects_the_states_of_all() {
    let mut mesh = Mesh::start(specs()).await.expect("mesh starts");
    let offset = mesh.publish(ChangeBuilder::new("service").service("catalogue").build());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    let operator = mesh.nodes[2].operator();
    let all = operator.mesh_status().await.expect("daemon answers");
    let answered: Vec<_> = all.iter().flatten().collect();
    let names: Vec<&str> = answered.iter().map(|doc| &*doc.daemon).collect();
    assert_eq!(names, ["a1", "a2", "b1"]);
    assert!(answered.iter().all(|doc| doc.version.offset == offset));
    let own = mesh.nodes[0].operator().status().await;
    assert_eq!(answered[0].digest, own.expect("daemon answers").digest);

    mesh.crash(0);
    let asked_at = Instant::now();
    let all = operator.mesh_status().await.expect("daemon answers");
    assert!(asked_at.elapsed() < Duration::from_secs(3));
    let unreachable: Vec<&str> =
        all.iter().filter_map(|doc| doc.as_ref().err().map(|member| &*member.id)).collect();
    assert_eq!((all.len(), unreachable), (3, vec!["a1"]));
}
