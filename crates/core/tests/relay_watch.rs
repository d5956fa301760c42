//! Tests of when a daemon reads the platform because no relay answers.

#[expect(dead_code, reason = "property checks are used by other tests")]
mod support;

use std::time::Duration;

use baobabreel_core::membership::Member;
use baobabreel_core::relay::*;
use support::member;

const MS: fn(u64) -> Duration = Duration::from_millis;

/// Half a second less than the time within which a document has to be in force; the rest is for the read.
const LIMIT: Duration = Duration::from_millis(1_500);

/// Plays rounds from `begin` to `end`, in which the relays for which `answers` holds at that time answer at once.
/// Returns when the relays were first silent.
fn play(
    watch: &mut RelayWatch,
    (relays, group): (usize, SubstituteGroup),
    (begin, end): (Duration, Duration),
    answers: impl Fn(usize, Duration) -> bool,
) -> Option<Duration> {
    let mut now = begin;
    while now < end {
        now += watch.delay();
        let asked = watch.begin_round(relays, group);
        if asked.into_iter().any(|relay| answers(relay, now)) {
            watch.answered(now);
            continue;
        }
        now += ASK_TIMEOUT;
        watch.unanswered(now);
        // Other tasks look more often than the rounds are.
        let later = (0..250).map(|ms| now + MS(ms)).find(|at| watch.is_silent(*at));
        if later.is_some() {
            return later;
        }
    }
    None
}

/// Guards against a change that comes late because all relays died just before it, whatever the moment and the
/// place of the daemon.
#[test]
fn loss_of_all_relays_is_noticed_in_time() {
    for lost_at in (5_000..6_000).step_by(10).map(MS) {
        for group in 0..10 {
            let mut watch = RelayWatch::default();
            let place = (3, SubstituteGroup(group));
            let silent = play(&mut watch, place, (MS(0), MS(9_000)), |_, now| now < lost_at);
            let silent = silent.expect("the relays are gone");
            assert!(silent >= lost_at && silent - lost_at <= LIMIT, "{lost_at:?} {silent:?}");
        }
    }
}

/// Guards against daemons that all read the platform because some of the relays died.
#[test]
fn one_relay_that_answers_is_enough() {
    for survivor in 0..3 {
        let mut watch = RelayWatch::default();
        let place = (3, SubstituteGroup(0));
        let silent = play(&mut watch, place, (MS(0), MS(60_000)), |relay, _| relay == survivor);
        assert_eq!(silent, None);
    }
}

/// Guards against reads of all daemons at the same moment when their machines go on after a pause, or when all
/// connections were lost once.
#[test]
fn one_lost_round_is_no_loss_of_the_relays() {
    let mut watch = RelayWatch::default();
    watch.answered(MS(0));
    assert_eq!(watch.begin_round(3, SubstituteGroup(0)).len(), 1);
    assert!(!watch.unanswered(MS(60_000)));
    assert!(!watch.is_silent(MS(60_000)));
    assert_eq!(watch.begin_round(3, SubstituteGroup(0)).len(), 3);
    watch.answered(MS(60_010));
    assert!(!watch.is_silent(MS(60_500)));
}

/// Guards against relays of which some are never asked, and against questions without end to lost ones.
#[test]
fn questions_go_round_and_slow_down() {
    let mut watch = RelayWatch::default();
    let mut asked: Vec<usize> = Vec::new();
    for _ in 0..3 {
        asked.extend(watch.begin_round(3, SubstituteGroup(0)));
        watch.answered(MS(0));
    }
    asked.sort_unstable();
    assert_eq!(asked, [0, 1, 2]);
    let mut others = RelayWatch::default();
    let mut asked: Vec<usize> = Vec::new();
    for _ in 0..4 {
        asked.extend(others.begin_round(8, SubstituteGroup(0)));
        let _ = others.unanswered(MS(900));
    }
    asked.sort_unstable();
    asked.dedup();
    assert_eq!(asked.len(), 8, "lost relays are not asked again and again in place of others");
    for _ in 0..10 {
        let _ = watch.unanswered(MS(2_000));
    }
    assert!(watch.delay() >= MS(1_000));
    assert_eq!(RelayWatch::default().begin_round(0, SubstituteGroup(0)), [0; 0]);
}

/// Guards against a large data centre whose daemons all read at the same moment.
#[test]
fn first_group_has_as_many_daemons_as_there_are_relays() {
    let members: Vec<Member> = (0..40).map(|i| member(i, 0)).collect();
    let mut sizes = [0; 5];
    let others = members.iter().filter(|own| !is_document_relay(&members, own));
    for own in others {
        sizes[substitute_group(&members, own).0] += 1;
    }
    let relays = document_relay_count(40);
    assert_eq!(sizes, [relays, relays, relays, relays, 0]);
    let mut first = RelayWatch::default();
    let mut later = RelayWatch::default();
    for (watch, group) in [(&mut first, 0), (&mut later, 1)] {
        for _ in 0..3 {
            let _ = watch.begin_round(relays, SubstituteGroup(group));
            let _ = watch.unanswered(MS(1_050));
        }
    }
    assert!(first.is_silent(MS(1_050)) && !later.is_silent(MS(1_050)));
}
