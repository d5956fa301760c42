//! Helpers that the tests of several parts share.
//!
//! Tests wait on conditions with generous limits; the bounds that they assert are those of the
//! design page.

mod crowd;
mod fleet;
mod raw;

use std::time::{Duration, Instant};

use baobabreel_core::config::ChangeSet;
use baobabreel_test_support::backend::{BackendFaults, JournalEntry};
use baobabreel_test_support::load::{CallEnd, Key, LoadPlan, LoadReport, RequestTemplate};
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};

pub use crowd::{Crowd, Habit};
pub use fleet::{Fleet, FleetNode};
pub use raw::{RawAnswer, RawBackend, exchange, h1, h2};

/// Longest wait for a condition that must come true.
pub const LIMIT: Duration = Duration::from_secs(40);

/// Four nodes of one service in two data centres.
#[must_use]
pub fn specs() -> Vec<NodeSpec> {
    [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b")]
        .map(|(name, site)| NodeSpec::new(name, &format!("hobart-{site}"), "catalogue"))
        .to_vec()
}

/// Route `/lots` for lookups and route `/bids` for commands, both of service `catalogue`.
#[must_use]
pub fn first_change() -> ChangeSet {
    ChangeBuilder::new("first")
        .service("catalogue")
        .class_route("lots", "/lots", "catalogue", "lookup")
        .class_route("bids", "/bids", "catalogue", "command")
        .build()
}

/// Starts nodes with [`first_change`] in force.
///
/// # Panics
///
/// They are not ready within [`LIMIT`].
pub async fn ready_mesh(specs: Vec<NodeSpec>) -> Mesh {
    let mesh = Mesh::start(specs).await.expect("mesh starts");
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    mesh
}

/// Load of lookups, commands and commands with keys; each runs for `work` on its backend server.
#[must_use]
pub fn mixed_load(seed: u64, lasting: Duration, rate: f64, work: Duration) -> LoadPlan {
    let work_us = work.as_micros().to_string();
    let lookup = RequestTemplate::lookup("lookup", "/lots/7").response_bytes(20_000);
    let command = RequestTemplate::command("command", "/bids", Key::None).body_bytes(300);
    let keyed = RequestTemplate::command("keyed", "/bids", Key::UuidV7).body_bytes(300);
    LoadPlan::new(seed)
        .template(lookup.header("x-work-us", &work_us))
        .template(command.header("x-work-us", &work_us))
        .template(keyed.header("x-work-us", &work_us).weight(0.5))
        .step(lasting, rate)
        .repeats(2)
}

/// Checks that no request ran twice, no answer is wrong, and no answer contradicts the journals.
///
/// # Panics
///
/// One of it is not so.
pub fn assert_consistent(report: &LoadReport, journals: &[Vec<JournalEntry>]) {
    let summary = format!(
        "{:?} {:?} lost {} unreached {}",
        report.by_status, report.by_outcome, report.lost, report.unreached
    );
    assert_eq!(report.check(journals), Default::default(), "{summary}");
    assert!(report.mismatches.is_empty(), "{:?}", report.mismatches);
    let succeeded = report.calls.iter().filter(|call| call.end.succeeded());
    assert!(succeeded.count() * 2 > report.calls.len(), "most requests succeed: {summary}");
}

/// Checks that callers' connections broke only for calls that were running at some time between
/// `from` and `to`, and that every other call was answered.
///
/// # Panics
///
/// A call outside that time broke, or one got no answer until after its deadline.
pub fn assert_cut_only(report: &LoadReport, from: Duration, to: Duration) {
    for call in &report.calls {
        let running = call.intended <= to && call.intended + call.latency >= from;
        match call.end {
            CallEnd::Answered { .. } => {}
            CallEnd::Broken => assert!(running, "{call:?}"),
            CallEnd::Unreached | CallEnd::TimedOut => panic!("{call:?}"),
        }
    }
}

/// Node whose daemon gets a [`RawBackend`], beside a second daemon without a backend server of
/// the service.
///
/// # Panics
///
/// They are not ready within [`LIMIT`].
pub async fn raw_mesh() -> (Mesh, RawBackend) {
    let mute = BackendFaults { mute: true, ..BackendFaults::default() };
    let specs = vec![
        NodeSpec::new("a1", "hobart-a", "yard").backend(|backend| backend.faults(mute)),
        NodeSpec::new("a2", "hobart-a", "yard"),
    ];
    let mesh = Mesh::start(specs).await.expect("mesh starts");
    let raw = RawBackend::start("catalogue", mesh.nodes[0].addresses().backend).await;
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    (mesh, raw)
}

/// Journals of the backend servers of a mesh.
#[must_use]
pub fn journals(mesh: &Mesh) -> Vec<Vec<JournalEntry>> {
    let backends = mesh.nodes.iter().map(|node| &node.backend);
    backends.map(|backend| backend.journal()).collect()
}

/// Waits until `check` holds.
///
/// # Panics
///
/// It does not hold within [`LIMIT`].
pub async fn wait_until(what: &str, mut check: impl AsyncFnMut() -> bool) {
    let start = Instant::now();
    while !check().await {
        assert!(start.elapsed() < LIMIT, "{what}: not within {LIMIT:?}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}
