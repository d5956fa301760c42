//! Requests that clients send ahead, and slots of clients that lag.

use std::time::Duration;

use baobabreel_core::admission::{Action, Admission, ClientState, Decision, Ticket, TicketId};
use baobabreel_core::config::Class;

const MS: Duration = Duration::from_millis(1);
const DEADLINE: Duration = Duration::from_secs(5);

fn ticket(id: TicketId, class: Class) -> Ticket<'static> {
    let (tenant, target) = (None, None);
    Ticket { id, class, route: "lots", deadline: DEADLINE, target, tenant, nested: false }
}

fn sent_ahead(ahead: u32) -> ClientState {
    ClientState { ahead, is_sending: false }
}

/// Admission whose only slot is taken and whose queue holds 8 requests of one connection, numbered from 1.
fn full_of_one_connection(class: Class) -> Admission {
    let mut admission = Admission::builder().slots(1).queue_len(8).build();
    assert_eq!(admission.offer(ticket(0, class), MS).decision, Decision::Start);
    for id in 1..=8 {
        let ahead = u32::try_from(id).expect("small");
        let offer = admission.offer_of(sent_ahead(ahead), ticket(id, class), MS);
        assert_eq!(offer.decision, Decision::Queued);
    }
    admission
}

/// Guards against a connection that keeps others out of the queue with requests that it sends ahead.
#[test]
fn request_of_another_connection_gets_in_and_starts_first() {
    let mut admission = full_of_one_connection(Class::Lookup);
    let offer = admission.offer(ticket(9, Class::Lookup), MS * 2);
    assert_eq!(offer.decision, Decision::Queued);
    let evicted: Vec<_> =
        offer.evicted.iter().map(|action| matches!(action, Action::Refuse { id: 8, .. })).collect();
    assert_eq!(evicted, [true], "the last one that was sent ahead gives way");
    assert_eq!(admission.finish(0, MS * 3), [Action::Start(9)]);
}

/// Guards against a share that grows with what is sent ahead: one more of the same connection changes nothing.
#[test]
fn one_more_request_ahead_is_refused() {
    let mut admission = full_of_one_connection(Class::Lookup);
    let offer = admission.offer_of(sent_ahead(9), ticket(9, Class::Lookup), MS * 2);
    assert!(matches!(offer.decision, Decision::Refuse { .. }), "{offer:?}");
    assert!(offer.evicted.is_empty(), "{offer:?}");
}

/// Guards against few connections that send far ahead on an urgent route and keep all lower classes out.
#[test]
fn far_ahead_is_after_all_classes() {
    let mut admission = Admission::builder().slots(1).queue_len(4).build();
    assert_eq!(admission.offer(ticket(0, Class::Command), MS).decision, Decision::Start);
    for id in 1..=4 {
        let offer = admission.offer_of(sent_ahead(20), ticket(id, Class::Command), MS);
        assert_eq!(offer.decision, Decision::Queued);
    }
    assert_eq!(admission.offer(ticket(9, Class::Lookup), MS * 2).decision, Decision::Queued);
    assert_eq!(admission.finish(0, MS * 3), [Action::Start(9)]);
}

/// Guards against a few requests sent ahead that lose the precedence of their class.
#[test]
fn few_ahead_keep_their_class() {
    let mut admission = Admission::builder().slots(1).queue_len(4).build();
    assert_eq!(admission.offer(ticket(0, Class::Command), MS).decision, Decision::Start);
    assert_eq!(admission.offer(ticket(1, Class::Lookup), MS).decision, Decision::Queued);
    let offer = admission.offer_of(sent_ahead(3), ticket(2, Class::Command), MS);
    assert_eq!(offer.decision, Decision::Queued);
    assert_eq!(admission.finish(0, MS * 3), [Action::Start(2)]);
}

/// Admission with 4 slots that are all taken by requests which have been sent, from 100 on, and whose queue holds so many
/// requests whose clients still send them, numbered from 1.
fn full_of_arriving(class: Class, count: u64) -> Admission {
    let mut admission = Admission::builder().slots(4).queue_len(40).build();
    for id in 100..104 {
        assert_eq!(admission.offer(ticket(id, class), MS).decision, Decision::Start);
    }
    for id in 1..=count {
        let offer = admission.offer_of(arriving(), ticket(id, class), MS);
        assert_eq!(offer.decision, Decision::Queued);
    }
    admission
}

fn arriving() -> ClientState {
    ClientState { ahead: 0, is_sending: true }
}

/// Guards against clients that do not send what they announced and take the slots of requests that have been sent.
#[test]
fn request_that_was_sent_starts_before_most_that_arrive() {
    let mut admission = full_of_arriving(Class::Lookup, 20);
    assert_eq!(admission.offer(ticket(30, Class::Lookup), MS * 2).decision, Decision::Queued);
    let started: Vec<_> = (100..104).flat_map(|id| admission.finish(id, MS * 3)).collect();
    let expected = [1, 2, 30, 3].map(Action::Start);
    assert_eq!(started, expected, "half of the slots are shared, and the rest of them wait");
}

/// Guards against crowds on an urgent route that keep all lower classes out by not sending their bodies.
#[test]
fn many_that_arrive_lose_the_precedence_of_their_class() {
    let mut admission = full_of_arriving(Class::Command, 20);
    assert_eq!(admission.offer(ticket(30, Class::Lookup), MS * 2).decision, Decision::Queued);
    let mut started = Vec::new();
    for (id, at) in (100..104).chain(1..9).zip(3..) {
        started.extend(admission.finish(id, MS * at));
    }
    assert!(started.contains(&Action::Start(30)), "{started:?}");
}

/// Guards against uploads that never start while requests that have been sent come without end.
#[test]
fn some_that_arrive_keep_their_turn() {
    let mut admission = full_of_arriving(Class::Lookup, 2);
    for id in 30..60 {
        let _decision = admission.offer(ticket(id, Class::Lookup), MS * 2);
    }
    assert_eq!(admission.finish(100, MS * 3), [Action::Start(1)]);
    assert_eq!(admission.finish(101, MS * 3), [Action::Start(2)]);
}

/// Guards against a client that is interrupted although nobody waits, and against a slot that stays with one that
/// stands still while others wait.
#[test]
fn slot_is_taken_back_only_while_others_wait() {
    let mut admission = Admission::builder().slots(2).queue_len(4).build();
    let lags = || [(0, MS * 4_000), (1, MS * 20)].into_iter();
    for id in 0..1 {
        assert_eq!(admission.offer(ticket(id, Class::Lookup), MS).decision, Decision::Start);
        assert!(admission.choose_lagging(lags()).is_empty(), "a slot is free");
    }
    assert_eq!(admission.offer(ticket(1, Class::Lookup), MS).decision, Decision::Start);
    assert_eq!(admission.offer(ticket(2, Class::Lookup), MS).decision, Decision::Queued);
    assert_eq!(admission.choose_lagging(lags()), [0]);
    assert_eq!(admission.cancel(0, MS * 2), [Action::Start(2)]);
}

/// Guards against requests that wait and are taken for holders of slots.
#[test]
fn waiting_requests_hold_no_slot() {
    let admission = full_of_one_connection(Class::Lookup);
    assert!(admission.choose_lagging([(3, DEADLINE)].into_iter()).is_empty());
}

/// Guards against slow readers whose time counts as run time, so that others are refused for a wait that is not.
#[test]
fn lag_does_not_count_as_run_time() {
    let mut admission = Admission::builder().slots(1).queue_len(8).build();
    for id in 0..20 {
        let start = DEADLINE * u32::try_from(id).expect("small");
        let late = Ticket { deadline: start + DEADLINE, ..ticket(id, Class::Lookup) };
        assert_eq!(admission.offer(late, start).decision, Decision::Start);
        let _none = admission.finish_after_lag(id, MS * 4_000, start + MS * 4_010);
    }
    let now = DEADLINE * 20;
    let late = |id| Ticket { deadline: now + MS * 200, ..ticket(id, Class::Lookup) };
    assert_eq!(admission.offer(late(30), now).decision, Decision::Start);
    assert_eq!(admission.offer(late(31), now).decision, Decision::Queued);
}
