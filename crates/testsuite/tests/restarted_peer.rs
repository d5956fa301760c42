//! Calls to a daemon whose restart the caller has not heard of.

use std::time::Duration;

use baobabreel_core::membership::Members;
use baobabreel_daemon::Daemon;
use baobabreel_test_support::mesh::NodeSpec;
use baobabreel_testsuite::{h1, ready_mesh};

/// Time that the request runs, in microseconds; the first query comes earlier than half of it.
const WORK_US: &str = "4000000";

/// Makes `daemon` know the member `id` only by an incarnation that ended an hour ago.
fn forget_restart(daemon: &Daemon, id: &str) {
    let cx = daemon.context();
    let mut members = Members::clone(&cx.members.load());
    let mut member = members.remove(id).expect("the member is known");
    member.incarnation -= u64::try_from(Duration::from_secs(3600).as_millis()).expect("small");
    assert!(members.merge(member));
    cx.set_members(&members);
}

/// Guards against a running call that is given up as lost, because the called daemon takes another
/// incarnation in the query for a sign that it has answered the call.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn long_call_to_a_daemon_whose_restart_is_not_known_is_waited_for() {
    let specs =
        vec![NodeSpec::new("a1", "hobart-a", "yard"), NodeSpec::new("a2", "hobart-a", "catalogue")];
    let mesh = ready_mesh(specs).await;
    let entry = mesh.nodes[0].daemon.as_ref().expect("the daemon runs");
    forget_restart(entry, "a2");
    let headers = [("x-work-us", WORK_US)];
    let answer = h1(mesh.callers()[0], "/bids/7", &headers, "a bid").await;
    assert_eq!((answer.code(), answer.whole), (200, true), "{answer:?}");
    assert_eq!(mesh.nodes[1].backend.journal().len(), 1);
}
