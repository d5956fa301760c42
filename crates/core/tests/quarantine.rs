//! Tests of the decisions about requests that crash backend servers.

use std::time::Duration;

use baobabreel_core::quarantine::*;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a request that ends one backend server after another, and against a trial that takes more of them
/// than are allowed.
///
/// The load pattern: the request comes every tenth of a second at one of 13 daemons for ten minutes; each knows what
/// the others do.
#[test]
fn deadly_request_ends_few_backend_servers() {
    const DEADLY: RequestDigest = 7;
    let mut ledger = Ledger::default();
    let mut runs = 0;
    for step in 0..6_000_u32 {
        let now = SECOND / 10 * step;
        match ledger.decide(DEADLY, now) {
            RunDecision::Run | RunDecision::RunSuspect => {}
            RunDecision::Trial => ledger.begin_trial(DEADLY, now),
            RunDecision::Refuse => continue,
        }
        runs += 1;
        ledger.record_crash(DEADLY, runs, now);
    }
    assert_eq!(runs, 5, "three crashes and two trials");
}

/// Guards against a proper request that is refused because it ran beside a deadly one on each backend server that
/// ended.
#[test]
fn request_that_ran_beside_a_deadly_one_is_cleared_by_its_trial() {
    const BESIDE: RequestDigest = 8;
    let mut ledger = Ledger::default();
    for boot in 1..=3 {
        assert_ne!(ledger.decide(BESIDE, SECOND), RunDecision::Refuse);
        ledger.record_crash(BESIDE, boot, SECOND);
    }
    assert_eq!(ledger.decide(BESIDE, SECOND), RunDecision::Trial);
    ledger.begin_trial(BESIDE, SECOND);
    assert_eq!(ledger.decide(BESIDE, SECOND * 2), RunDecision::Refuse, "one trial at a time");
    assert!(ledger.clear(BESIDE));
    assert_eq!(ledger.decide(BESIDE, SECOND * 2), RunDecision::Run);
}

/// Guards against one unlucky trial that condemns a proper request for good.
#[test]
fn second_trial_comes_after_a_pause() {
    let mut ledger = Ledger::default();
    for boot in 1..=3 {
        ledger.record_crash(8, boot, SECOND);
    }
    ledger.begin_trial(8, SECOND);
    ledger.record_crash(8, 4, SECOND);
    assert_eq!(ledger.decide(8, SECOND * 10), RunDecision::Refuse);
    assert_eq!(ledger.decide(8, SECOND * 11), RunDecision::Trial);
}

/// Guards against one end that counts several times, because several copies of the request ran on the backend server or
/// several daemons report it.
#[test]
fn one_end_counts_once() {
    let mut ledger = Ledger::default();
    for _ in 0..5 {
        ledger.record_crash(7, 1, SECOND);
    }
    let known = ledger.get(7).cloned().expect("it is a suspect");
    assert!(!ledger.merge(7, &known, SECOND));
    assert_eq!(known.crash_count(), 1);
    assert_eq!(ledger.decide(7, SECOND), RunDecision::RunSuspect);
}

/// Guards against ends at different daemons that are not summed, whatever the order in which they hear of them.
#[test]
fn ends_at_several_daemons_are_summed() {
    let mut ledgers = [Ledger::default(), Ledger::default(), Ledger::default()];
    for (boot, ledger) in (1..).zip(&mut ledgers) {
        ledger.record_crash(7, boot, SECOND);
    }
    let [first, second, third] = &mut ledgers;
    for other in [&*third, &*second] {
        let known = other.get(7).expect("it is a suspect");
        assert!(first.merge(7, known, SECOND));
    }
    assert_eq!(first.decide(7, SECOND), RunDecision::Trial);
    let known = first.get(7).cloned().expect("it is a suspect");
    assert!(third.merge(7, &known, SECOND));
    assert_eq!(third.get(7), first.get(7));
    third.begin_trial(7, SECOND);
    let known = third.get(7).cloned().expect("it is a suspect");
    assert!(first.merge(7, &known, SECOND));
    assert_eq!(
        first.decide(7, SECOND * 2),
        RunDecision::Refuse,
        "the trial of another daemon counts"
    );
}

/// Guards against memory that grows with the number of crashes, and against a flood of suspects that makes daemons
/// forget a deadly request.
#[test]
fn flood_of_suspects_leaves_the_deadly_one() {
    const DEADLY: RequestDigest = u128::MAX;
    let mut ledger = Ledger::default();
    for boot in 1..=20 {
        ledger.record_crash(DEADLY, boot, SECOND);
    }
    for digest in 0..10_000 {
        ledger.record_crash(digest, 30, SECOND * 2);
        let evicted = ledger.evict();
        assert!(!evicted.contains(&DEADLY));
        assert!(ledger.iter().count() <= MAX_SUSPECTS);
    }
    assert!(ledger.get(DEADLY).expect("it is a suspect").crash_count() < 20);
    assert_eq!(ledger.decide(DEADLY, SECOND * 3), RunDecision::Trial);
}
