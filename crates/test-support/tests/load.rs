//! Guards the load generator's judgement of answers, which the measurements rely on.

use std::time::Duration;

use baobabreel_test_support::backend::{BackendServer, BackendSettings, JournalEntry};
use baobabreel_test_support::load::{CallEnd, JournalCheck, Key, LoadPlan, RequestTemplate};

const SECOND: Duration = Duration::from_secs(1);

async fn backend() -> BackendServer {
    // A busy machine must not lead to shed requests.
    let settings = BackendSettings::new("b1", "bidding").slots(50).shed_above_slots_by(100_000);
    BackendServer::start(settings).await.unwrap()
}

fn bids(server: &BackendServer) -> LoadPlan {
    let bid = RequestTemplate::command("command", "/bids", Key::UuidV7).body_bytes(300);
    let listing = RequestTemplate::lookup("lookup", "/lots").response_bytes(2_000).weight(3.0);
    LoadPlan::new(7).target(server.addr()).template(bid).template(listing)
}

/// Guards against a generator that finds faults in right answers, or leaves its rate or mix.
#[tokio::test]
async fn a_sound_backend_gives_a_clean_report() {
    let server = backend().await;
    let plan = bids(&server).step(SECOND / 5, 200.0).step(SECOND / 5, 1_000.0);
    let report = plan.run().await.unwrap();
    let sent = report.calls.len();
    assert!((180..300).contains(&sent), "{sent}");
    assert_eq!(report.by_status, [(200, sent as u64)].into());
    assert_eq!((report.mismatches.len(), report.lost, report.unreached), (0, 0, 0));
    let (lookups, bids) = (&report.classes["lookup"], &report.classes["command"]);
    assert!(lookups.succeeded > 2 * bids.succeeded && bids.succeeded > 20);
    assert_eq!(lookups.latency.len(), lookups.succeeded);
    assert_eq!(report.check(&[server.journal()]), JournalCheck::default());
}

/// Guards against a check that overlooks doubled, lost or wrongly refused requests.
#[tokio::test]
async fn the_check_finds_doubled_lost_and_falsely_refused_requests() {
    let server = backend().await;
    let mut report = bids(&server).step(SECOND / 5, 200.0).run().await.unwrap();
    let bid = report.calls.iter().find(|call| call.at_most_once).unwrap().request_id.clone();
    let once = server.journal();
    let is_bid = |entry: &&JournalEntry| entry.request_id.as_ref() == Some(&bid);
    let again = once.iter().filter(is_bid).cloned().collect();
    assert_eq!(report.check(&[once.clone(), again]).doubled, [bid.as_str()]);
    let without = once.iter().filter(|entry| !is_bid(entry)).cloned().collect();
    assert_eq!(report.check(&[without]).lost, [bid.as_str()]);
    let call = report.calls.iter_mut().find(|call| call.request_id == bid).unwrap();
    if let CallEnd::Answered { outcome, status, .. } = &mut call.end {
        (*status, *outcome) = (503, baobabreel_test_support::load::Outcome::NotRun);
    }
    assert_eq!(report.check(&[once]).false_not_run, [bid]);
}

/// Guards against cut answers that are taken for whole ones, and against latency that leaves out
/// the wait for a free place.
#[tokio::test]
async fn cut_answers_are_lost_and_waits_count_as_latency() {
    let server = backend().await;
    server.set_faults(|faults| faults.cut_answers = 3);
    let lookup = RequestTemplate::lookup("lookup", "/lots").header("x-work-us", "20000");
    let plan = LoadPlan::new(7).target(server.addr()).template(lookup).step(SECOND / 5, 200.0);
    let report = plan.concurrency(1).run().await.unwrap();
    assert_eq!(report.lost, 3);
    let lookups = &report.classes["lookup"];
    assert_eq!(lookups.succeeded, report.calls.len() as u64 - 3);
    assert!(lookups.latency.max() > 5 * lookups.service_time.value_at_quantile(0.5));
}

/// Guards against a repeat with another key or request id, and against repeats of requests without
/// a key, which a caller could not make safely.
#[tokio::test]
async fn only_keyed_requests_without_an_answer_are_repeated() {
    let server = backend().await;
    server.set_faults(|faults| faults.cut_answers = u32::MAX);
    let keyed = RequestTemplate::command("keyed", "/bids", Key::Untimed);
    let plain = RequestTemplate::command("plain", "/bids", Key::None);
    let plan = LoadPlan::new(7).target(server.addr()).template(keyed).template(plain);
    let report = plan.step(SECOND / 5, 50.0).repeats(2).run().await.unwrap();
    let journal = server.journal();
    for call in &report.calls {
        let is_same = |entry: &&JournalEntry| {
            entry.request_id.as_ref() == Some(&call.request_id)
                && entry.idempotency_key == call.idempotency_key
        };
        let sent = journal.iter().filter(is_same).count();
        assert_eq!(sent, if call.class == "keyed" { 3 } else { 1 });
    }
    let keyed = report.calls.iter().filter(|call| call.class == "keyed").count();
    assert!(keyed > 0 && keyed < report.calls.len());
    assert_eq!(report.check(&[journal]).doubled.len(), keyed);
}
