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
                let admission = budget.admit(*id, REQUEST, RESPONSE);
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
    assert!(budget.admit(ordinary, REQUEST, RESPONSE).admitted);
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
        assert!(budget.admit(*id, REQUEST, RESPONSE).admitted);
    }
    assert!(budget.resize(ids[7], 0, 12_000 * KIB).is_empty());
    assert!(budget.resize(ids[9], 0, 500 * KIB).is_empty());
    assert_eq!(budget.resize(ids[3], 0, 4_000 * KIB), [ids[7]]);
    assert!(!budget.admit(ids[7], REQUEST, RESPONSE).admitted, "it is being closed");
    budget.close(ids[7]);
    budget.end(ids[7], REQUEST, RESPONSE, Duration::ZERO);
    assert!(budget.admit(ids[0], REQUEST, RESPONSE).admitted);
}

/// Guards against requests that are let in when no connection holds more than one request, and against a budget that
/// does not recover.
#[test]
fn requests_over_the_total_are_refused() {
    let (mut budget, ids) = budget(400);
    let admitted: Vec<_> =
        ids.iter().filter(|id| budget.admit(**id, REQUEST, RESPONSE).admitted).collect();
    assert!((300..400).contains(&admitted.len()), "{}", admitted.len());
    let refused = budget.admit(ids[399], REQUEST, RESPONSE);
    assert!(!refused.admitted && refused.close.is_empty(), "{refused:?}");
    for id in &admitted {
        budget.end(**id, REQUEST, RESPONSE, Duration::ZERO);
    }
    assert!(budget.admit(ids[399], REQUEST, RESPONSE).admitted);
}

/// Guards against connections without a request that fill the total, so that every request is refused.
#[test]
fn idle_connections_leave_room_for_requests() {
    let (mut budget, ids) = budget(LIMITS.connections());
    assert!(ids.len() > 500, "{}", ids.len());
    let admitted = ids.iter().filter(|id| budget.admit(**id, REQUEST, RESPONSE).admitted).count();
    assert!(admitted > 200, "{admitted}");
}

/// Guards against a close of a connection that has just been opened or is in use.
#[test]
fn longest_idle_connections_are_closed_for_others() {
    let (mut budget, ids) = budget(4);
    let late = Duration::from_secs(9);
    let (fresh, _) = (budget.open(late), budget.admit(ids[0], REQUEST, RESPONSE));
    budget.admit(ids[1], REQUEST, RESPONSE);
    budget.end(ids[1], REQUEST, RESPONSE, Duration::from_secs(2));
    assert_eq!(budget.close_idle(2, late), [ids[2], ids[3]]);
    assert_eq!(budget.close_idle(9, late), [ids[1]]);
    budget.close(fresh);
    assert!(budget.close_idle(9, late).is_empty());
}
