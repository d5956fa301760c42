//! Memory and connections of callers.

use std::time::Duration;

use baobabreel_core::callers::{CallerBudget, CallerLimits, ConnectionId};

const KIB: u64 = 1024;
const LIMITS: CallerLimits = CallerLimits { total: 16 * 1024 * KIB, request: 200 * KIB };
const REQUEST: u64 = 30 * KIB;
const RESPONSE: u64 = 64 * KIB;

fn budget(connections: usize) -> (CallerBudget, Vec<ConnectionId>) {
    let mut budget = CallerBudget::new(LIMITS);
    let ids = (0..connections).map(|_| budget.open(Duration::ZERO)).collect();
    (budget, ids)
}

/// Sends requests ahead on all connections in turn until none may read; returns the most of one connection.
fn fill(budget: &mut CallerBudget, ids: &[ConnectionId]) -> usize {
    for round in 0.. {
        let mut read = false;
        for id in ids {
            if budget.may_read(*id) && round < 1_000 {
                let admission = budget.admit(*id, REQUEST, RESPONSE, Duration::ZERO);
                assert!(admission.close.is_empty(), "{admission:?}");
                read |= admission.admitted;
            }
        }
        if !read {
            return round;
        }
    }
    0
}

/// Guards against a caller that sends a moderate number of requests ahead and is held up in calm.
#[test]
fn one_connection_may_send_ahead() {
    let (mut budget, ids) = budget(1);
    let ahead = fill(&mut budget, &ids);
    assert!((16..200).contains(&ahead), "{ahead}");
}

/// Guards against many connections that together take the whole total, and keep the first request of another one from
/// being served.
#[test]
fn many_connections_leave_room_for_another() {
    let (mut budget, ids) = budget(100);
    let ahead = fill(&mut budget, &ids);
    assert!(ahead < 4, "{ahead}");
    let ordinary = budget.open(Duration::ZERO);
    assert!(budget.may_read(ordinary));
    assert!(budget.admit(ordinary, REQUEST, RESPONSE, Duration::ZERO).admitted);
    for id in &ids {
        while !budget.may_read(*id) {
            budget.end(*id, REQUEST, RESPONSE, Duration::ZERO);
        }
    }
}

/// Guards against a total that is exceeded, and against a close of an ordinary connection.
#[test]
fn greediest_connection_is_closed_first() {
    let (mut budget, ids) = budget(50);
    for id in &ids {
        assert!(budget.admit(*id, REQUEST, RESPONSE, Duration::ZERO).admitted);
    }
    assert!(budget.resize(ids[7], 0, 12_000 * KIB, Duration::ZERO).is_empty());
    assert!(budget.resize(ids[9], 0, 500 * KIB, Duration::ZERO).is_empty());
    assert_eq!(budget.resize(ids[3], 0, 4_000 * KIB, Duration::ZERO), [ids[7]]);
    assert!(
        !budget.admit(ids[7], REQUEST, RESPONSE, Duration::ZERO).admitted,
        "it is being closed"
    );
    budget.close(ids[7]);
    budget.end(ids[7], REQUEST, RESPONSE, Duration::ZERO);
    assert!(budget.admit(ids[0], REQUEST, RESPONSE, Duration::ZERO).admitted);
}

/// Guards against requests that are let in when no connection holds more than one request, and against a budget that
/// does not recover.
#[test]
fn requests_over_the_total_are_refused() {
    let (mut budget, ids) = budget(400);
    let admitted: Vec<_> = ids
        .iter()
        .filter(|id| budget.admit(**id, REQUEST, RESPONSE, Duration::ZERO).admitted)
        .collect();
    assert!((300..400).contains(&admitted.len()), "{}", admitted.len());
    let refused = budget.admit(ids[399], REQUEST, RESPONSE, Duration::ZERO);
    assert!(!refused.admitted && refused.close.is_empty(), "{refused:?}");
    for id in &admitted {
        budget.end(**id, REQUEST, RESPONSE, Duration::ZERO);
    }
    assert!(budget.admit(ids[399], REQUEST, RESPONSE, Duration::ZERO).admitted);
}

/// Guards against connections without a request that fill the total, so that every request is refused.
#[test]
fn idle_connections_leave_room_for_requests() {
    let (mut budget, ids) = budget(LIMITS.connections());
    assert!(ids.len() > 500, "{}", ids.len());
    let admitted = ids
        .iter()
        .filter(|id| budget.admit(**id, REQUEST, RESPONSE, Duration::ZERO).admitted)
        .count();
    assert!(admitted > 200, "{admitted}");
}

/// Guards against a close of a connection that has just been opened or is in use.
#[test]
fn longest_idle_connections_are_closed_for_others() {
    let (mut budget, ids) = budget(4);
    let late = Duration::from_secs(9);
    let (fresh, _) = (budget.open(late), budget.admit(ids[0], REQUEST, RESPONSE, Duration::ZERO));
    budget.admit(ids[1], REQUEST, RESPONSE, Duration::ZERO);
    budget.end(ids[1], REQUEST, RESPONSE, Duration::from_secs(2));
    assert_eq!(budget.close_idle(2, late), [ids[2], ids[3]]);
    assert_eq!(budget.close_idle(9, late), [ids[1]]);
    budget.close(fresh);
    assert!(budget.close_idle(9, late).is_empty());
}

/// Guards against a refusal of a request that crosses the close of its idle connection, and against the memory of such
/// a connection that counts as if it were about to be released.
#[test]
fn request_that_crosses_the_close_of_an_idle_connection_is_admitted() {
    let (mut budget, ids) = budget(2);
    let late = Duration::from_secs(9);
    assert_eq!(budget.close_idle(2, late), ids);
    assert!(budget.admit(ids[0], REQUEST, RESPONSE, late).admitted);
    assert!(budget.close_idle(2, late).is_empty(), "both are being closed already");
    let rest = LIMITS.total - budget.held();
    assert!(budget.resize(ids[0], 0, rest, late).is_empty());
    let chosen = budget.resize(ids[0], 0, KIB, late);
    assert_eq!(
        chosen,
        [ids[0]],
        "it holds more than the total leaves, as any other connection would"
    );
}

/// Guards against a crowd that holds the total with one unread response each, which keeps all others out.
#[test]
fn lagging_callers_make_room() {
    let (mut budget, ids) = budget(400);
    let held: Vec<_> = ids
        .iter()
        .filter(|id| budget.admit(**id, REQUEST, RESPONSE, Duration::ZERO).admitted)
        .collect();
    for id in &held {
        budget.respond(**id, RESPONSE, REQUEST, Duration::ZERO);
        budget.wait(**id, Duration::ZERO);
    }
    let now = Duration::from_secs(2);
    let ordinary = budget.open(now);
    let admission = budget.admit(ordinary, REQUEST, RESPONSE, now);
    assert!(admission.admitted, "{admission:?}");
    assert!(!admission.close.is_empty() && !admission.close.contains(&ordinary));
}

/// Guards against callers that are waited for and keep others from connecting, and against the close of one that is
/// not.
#[test]
fn lagging_connections_are_closed_for_others() {
    let (mut budget, ids) = budget(8);
    for id in &ids {
        budget.admit(*id, REQUEST, RESPONSE, Duration::ZERO);
    }
    budget.wait(ids[3], Duration::ZERO);
    budget.wait(ids[5], Duration::ZERO);
    budget.record_progress(ids[5], 1 << 20, Duration::from_millis(50));
    let now = Duration::from_secs(3);
    assert!(budget.close_idle(8, now).is_empty(), "all have requests in progress");
    assert_eq!(budget.close_lagging(8, now), [ids[3]]);
    assert!(budget.close_lagging(8, now).is_empty(), "it is being closed");
}

/// Guards against callers that send ahead without a pause, although they are refused.
#[test]
fn refused_callers_that_send_ahead_are_slowed() {
    let (mut budget, ids) = budget(2);
    assert_eq!(budget.pause(ids[0], 50), Duration::ZERO, "nothing was refused");
    let mut last = Duration::ZERO;
    for _ in 0..10 {
        budget.record_response(ids[0], true);
        budget.record_response(ids[1], true);
        assert_eq!(budget.pause(ids[1], 2), Duration::ZERO, "a few requests ahead are read");
        let pause = budget.pause(ids[0], 50);
        assert!(pause >= last && pause <= Duration::from_secs(1), "{pause:?}");
        last = pause;
    }
    assert_eq!(last, Duration::from_secs(1));
    budget.record_response(ids[0], false);
    assert_eq!(budget.pause(ids[0], 50), Duration::ZERO, "it is served again");
}

/// Guards against connections that hold little each, do not read, and keep all others out of a full total.
#[test]
fn excess_of_clients_that_lag_is_closed() {
    let (mut budget, ids) = budget(400);
    for id in &ids {
        budget.resize(*id, 0, 40 * KIB, Duration::ZERO);
        budget.wait(*id, Duration::ZERO);
    }
    assert!(budget.is_full());
    assert!(budget.close_excess(Duration::from_millis(10)).is_empty(), "none lags yet");
    let closed = budget.close_excess(Duration::from_secs(2));
    assert!((1..ids.len()).contains(&closed.len()), "{}", closed.len());
    closed.into_iter().for_each(|id| budget.close(id));
    assert!(!budget.is_full());
}
