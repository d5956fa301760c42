//! Tests the distribution of log entries and documents between daemons.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::membership::{Member, MemberState};
use baobabreel_core::relay::*;
use support::{member, seeded_quickcheck};

const MS: fn(u64) -> Duration = Duration::from_millis;

fn batch(generation: u64, first: u64, texts: &[&str]) -> Batch {
    let entries = texts.iter().map(|text| Arc::from(*text)).collect();
    Batch { generation, first, entries }
}

fn applied(first: u64, entries: usize) -> ReceiveOutcome {
    ReceiveOutcome::Applied { first, entries }
}

fn pull_entries(window: &StreamWindow, from: u64) -> Batch {
    let generation = window.generation();
    match window.answer(Pull { generation, from }) {
        PullAnswer::Entries(batch) => batch,
        other => panic!("offset {from} was refused: {other:?}"),
    }
}

fn retry_after(admission: PullAdmission) -> Duration {
    match admission {
        PullAdmission::RetryAfter(delay) => delay,
        PullAdmission::Granted { ticket } => panic!("pull {ticket} was granted"),
    }
}

/// Guards against members that receive a push twice or never.
#[test]
fn push_tree_covers_every_member_once() {
    fn property(order: Vec<u32>, fan_out: u8) -> bool {
        let fan_out = 1 + usize::from(fan_out) % 16;
        let indexed: Vec<(usize, u32)> = order.into_iter().enumerate().collect();
        let mut reached: BTreeMap<usize, usize> = BTreeMap::new();
        for own_index in 0..indexed.len() {
            let passed_on = children(&indexed, own_index, fan_out);
            assert!(passed_on.len() <= fan_out);
            for (index, _) in passed_on {
                assert!(*index > own_index, "a batch could circulate");
                *reached.entry(*index).or_default() += 1;
            }
        }
        reached.len() == indexed.len().saturating_sub(1) && reached.values().all(|n| *n == 1)
    }
    seeded_quickcheck(300, 1).quickcheck(property as fn(Vec<u32>, u8) -> bool);
    assert_eq!(children(&[1, 2, 3], 3, FAN_OUT), [] as [i32; 0]);
}

/// Guards against relays that are in another data centre or not live, and against daemons that select
/// different relays from the same member table.
#[test]
fn all_daemons_select_the_same_live_relays() {
    use MemberState::{Dead, Draining, Suspect};
    let mut members: Vec<Member> = (0..40).map(|i| member(i, 0)).collect();
    members.extend((40..60).map(|i| member(i, 1)));
    let first = relays(&members, &members[0], RELAYS_PER_DATA_CENTRE);
    assert_eq!(first.len(), 2);
    for own in &members {
        let chosen = relays(&members, own, RELAYS_PER_DATA_CENTRE);
        assert!(chosen == first || own.data_centre == "kingston-1");
        let is_in_own_data_centre =
            |id: &&str| (**id >= *"tas-south-daemon-0040") == (own.data_centre == "kingston-1");
        assert!(chosen.iter().all(is_in_own_data_centre));
    }
    let (failed_relay, second) = (first[0].to_owned(), first[1].to_owned());
    for state in [Dead, Suspect] {
        let mut changed = members.clone();
        let i = changed.iter().position(|m| m.id == failed_relay).unwrap_or_default();
        changed[i].state = state;
        let own = &changed[usize::from(i == 0)];
        assert_eq!(relays(&changed, own, RELAYS_PER_DATA_CENTRE)[0], second);
    }
    members[3].state = Draining;
    let order = push_order(&members, &members[0], &failed_relay);
    assert_eq!((order.len(), &order[0]), (40, &failed_relay));
    let other = push_order(&members, &members[0], &second);
    assert_ne!(order[1..9], other[1..9]);
}

/// Guards against a window whose offsets go wrong or that returns wrong entries.
#[test]
fn window_matches_the_stream_for_any_batches() {
    fn property(pushes: Vec<(u8, u8)>) -> bool {
        let text = |offset: u64| format!("entry {offset}");
        let mut window = StreamWindow::new(1, 0);
        pushes.into_iter().all(|(first, len)| {
            let before = window.next();
            let first = (before + u64::from(first % 8)).saturating_sub(4);
            let end = first + u64::from(len % 8);
            let texts: Vec<String> = (first..end).map(text).collect();
            let texts: Vec<&str> = texts.iter().map(String::as_str).collect();
            let entries = end.saturating_sub(before) as usize;
            let expected = match (first > before, entries) {
                (true, _) => ReceiveOutcome::Gap { from: before },
                (false, 0) => ReceiveOutcome::Duplicate,
                _ => applied(before, entries),
            };
            let matches = window.receive(&batch(1, first, &texts)) == expected;
            let kept = (window.first()..window.next()).all(|from| {
                let batch = pull_entries(&window, from);
                batch.first == from && *batch.entries[0] == *text(from)
            });
            matches && kept
        })
    }
    seeded_quickcheck(300, 2).quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

/// Guards against windows and answers without a size limit.
#[test]
fn window_is_bounded_by_entries_and_bytes() {
    let mut window = StreamWindow::new(1, 0);
    for first in 0..2_000 {
        window.receive(&batch(1, first, &["x"]));
    }
    let oldest = 2_000 - WINDOW_ENTRIES as u64;
    assert_eq!((window.first(), window.next()), (oldest, 2_000));
    let large = "x".repeat(200 * 1024);
    for first in 2_000..2_100 {
        window.receive(&batch(1, first, &[&large]));
        assert!(window.bytes() <= WINDOW_BYTES);
    }
    let kept = WINDOW_BYTES / large.len();
    assert_eq!(window.next() - window.first(), kept as u64);
    let answer = pull_entries(&window, window.first());
    assert_eq!(answer.entries.len(), PULL_BYTES / large.len());
    let huge = "x".repeat(WINDOW_BYTES + 1);
    window.receive(&batch(1, 2_100, &[&huge]));
    assert_eq!((window.bytes(), window.first()), (0, 2_101));
}

/// Guards against a return to an older generation of the log and against a mix of two generations.
#[test]
fn generations_are_kept_apart() {
    let mut window = StreamWindow::new(2, 10);
    let older = window.receive(&batch(1, 10, &["old"]));
    assert_eq!(older, ReceiveOutcome::OlderGeneration);
    let newer = ReceiveOutcome::NewerGeneration { generation: 3 };
    assert_eq!(window.receive(&batch(3, 10, &["new"])), newer);
    assert_eq!(window.next(), 10);
    let pull = |generation, from| Pull { generation, from };
    let other = PullAnswer::OtherGeneration { generation: 2 };
    assert_eq!(window.answer(pull(1, 0)), other);
    assert_eq!(window.answer(pull(2, 9)), PullAnswer::TooOld { first: 10 });
    let ahead = window.answer(pull(2, 11));
    assert_eq!(ahead, PullAnswer::UpToDate { next: 10 });
    assert!(!window.restart(1, 99) && !window.restart(2, 9));
    assert!(window.restart(3, 0));
    assert_eq!((window.generation(), window.next()), (3, 0));
}

/// Guards against more than 4 concurrent pulls, places that are never freed, and refused daemons that all
/// retry at the same time.
#[test]
fn pulls_are_limited_and_retries_spread() {
    use PullAdmission::{Granted, RetryAfter};
    let mut limiter = PullLimiter::default();
    for ticket in 0..4 {
        assert_eq!(limiter.begin(MS(0), 0), Granted { ticket });
    }
    let random = |i: u64| 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(i);
    let refused = (1..=40).map(|i| limiter.begin(MS(1), random(i)));
    let mut retries: Vec<Duration> = refused.map(retry_after).collect();
    retries.sort_unstable();
    retries.dedup();
    assert!(retries.len() > 30 && retries[retries.len() - 1] > MS(1_500));
    assert!(retries[0] >= MS(250) && retries[retries.len() - 1] <= MS(5_250));
    limiter.end(0);
    limiter.end(0);
    assert_eq!(limiter.begin(MS(2), 0), Granted { ticket: 4 });
    assert!(matches!(limiter.begin(MS(3), 0), RetryAfter(_)));
    assert_eq!(limiter.begin(MS(10_001), 0), Granted { ticket: 5 });
}

/// Guards against stale daemons that never pull, pull only from the log, or all pull at the same time after
/// an outage.
#[test]
fn stale_daemon_alternates_between_peers_and_the_log() {
    let mut staleness = Staleness::new(MS(0));
    assert_eq!(staleness.tick(STALE_AFTER - MS(1), u64::MAX), None);
    let mut asked = Vec::new();
    for now in (3_000..60_000).step_by(100) {
        if let Some(ask) = staleness.tick(MS(now), u64::MAX) {
            asked.push((now, ask));
        }
    }
    let kinds: Vec<PullSource> = asked.iter().map(|(_, ask)| *ask).collect();
    use PullSource::{Log, Peer};
    assert_eq!(kinds[..6], [Peer, Peer, Log, Peer, Log, Peer]);
    let times: Vec<u64> = asked.iter().map(|(now, _)| *now).collect();
    assert_eq!(times[..6], [3_500, 4_500, 6_500, 10_500, 18_500, 28_500]);
    staleness.heard(MS(60_000));
    assert_eq!(staleness.tick(MS(62_900), 0), None);
    assert_eq!(staleness.tick(MS(63_000), 0), Some(Peer));
    staleness.retry_after(MS(63_000), MS(700));
    assert_eq!(staleness.tick(MS(63_600), 0), None);
    assert_eq!(staleness.tick(MS(63_700), 0), Some(Peer));
}

fn attestation(nonce: u64, since_us: i64) -> Attestation {
    Attestation { nonce, generation: 1, head: 5, since_us }
}

/// Guards against a lease on a proof that is older than its computed age. A proof passes over several hops
/// whose clocks started at different times; messages are delayed and receivers pause for any time.
#[test]
fn proof_age_is_never_underestimated() {
    fn property(proven_at: u32, hops: Vec<(u32, u16, u16, u16, u16)>) -> bool {
        let mut confirmation = Confirmation::default();
        let proven_at = 10_000_000 + u64::from(proven_at % 1_000_000);
        // True times in microseconds; a daemon's clock shows the true time minus its start.
        let clock = |true_time: u64, start: u64| Duration::from_micros(true_time - start);
        let mut start = 0;
        let mut time = proven_at;
        confirmation.confirm(1, 5, clock(proven_at, start));
        for (next_start, before, under_way, held_back, pause) in hops {
            let us = |ms: u16| u64::from(ms % 4_000) * 1_000;
            let next_start = u64::from(next_start % 9_000_000);
            let mut challenges = Challenges::default();
            let sent = (time + us(before)).saturating_sub(3_000_000).max(9_000_000);
            let nonce = challenges.issue(clock(sent, next_start), 77);
            let received = sent + us(under_way);
            let received_at = clock(received, start);
            let attested = confirmation.attest(ReceivedChallenge { nonce, received_at });
            time = time.max(received) + us(held_back) + us(pause);
            let now = clock(time, next_start);
            let mut next = Confirmation::default();
            if !attested.is_some_and(|a| next.accept(&a, &challenges, now)) {
                return true;
            }
            if next.age(now) < Some(Duration::from_micros(time - proven_at)) {
                return false;
            }
            (confirmation, start) = (next, next_start);
        }
        true
    }
    seeded_quickcheck(300, 3)
        .quickcheck(property as fn(u32, Vec<(u32, u16, u16, u16, u16)>) -> bool);
}

/// Guards against a push that waited in the socket of a paused receiver and is then taken for fresh.
#[test]
fn push_read_after_a_pause_is_old() {
    let mut challenges = Challenges::default();
    let nonce = challenges.issue(MS(100_000), 1);
    let mut relay = Confirmation::default();
    relay.confirm(1, 5, MS(7_300));
    let received_at = MS(7_000);
    let push = relay.attest(ReceivedChallenge { nonce, received_at });
    let push = push.expect("a proof was confirmed");
    assert_eq!(push.since_us, 300_000);
    let covers = |read_at| {
        let mut own = Confirmation::default();
        assert!(own.accept(&push, &challenges, read_at));
        own.covers(1, 5, LEASE, read_at)
    };
    assert!(covers(MS(100_400)));
    assert!(covers(MS(105_200)));
    assert!(!covers(MS(105_400)), "the pause must count towards the age");
}

/// Guards against proofs that the receiver can't date by a challenge of its own, and against an age that is
/// rounded down.
#[test]
fn attestations_without_a_valid_date_are_refused() {
    let mut challenges = Challenges::default();
    challenges.issue(MS(1_000), 1);
    let date = |attestation, now| challenges.date(&attestation, now);
    assert_eq!(date(attestation(2, 0), MS(1_000)), None);
    assert_eq!(date(attestation(1, 0), MS(1_001) + CHALLENGE_LIFETIME), None);
    assert_eq!(date(attestation(1, -2_000_000), MS(1_500)), None);
    assert_eq!(date(attestation(1, i64::MIN), MS(1_500)), None);
    assert_eq!(date(attestation(1, 1_000_000), MS(3_000)), Some(MS(1_999)));
    assert_eq!(date(attestation(1, -500_000), MS(3_000)), Some(Duration::from_micros(499_500)));
    assert_eq!(date(attestation(1, 2_010_000), MS(3_000)), None);
    assert_eq!(date(attestation(1, i64::MAX), MS(3_000)), None);
}

/// Guards against a lease on a state that lacks entries up to the confirmed head, on another generation, or
/// on a lower head that another daemon confirmed.
#[test]
fn lease_requires_the_confirmed_head() {
    let mut confirmation = Confirmation::default();
    assert!(!confirmation.covers(1, 9, LEASE, MS(0)));
    confirmation.confirm(1, 5, MS(1_000));
    confirmation.confirm(1, 3, MS(2_000));
    confirmation.confirm(1, 9, MS(1_500));
    assert_eq!(confirmation.age(MS(2_500)), Some(MS(500)));
    assert!(!confirmation.covers(1, 4, LEASE, MS(2_500)));
    assert!(confirmation.covers(1, 5, LEASE, MS(2_500)));
    assert!(confirmation.covers(1, 5, LEASE, MS(7_000)));
    assert!(!confirmation.covers(1, 5, LEASE, MS(7_001)));
    assert!(!confirmation.covers(2, 5, LEASE, MS(2_500)));
    confirmation.confirm(2, 0, MS(2_200));
    assert!(!confirmation.covers(1, 5, LEASE, MS(2_500)));
    assert!(confirmation.covers(2, 0, LEASE, MS(2_500)));
}

/// Guards against a data centre whose only relay is cut off from the platform, and against so many readers
/// that they use up the platform's limits.
#[test]
fn documents_have_several_relays_in_each_data_centre() {
    assert_eq!([1, 4, 13, 20, 88].map(document_relay_count), [3, 3, 3, 4, 18]);
}

/// Guards against a daemon that keeps an old document because no other daemon tells it of a newer one, or
/// because those that do fail to deliver it.
#[test]
fn uninformed_daemon_reads_documents_itself() {
    let mut reading = DocumentReadPolicy::default();
    reading.heard(MS(1_000));
    assert_eq!(reading.reason(ReadRole::None, 50, MS(2_000)), None);
    assert_eq!(reading.reason(ReadRole::Relay, 50, MS(2_000)), Some(ReadReason::Relay));
    assert_eq!(reading.reason(ReadRole::None, 20_000, MS(2_000)), Some(ReadReason::Large));
    // A change must be in force within 2 s, including the time to read it.
    assert_eq!(reading.reason(ReadRole::None, 50, MS(2_500)), Some(ReadReason::Silence));
    reading.heard(MS(2_500));
    reading.fell_behind(MS(2_500));
    reading.fell_behind(MS(3_400));
    reading.heard(MS(3_400));
    assert_eq!(reading.reason(ReadRole::None, 50, MS(3_400)), Some(ReadReason::Behind));
    reading.caught_up();
    assert_eq!(reading.reason(ReadRole::None, 50, MS(3_400)), None);
}

/// Guards against a data centre that keeps an old document because all of its relays failed at once, and
/// against relays that the platform has turned away and that nobody notifies.
#[test]
fn relay_notifies_its_data_centre_and_two_members_elsewhere() {
    let all: Vec<Member> = (0..40)
        .map(|i| {
            let data_centre = if i % 2 == 0 { "hobart-a" } else { "hobart-b" };
            Member {
                data_centre: data_centre.to_owned(),
                state: MemberState::Ready,
                ..member(i, 0)
            }
        })
        .collect();
    let own = &all[0];
    let targets = notice_targets(&all, own);
    let targets_elsewhere: Vec<_> =
        targets.iter().filter(|m| m.data_centre != own.data_centre).collect();
    let of_other: Vec<&Member> = all.iter().filter(|m| m.data_centre == "hobart-b").collect();
    let readers = relays(of_other.iter().copied(), of_other[0], document_relay_count(20));
    assert_eq!(targets_elsewhere.len(), 2);
    assert!(targets_elsewhere.iter().all(|target| !readers.contains(&target.id.as_str())));
    let targets_here = targets.len() - targets_elsewhere.len();
    let own_readers = relays(&all, own, document_relay_count(20));
    assert_eq!(targets_here, 19, "all members of the data centre but the sender");
    let reading = all.iter().filter(|member| is_document_relay(&all, member));
    assert_eq!(reading.count(), 8, "4 relays in each data centre");
    assert!(own_readers.iter().chain(&readers).all(|id| {
        all.iter().any(|member| member.id == **id && is_document_relay(&all, member))
    }));
}

/// Guards against readers that all wait on polls which the platform has lost, and against the cost of
/// short polls where there are many readers.
///
/// The load pattern: polls start at any moment, with clocks that differ by up to 100 ms, and are lost at any later one.
#[test]
fn some_poll_of_a_data_centre_ends_soon() {
    /// For each data centre, with the difference of the clocks. A loss has to be noticed, and others have to read,
    /// within the 2 s in which a change has to be in force.
    const LONGEST_BLINDNESS: Duration = Duration::from_millis(1_200);
    const DAY: Duration = Duration::from_secs(1_780_000_000);
    for (members, data_centres) in [(1, 1), (3, 1), (8, 1), (40, 1), (90, 1), (94, 5), (960, 11)] {
        let all: Vec<Member> = (0..members)
            .map(|i| Member {
                state: MemberState::Ready,
                data_centre: format!("dc-{}", i % data_centres),
                ..member(i, 0)
            })
            .collect();
        let readers = all.iter().filter(|own| is_document_relay(&all, own)).count();
        for data_centre in 0..data_centres {
            let data_centre = format!("dc-{data_centre}");
            let mut ends = Vec::new();
            let local = all.iter().filter(|own| own.data_centre == data_centre);
            for (i, own) in local.filter(|own| is_document_relay(&all, own)).enumerate() {
                let turn = PollTurn::of(&all, own);
                assert_eq!(turn.readers * data_centres, readers);
                let clock = DAY + MS(i as u64 * 37 % 100);
                let mut end = MS(i as u64 * 1_741 % 5_000);
                while end < Duration::from_secs(90) {
                    end += turn.poll_time(clock + end);
                    ends.push(end);
                }
            }
            ends.sort();
            ends.retain(|end| (Duration::from_secs(30)..Duration::from_secs(90)).contains(end));
            let gaps = ends.windows(2).map(|pair| pair[1] - pair[0]);
            let longest = gaps.chain([ends[0] - MS(30_000)]).max().expect("there are polls");
            assert!(longest <= LONGEST_BLINDNESS, "{members} members: {longest:?} without an end");
            assert!(ends.len() <= 61, "{members} members: {} polls a minute", ends.len());
        }
    }
}

/// Guards against an endless row of short polls, each of which ends slightly before its time.
#[test]
fn poll_that_ends_early_is_not_repeated_for_the_rest() {
    let turn = PollTurn { rank: 1, readers: 3, data_centre_rank: 0, data_centres: 1 };
    assert_eq!(turn.poll_time(MS(3_000)), MS(1_000));
    assert_eq!(turn.poll_time(MS(3_990)), MS(3_010));
    assert_eq!(turn.poll_time(MS(4_000)), MS(3_000));
    assert_eq!(turn.poll_time(MS(4_010)), MS(2_990));
}

/// Guards against daemons that keep confirming each other's old document, and against a daemon that confirms
/// its document as current after it has lost the platform.
#[test]
fn freshness_age_grows_without_confirmation() {
    let mut reader = Freshness::default();
    assert_eq!(reader.age(MS(0)), None);
    reader.read(MS(100));
    assert_eq!(reader.age(MS(30_000)), Some(MS(0)), "the platform is still being read");
    reader.read(MS(30_100));
    reader.reading_ended();
    assert_eq!(reader.age(MS(30_500)), Some(MS(400)));
    let mut notified = Freshness::default();
    assert!(notified.confirmed_by_peer(MS(400), MS(7_000)));
    assert_eq!(notified.age(MS(7_300)), Some(MS(700)));
    let mut late = Freshness::default();
    assert!(
        !late.confirmed_by_peer(MS(1_300), MS(8_000)),
        "a confirmation that is too old must not count"
    );
    assert_eq!(late.age(MS(8_000)), None);
    assert_eq!(late.age_by_all(MS(8_000)), Some(MS(1_300)), "it is passed on with its age");
    assert_eq!(notified.age_by_all(MS(7_300)), Some(MS(700)));
    let mut known = notified;
    assert!(known.confirmed_by_peer(MS(900), MS(7_300)));
    assert_eq!(known.age(MS(7_300)), Some(MS(700)), "the earlier confirmation is more recent");
}

/// Guards against a daemon that keeps a copy that no other daemon confirms instead of reading from the
/// platform.
#[test]
fn unconfirmed_copy_is_overdue() {
    let mut freshness = Freshness::default();
    assert!(!freshness.is_overdue(MS(9_000)), "no copy was taken");
    freshness.copy_taken(MS(100));
    assert!(freshness.is_unknown() && !freshness.is_overdue(MS(200)));
    assert!(freshness.is_overdue(MS(250)));
    assert!(freshness.confirmed_by_peer(MS(400), MS(260)));
    assert!(!freshness.is_unknown() && !freshness.is_overdue(MS(9_000)));
}

/// Guards against a data centre in which nobody reads because its relays are turned away, and against daemons
/// that go on reading in their place afterwards.
#[test]
fn others_read_in_place_of_relays_that_cannot() {
    let all: Vec<Member> =
        (0..20).map(|i| Member { state: MemberState::Ready, ..member(i, 0) }).collect();
    let members: Vec<&Member> = all.iter().collect();
    let (relays, others): (Vec<&Member>, Vec<&Member>) =
        all.iter().partition(|own| is_document_relay(&all, own));
    let count = |lost: &LostReaders, role, now| {
        let is_able = |other: &Member| !lost.contains(&other.id, now);
        all.iter().filter(|own| ReadRole::of(&members, own, is_able) == role).count()
    };
    let mut lost = LostReaders::default();
    assert!(lost.record(others[0].id.clone(), false, MS(0)));
    assert_eq!(count(&lost, ReadRole::Substitute, MS(0)), 0, "nobody relies on that one");
    for (already_lost, relay) in relays.iter().enumerate() {
        assert!(lost.record(relay.id.clone(), false, MS(100)));
        assert_eq!(count(&lost, ReadRole::Relay, MS(100)), relays.len(), "relays go on trying");
        let substitutes = (already_lost + 1) * relays.len();
        assert_eq!(count(&lost, ReadRole::Substitute, MS(100)), substitutes);
    }
    assert_eq!(count(&lost, ReadRole::Substitute, MS(100)), others.len(), "all of them");
    assert!(!lost.record(relays[0].id.clone(), false, MS(3_100)), "this is known");
    assert_eq!(count(&lost, ReadRole::Substitute, MS(8_099)), relays.len());
    assert_eq!(count(&lost, ReadRole::Substitute, MS(8_100)), 0, "no relay has said so since");
    assert!(lost.record(relays[1].id.clone(), false, MS(9_000)));
    assert_eq!(count(&lost, ReadRole::Substitute, MS(9_000)), relays.len());
    assert!(lost.record(relays[1].id.clone(), true, MS(9_100)));
    assert_eq!(count(&lost, ReadRole::Substitute, MS(9_100)), 0);
}

/// Guards against a data centre that hears of a document late because all of its members are relays, and the
/// platform has turned them away.
#[test]
fn relays_of_a_small_data_centre_are_notified() {
    let all: Vec<Member> = (0..6)
        .map(|i| {
            let data_centre = if i < 3 { "hobart-a" } else { "hobart-b" };
            Member {
                data_centre: data_centre.to_owned(),
                state: MemberState::Ready,
                ..member(i, 0)
            }
        })
        .collect();
    assert!(all.iter().all(|member| is_document_relay(&all, member)));
    for own in &all {
        let targets = notice_targets(&all, own);
        let local = targets.iter().filter(|target| target.data_centre == own.data_centre);
        assert_eq!(local.count(), 2);
        assert_eq!(targets.len(), 4, "two of them in the other data centre");
        assert!(targets.iter().all(|target| target.id != own.id));
    }
}

/// Guards against a herd of reads: each of many losses makes all others read at once, which makes their reads slow and
/// so causes further losses.
#[test]
fn many_losses_raise_few_alarms() {
    let mut lost = LostReaders::default();
    let mut alarms = 0;
    for ms in (0..4_000).step_by(10) {
        let daemon = format!("daemon-{}", ms / 10 % 20);
        let is_lost = ms / 200 % 2 == 0;
        let is_new = lost.record(daemon, !is_lost, MS(ms));
        if is_new && is_lost && lost.raises_alarm(MS(ms)) {
            alarms += 1;
        }
    }
    assert!((1..=4).contains(&alarms), "{alarms} alarms in 4 s");
}
