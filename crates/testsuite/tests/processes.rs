//! Daemons and backend servers as processes that are killed, paused and ended under load.

use std::time::{Duration, Instant};

use baobabreel_test_support::load::{Call, CallEnd};
use baobabreel_test_support::mesh::ChangeBuilder;
use baobabreel_test_support::process::{Signal, target_binary};
use baobabreel_testsuite::{
    Fleet, LIMIT, assert_consistent, assert_cut_only, h1, mixed_load, specs, wait_until,
};
use serde_json::json;

/// Node that the tests harm; it is in data centre `hobart-b`.
const VICTIM: usize = 3;

/// Time in which a killed daemon is known to be dead (section 9 of the design).
const DEATH: Duration = Duration::from_secs(5);

/// Time in which a silent connection is found: ping interval 1 s and ping timeout 2 s.
const DETECTION: Duration = Duration::from_secs(3);

/// Time allowed beyond such times on a busy machine.
const MARGIN: Duration = Duration::from_secs(1);

/// Time in which a change is in force everywhere.
const CONVERGENCE: Duration = Duration::from_secs(9);

/// Time in which nobody sends new work to a backend server that leaves.
const DRAINED: Duration = Duration::from_secs(3);

/// The victim is the only backend server of the service in its data centre, so that the other
/// daemon there sends all its requests to it.
async fn fleet() -> Fleet {
    let services = ["catalogue", "catalogue", "yard", "catalogue"];
    Fleet::ready(specs().into_iter().zip(services).collect()).await
}

/// Publishes route `/stock` with the command line and waits until every daemon has it.
async fn publish_with_command_line(fleet: &Fleet) {
    let folder = tempfile::tempdir().expect("a folder");
    let file = folder.path().join("change.json");
    let body = json!({
        "path_prefix": "/stock", "service": "catalogue", "idempotent": true, "timeout_ms": 5000,
    });
    let forms = json!({ "1": { "refs": ["service/catalogue"], "body": body } });
    let change = json!({ "upserts": [{ "key": "route/stock", "forms": forms }] });
    std::fs::write(&file, change.to_string()).expect("the file is written");
    let binary = target_binary("baobabreel").expect("built with the workspace");
    let daemon = format!("http://{}", fleet.nodes[0].operators);
    let mut command = tokio::process::Command::new(binary);
    command.arg("publish").arg(&file).args(["--wait", "--log", &fleet.log.url()]);
    let output = command.args(["--daemon", &daemon]).output().await.expect("it runs");
    assert!(output.status.success(), "{output:?}");
}

/// Guards against requests that run twice or vanish when a daemon is killed, against traffic that
/// does not move away from it, and against a change of the command line that some daemon lacks.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn killed_daemon_loses_and_doubles_nothing() {
    let mut fleet = fleet().await;
    publish_with_command_line(&fleet).await;
    for node in &fleet.nodes {
        assert_eq!(h1(node.callers, "/stock/1", &[], "").await.code(), 200);
    }
    let work = Duration::from_millis(150);
    let mut plan = mixed_load(11, Duration::from_secs(14), 80.0, work);
    for node in &fleet.nodes[..VICTIM] {
        plan = plan.target(node.callers);
    }
    let start = Instant::now();
    let load = tokio::spawn(plan.run());
    let ran_at_victim = |fleet: &Fleet| fleet.nodes[VICTIM].journal().len();
    wait_until("the victim works", async || ran_at_victim(&fleet) > 20).await;
    let killed = start.elapsed();
    fleet.nodes[VICTIM].daemon.signal(Signal::Kill).expect("it runs");
    let status = fleet.nodes[VICTIM].daemon.wait(LIMIT).await;
    assert!(!status.expect("it ends").success());
    let report = load.await.expect("no panic").expect("load runs");
    assert_consistent(&report, &fleet.journals());
    // Callers of other daemons get an answer; one whose body was on the way cannot end whole.
    assert_cut_only(&report, killed, killed + MARGIN);
    // Keys move to another owner only 8 s after the eviction.
    let unkeyed = report.calls.iter().filter(|call| call.idempotency_key.is_none());
    let late: Vec<_> = unkeyed.filter(|call| call.intended > killed + DEATH).collect();
    assert!(late.len() > 50, "{} late requests", late.len());
    let failed: Vec<_> = late.iter().filter(|call| !call.end.succeeded()).collect();
    assert!(failed.is_empty(), "traffic moves: {failed:?}");
}

/// Guards against an older configuration or a second run after a pause that is longer than the
/// lease, and against a daemon that does not come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn paused_daemon_comes_back_without_a_second_run() {
    let fleet = fleet().await;
    let work = Duration::from_millis(20);
    let mut plan = mixed_load(12, Duration::from_secs(25), 100.0, work);
    for node in &fleet.nodes[..VICTIM] {
        plan = plan.target(node.callers);
    }
    let start = Instant::now();
    let load = tokio::spawn(plan.run());
    let victim = &fleet.nodes[VICTIM];
    wait_until("the victim works", async || victim.journal().len() > 20).await;
    let before = victim.status().await.expect("it answers").version;
    victim.daemon.signal(Signal::Stop).expect("it runs");
    let paused = Instant::now();
    let change = ChangeBuilder::new("meanwhile")
        .class_route("stock", "/stock", "catalogue", "lookup")
        .build();
    let offset = fleet.publish(change);
    tokio::time::sleep_until((paused + Duration::from_secs(10)).into()).await;
    victim.daemon.signal(Signal::Continue).expect("it runs");
    let resumed = Instant::now();
    let ran = victim.journal().len();
    let mut newest = before;
    wait_until("the change is in force", async || {
        let Some(status) = victim.status().await else {
            return false;
        };
        assert!(status.version >= newest, "{} after {newest}", status.version);
        newest = status.version;
        newest.offset >= offset
    })
    .await;
    assert!(resumed.elapsed() < CONVERGENCE, "{:?}", resumed.elapsed());
    wait_until("it serves a caller", async || {
        h1(victim.callers, "/stock/1", &[], "").await.code() == 200
    })
    .await;
    wait_until("it gets work again", async || victim.journal().len() > ran + 20).await;
    let report = load.await.expect("no panic").expect("load runs");
    assert_consistent(&report, &fleet.journals());
    let paused = paused - start;
    assert_cut_only(&report, paused, paused + DETECTION + MARGIN);
}

/// Guards against requests that a graceful end cuts, and against new work at a daemon that ends.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn terminated_daemon_cuts_nothing() {
    let mut fleet = fleet().await;
    let work = Duration::from_millis(200);
    let mut plan = mixed_load(13, Duration::from_secs(12), 80.0, work);
    for node in &fleet.nodes {
        plan = plan.target(node.callers);
    }
    let load = tokio::spawn(plan.run());
    let victim = &fleet.nodes[VICTIM];
    wait_until("the victim works", async || victim.journal().len() > 20).await;
    // Keeps the daemon in its drain until well after the time in which others must have stopped.
    let long = tokio::spawn({
        let to = victim.callers;
        async move { h1(to, "/lots/long", &[("x-work-us", "4900000")], "").await }
    });
    wait_until("the long request runs", async || {
        victim.journal().iter().any(|entry| entry.path == "/lots/long")
            || fleet.journals().iter().flatten().any(|entry| entry.path == "/lots/long")
    })
    .await;
    let terminated = Instant::now();
    victim.daemon.signal(Signal::Terminate).expect("it runs");
    tokio::time::sleep_until((terminated + DRAINED).into()).await;
    let ran = victim.journal().len();
    let status = fleet.nodes[VICTIM].daemon.wait(LIMIT).await;
    assert_eq!(status.expect("it ends").code(), Some(0));
    let long = long.await.expect("no panic");
    assert!(long.code() == 200 && long.whole, "{long:?}");
    let report = load.await.expect("no panic").expect("load runs");
    assert_consistent(&report, &fleet.journals());
    let cut: Vec<_> = report
        .calls
        .iter()
        .filter(|call| matches!(call.end, CallEnd::Broken | CallEnd::TimedOut))
        .collect();
    assert!(cut.is_empty(), "{cut:?}");
    assert_eq!(fleet.nodes[VICTIM].journal().len(), ran, "no new work");
    // A key that was issued shortly before its owner left may be answered as unknown (section 5.4).
    let is_uncertain = |call: &&Call| {
        let answered = matches!(call.end, CallEnd::Answered { .. });
        let known = call.end.succeeded() || call.end.refused_as_not_run();
        call.idempotency_key.is_none() && answered && !known
    };
    let uncertain: Vec<_> = report.calls.iter().filter(is_uncertain).collect();
    assert!(uncertain.is_empty(), "{uncertain:?}");
}
