//! Backend servers and daemons that leave under load.

use std::time::{Duration, Instant};

use baobabreel_test_support::load::{CallEnd, LoadReport};
use baobabreel_test_support::mesh::Mesh;
use baobabreel_testsuite::{
    LIMIT, assert_consistent, journals, mixed_load, ready_mesh, specs, wait_until,
};

/// Node that leaves.
const LEAVER: usize = 3;

/// Time in which nobody sends new work to a backend server that leaves.
const DRAINED: Duration = Duration::from_secs(3);

/// Runs load at all daemons, lets a node leave once it works, and returns when it left.
async fn leave_under_load<F>(mesh: &mut Mesh, seed: u64, leave: F) -> (LoadReport, Duration)
where
    F: AsyncFnOnce(&mut Mesh),
{
    let work = Duration::from_millis(50);
    let mut plan = mixed_load(seed, Duration::from_secs(9), 150.0, work);
    for callers in mesh.callers() {
        plan = plan.target(callers);
    }
    let start = Instant::now();
    let load = tokio::spawn(plan.run());
    wait_until("the leaver works", async || mesh.nodes[LEAVER].backend.journal().len() > 20).await;
    let left = start.elapsed();
    leave(mesh).await;
    let ended = start.elapsed();
    let report = load.await.expect("no panic").expect("load runs");
    assert_consistent(&report, &journals(mesh));
    assert_eq!(report.lost, 0, "{:?}\n{}", report.by_status, describe_lost(&report, left, ended));
    (report, left)
}

/// Describes the calls that broke off or timed out, with their times relative to the leaving, which was asked for at
/// `left` and had ended at `ended`.
fn describe_lost(report: &LoadReport, left: Duration, ended: Duration) -> String {
    let is_lost = |end| matches!(end, CallEnd::Broken | CallEnd::TimedOut);
    let lost = report.calls.iter().filter(|call| is_lost(call.end));
    let lines = lost.map(|call| {
        let from = call.intended.as_secs_f64() - left.as_secs_f64();
        let to = from + call.latency.as_secs_f64();
        format!("{:?} from {from:+.4} s to {to:+.4} s: {call:?}", call.end)
    });
    let lasted = ended.saturating_sub(left);
    format!("left within {lasted:?}; lost:\n{}", lines.collect::<Vec<_>>().join("\n"))
}

/// Guards against new work for a backend server that leaves, and against work that its end cuts.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn backend_server_first() {
    let mut mesh = ready_mesh(specs()).await;
    let (report, left) = leave_under_load(&mut mesh, 21, async |mesh| {
        mesh.nodes[LEAVER].backend.drain();
    })
    .await;
    let leaver = &mesh.nodes[LEAVER].backend;
    assert!(leaver.wait_idle(LIMIT).await);
    assert_eq!(leaver.counters().late_work, 0);
    assert_eq!(report.unreached, 0);
    let unkeyed = report.calls.iter().filter(|call| call.idempotency_key.is_none());
    for call in unkeyed {
        let known = call.end.succeeded() || call.end.refused_as_not_run();
        assert!(known, "{call:?}");
        let late = call.intended > left + DRAINED;
        assert!(call.end.succeeded() || !late, "{call:?}");
    }
}

/// Guards against requests that are cut when a daemon ends, and against new work for its backend
/// server.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn daemon_first() {
    let mut mesh = ready_mesh(specs()).await;
    let mut ran = 0;
    let (report, _) = leave_under_load(&mut mesh, 22, async |mesh| {
        let daemon = mesh.nodes[LEAVER].daemon.take().expect("it runs");
        let start = Instant::now();
        let leaving = tokio::spawn(daemon.shutdown());
        // It stays longer than this for the keys that it owned.
        tokio::time::sleep_until((start + DRAINED).into()).await;
        ran = mesh.nodes[LEAVER].backend.journal().len();
        assert!(leaving.await.expect("no panic"), "no request is cut");
    })
    .await;
    assert_eq!(mesh.nodes[LEAVER].backend.journal().len(), ran);
    let others = &mesh.nodes[..LEAVER];
    let more = others.iter().all(|node| node.backend.journal().len() > 50);
    assert!(more, "the others go on");
    assert!(report.unreached > 0, "the daemon ended during the load");
}
