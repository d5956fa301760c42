//! Tests who waits and who is refused when there is too little room, in replays of load patterns.

mod load_replay;

use std::time::Duration;

use baobabreel_core::admission::Admission;
use baobabreel_core::config::Class;
use baobabreel_core::retry::ToldTimes;
use load_replay::{Flow, Outcome, Replay, Returns, total};

const HOSTS: usize = 8;
const SLOTS: u32 = 5;

const POST: Flow =
    Flow { route: "post", work: 84, target: 400, limit: 1_500, value: 2.0, ..Flow::LOOKUP };

const NESTED: Flow =
    Flow { route: "nested", work: 30, target: 120, limit: 400, nested: true, ..Flow::LOOKUP };

const OUTER: Flow = Flow { route: "outer", work: 150, target: 1_000, limit: 4_000, ..Flow::LOOKUP };

/// `flow` at a rate that takes `share` of the capacity.
fn at_share(flow: Flow, share: f64) -> Flow {
    let slots = HOSTS as f64 * f64::from(SLOTS);
    Flow { rate: slots * share * 1e3 / flow.work as f64, ..flow }
}

/// Replays `flows`. With `cost_aware` off, class and due time alone decide, as without tenants.
fn replay(
    cost_aware: bool,
    flows: &[Flow],
    (warm_up, secs): (u64, u64),
    seed: u64,
) -> Vec<Outcome> {
    let builder = Admission::builder().slots(SLOTS).cost_aware(cost_aware);
    let outcomes = Replay::run(&builder, HOSTS, flows, (warm_up, secs), seed);
    for (flow, outcome) in flows.iter().zip(&outcomes) {
        let name = flow.tenant.unwrap_or(flow.route);
        println!("seed {seed}, cost-aware {cost_aware}, {name}: {outcome:?}");
    }
    outcomes
}

/// Sum of the use of all answers, weighted by the value of the requests.
fn value(flows: &[Flow], outcomes: &[Outcome]) -> f64 {
    flows.iter().zip(outcomes).map(|(flow, outcome)| flow.value * outcome.use_sum).sum()
}

/// Checks that no flow is served less than half as often as all.
fn check_shares(outcomes: &[Outcome]) {
    let all = total(outcomes).served_share();
    for outcome in outcomes {
        let share = outcome.served_share();
        assert!(share * 2.0 >= all, "served {share:.2} of them, and {all:.2} of all");
    }
}

/// Guards against one of two routes of a class that alone pays for overload, and against callers that are told
/// to come back when there is no room.
///
/// The load pattern: many short lookups beside posts that are longer, worth twice as much and have a later
/// target, together 1.3 to 1.6 times the capacity. Refused callers come back once.
#[test]
fn routes_of_one_class_share_an_overload() {
    for (load, seed) in [(1.3, 1), (1.45, 2), (1.6, 3)] {
        let flows = [at_share(Flow::LOOKUP, load * 0.65), at_share(POST, load * 0.35)];
        let earlier = replay(false, &flows, (3, 9), seed);
        let outcomes = replay(true, &flows, (3, 9), seed);
        check_shares(&outcomes);
        let (before, now) = (value(&flows, &earlier), value(&flows, &outcomes));
        assert!(now >= before, "value {now:.0}, {before:.0} with the earlier policy");
        let all = total(&outcomes);
        let late = f64::from(all.served) - all.use_sum;
        assert!(late * 20.0 <= f64::from(all.served), "much of the work is for late answers");
        assert!(all.refused > 0 && all.waited > 0, "the load does not exceed the capacity");
        assert!(
            all.refused_again * 10 <= all.refused,
            "{} of {} callers were told to come back in vain",
            all.refused_again,
            all.refused
        );
    }
}

/// Guards against a lower class that overtakes a higher one because it is served less often, as its priority says.
///
/// The load pattern: 1.4 times the capacity, of which commands need 0.6 and lookups the rest.
#[test]
fn lower_class_pays_first() {
    let commands = Flow { class: Class::Command, ..at_share(POST, 0.6) };
    let outcomes = replay(true, &[commands, at_share(Flow::LOOKUP, 0.8)], (3, 9), 9);
    check_shares(&outcomes);
    let share = outcomes[0].use_share();
    assert!(share >= 0.95, "{share:.2} of the commands in time");
}

/// Guards against requests that fail at another service because their nested calls are refused here, and against
/// direct work that gets nothing because nested calls go first.
///
/// The load pattern: 1.5 times the capacity, of which nested calls need a half, or nearly all.
#[test]
fn nested_calls_go_first() {
    let flows = [at_share(NESTED, 0.5), at_share(OUTER, 1.0)];
    let outcomes = replay(true, &flows, (3, 9), 4);
    check_shares(&outcomes);
    let nested = outcomes[0];
    assert!(nested.use_share() >= 0.95, "{:.2} of the nested calls in time", nested.use_share());
    for returns in [Returns::AsTold, Returns::Never] {
        let flows = [at_share(NESTED, 0.95), at_share(Flow { returns, ..OUTER }, 0.55)];
        check_shares(&replay(true, &flows, (3, 9), 5));
    }
}

/// Guards against a tenant that takes the room of others by sending far more than usual.
///
/// The load pattern: four tenants need 0.72 of the capacity; then one of them sends 7.5 times as much.
#[test]
fn tenant_uses_only_spare_room_for_a_surge() {
    let tenant = |name| at_share(Flow { tenant: Some(name), ..Flow::LOOKUP }, 0.18);
    let surging = Flow { surge: 7.5, ..tenant("surging") };
    let flows = [surging, tenant("b"), tenant("c"), tenant("d")];
    let outcomes = replay(true, &flows, (8, 14), 6);
    check_shares(&outcomes);
    for outcome in &outcomes[1..] {
        let share = outcome.use_share();
        assert!(share >= 0.9, "{share:.2} of the requests of another tenant were in time");
    }
    let served = f64::from(outcomes[0].served) / f64::from(outcomes[0].offered) * 7.5 * 0.18;
    assert!(served >= 0.3, "the spare room was not used: {served:.2} of the capacity");
}

/// Guards against callers that come back at once, several times, and displace those that wait as told.
///
/// The load pattern: two halves of the callers, 1.4 times the capacity together, with and without tenants.
#[test]
fn callers_that_return_at_once_displace_nobody() {
    for tenants in [false, true] {
        let half = |name, returns| {
            let tenant = tenants.then_some(name);
            Flow { tenant, surge: 2.0, returns, ..at_share(Flow::LOOKUP, 0.35) }
        };
        let all_wait = [half("told", Returns::AsTold), half("other", Returns::AsTold)];
        let reference = replay(true, &all_wait, (6, 12), 7)[0].served_share();
        let flows = [half("told", Returns::AsTold), half("at once", Returns::AtOnce)];
        let outcomes = replay(true, &flows, (6, 12), 7);
        check_shares(&outcomes);
        let told = outcomes[0].served_share();
        assert!(told >= 0.95 * reference, "{told:.2} served, {reference:.2} if all wait as told");
    }
}

/// Guards against rules for overload that change who is served when there is none.
#[test]
fn nothing_changes_without_overload() {
    let flows = [at_share(Flow::LOOKUP, 0.4), at_share(POST, 0.3)];
    let earlier = replay(false, &flows, (1, 6), 8);
    let outcomes = replay(true, &flows, (1, 6), 8);
    assert_eq!(earlier, outcomes);
    let all = total(&outcomes);
    assert_eq!((all.refused, all.served), (0, all.offered));
}

/// Guards against a request that is held back for longer than its caller was told, or for another request, and
/// against a table that grows with each refusal.
#[test]
fn told_times_are_kept_for_each_request() {
    let ms = Duration::from_millis;
    let mut told = ToldTimes::default();
    told.record_refused(1, ms(300), ms(100));
    assert_eq!(told.time_left(1, ms(150)), Some(ms(150)));
    assert_eq!(told.time_left(2, ms(150)), None);
    // Callers round times, so one that is a little early is served.
    assert_eq!(told.time_left(1, ms(295)), None);
    for digest in 2..100 {
        told.record_refused(digest, ms(300 + digest as u64), ms(200));
    }
    let kept = (1..100).filter(|digest| told.time_left(*digest, ms(200)).is_some()).count();
    assert_eq!(kept, 16);
    // A caller that sends equal requests anyway is not taken for one that comes back too early.
    told.record_answered(200);
    told.record_refused(200, ms(300), ms(200));
    assert_eq!(told.time_left(200, ms(200)), None);
}
