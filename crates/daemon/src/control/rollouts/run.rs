//! Periodic work: decisions, reports to the decider and notices of it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{RolloutNotice, RolloutReport};
use baobabreel_core::id::ServiceName;
use baobabreel_core::membership::{Member, Members};
use baobabreel_core::relay::is_document_relay;
use baobabreel_core::rollout::{Rollout, RolloutPhase, RolloutRecord};

use super::{
    ROLLOUT_NOTICE_PATH, ROLLOUT_REPORT_PATH, TAKEOVER_AFTER, collect, learn, own_rank, take_report,
};
use crate::context::Cx;
use crate::sync::lock;

/// Time between two decisions.
const TICK: Duration = Duration::from_millis(250);

/// Number of ticks between two reports, and between two notices.
const REPORT_TICKS: u32 = 2;

/// Number of ticks between two reports of a daemon that sent no request. The decider needs reports of all daemons only
/// in phase `Promoting`, while it waits for them to leave the old release.
const IDLE_REPORT_TICKS: u32 = 8;

/// The same in phase `Promoting`.
const PROMOTING_REPORT_TICKS: u32 = 4;

/// Time for the answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);

/// Receivers of the notices of a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Audience {
    /// All live members.
    All,
    /// The relays, which may have to take over, and daemons that do not follow the newest phase.
    RelaysAndLaggards,
}

/// Takes part in roll-outs until the task is dropped.
pub async fn run(cx: Cx) {
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut ticks = 0_u32;
    let mut last_tick = cx.clock.now();
    loop {
        interval.tick().await;
        ticks = ticks.wrapping_add(1);
        let now = cx.clock.now();
        if now > last_tick + TAKEOVER_AFTER {
            tracing::warn!(pause = ?now.saturating_sub(last_tick), "was paused; others may decide now");
            cx.rollouts.state().resign_all();
        }
        last_tick = now;
        decide(&cx);
        apply(&cx);
        if ticks.is_multiple_of(REPORT_TICKS) {
            report(&cx, ticks);
            tell(&cx, Audience::RelaysAndLaggards);
        }
    }
}

/// Applies what is known of roll-outs to the choice of backend servers.
pub(super) fn apply(cx: &Cx) {
    let now = cx.clock.now();
    let view = cx.view.load();
    if cx.rollouts.refresh(&cx.identity.id, &view, now) {
        cx.balance.update(&cx.config.load(), &view, &cx.rollouts.views(), now);
    }
}

/// Takes over roll-outs without a decider, and determines which changes of phase are due.
pub(super) fn decide(cx: &Cx) {
    let now = cx.clock.now();
    let view = cx.view.load();
    let members = cx.members.load();
    let Some(limits) = cx.rollouts.limits else { return };
    let mut guard = cx.rollouts.state();
    let state = &mut *guard;
    let running = state.known.iter().filter(|(_, known)| !known.record.phase.is_final());
    let mut is_alarm = false;
    let services: Vec<ServiceName> = running.map(|(service, _)| service.clone()).collect();
    for service in services {
        let Some(known) = state.known.get(&service) else { continue };
        let is_own = known.decider == cx.identity.id;
        if !is_own && now < known.contact + TAKEOVER_AFTER {
            continue;
        }
        let rank = own_rank(cx, &service);
        if is_own && rank.is_none() {
            state.resign(&service);
            continue;
        }
        if !state.deciding.contains_key(&service) {
            let leads = rank.is_some_and(|rank| state.leads(&service, &cx.identity.id, rank, now));
            let Some(known) = state.known.get_mut(&service).filter(|_| leads) else { continue };
            if !is_own && !known.is_checked {
                // The roll-out may have ended without a word to this daemon.
                known.is_checked = true;
                state.is_loaded = false;
                continue;
            }
            tracing::info!(service, before = known.decider, "decides on the roll-out");
            known.decider.clone_from(&cx.identity.id);
            let mut rollout = Rollout::new(known.record.clone(), limits, known.age(now), now);
            if known.is_bad {
                rollout.mark_bad();
            }
            state.deciding.insert(service.clone(), rollout);
        }
        let Some(rollout) = state.deciding.get_mut(&service) else { continue };
        let was_bad = rollout.is_bad();
        let target = rollout.record().target.clone();
        let servers = view
            .of_service(&service)
            .iter()
            .filter(|member| member.is_able() && member.release.as_ref() == Some(&target))
            .count();
        let senders = members.iter().filter(|member| !member.is_departed());
        let transition = rollout.step(senders.map(|member| member.id.as_str()), servers, now);
        if rollout.is_bad() && !was_bad {
            is_alarm = true;
            tracing::warn!(
                service,
                target,
                figures = ?transition.as_ref().map(|transition| &transition.figures),
                "the new release is bad; it gets no more requests"
            );
        }
        let share = rollout.share(now);
        if let Some(known) = state.known.get_mut(&service) {
            known.share = share;
            known.is_bad |= rollout.is_bad();
            known.contact = now;
            cx.metrics.record_rollout(&service, known.record.phase as u64, share);
        }
        match transition {
            Some(transition) => state.due.insert(service, transition),
            None => state.due.remove(&service),
        };
    }
    drop(guard);
    if is_alarm {
        // Before the store has the record, which may take long.
        tell(cx, Audience::All);
    }
}

/// Sends the counts since the last report to the deciders.
fn report(cx: &Cx, ticks: u32) {
    let now = cx.clock.now();
    let own_id = &cx.identity.id;
    let state = cx.rollouts.state();
    let running: Vec<_> = state
        .known
        .iter()
        .filter(|(_, known)| !known.record.phase.is_final())
        .map(|(_, known)| {
            (known.record.clone(), known.decider.clone(), known.is_unsure(own_id, now))
        })
        .collect();
    drop(state);
    lock(&cx.rollouts.counts)
        .retain(|service, _| running.iter().any(|(record, ..)| record.service == *service));
    for (record, decider, is_unsure) in running {
        let counts = collect::take(&cx.rollouts.counts, &record.service);
        let idle_ticks = match record.phase {
            RolloutPhase::Promoting => PROMOTING_REPORT_TICKS,
            _ => IDLE_REPORT_TICKS,
        };
        if counts.requests == 0 && !ticks.is_multiple_of(idle_ticks) {
            continue;
        }
        let report = RolloutReport {
            from: own_id.clone(),
            data_centre: cx.identity.data_centre.clone(),
            service: record.service.clone(),
            target: record.target.clone(),
            offset: record.offset,
            phase: record.phase,
            is_unsure,
            base_in_flight: base_in_flight(cx, &record),
            requests: counts.requests,
            counts: counts.into_counts(),
        };
        if decider == *own_id {
            take_report(cx, report);
            continue;
        }
        let members = cx.members.load();
        let known = members.get(&decider).filter(|_| !is_unsure).map(|member| member.peer_addr);
        // Any daemon answers with what it knows, such as the end of a roll-out that this one missed.
        let Some(to) = known.or_else(|| any_other(cx, &members)) else { continue };
        let cx = Arc::clone(cx);
        tokio::spawn(async move {
            let answer: Option<Option<RolloutNotice>> =
                cx.ask_peer(to, ROLLOUT_REPORT_PATH, &report, REPORT_TIMEOUT).await;
            if let Some(notice) = answer.flatten() {
                learn(&cx, notice);
            }
        });
    }
}

/// Address of a random live member other than this daemon, of any data centre.
fn any_other(cx: &Cx, members: &Members) -> Option<SocketAddr> {
    let others: Vec<&Member> =
        members.live().filter(|member| member.id != cx.identity.id).collect();
    (!others.is_empty()).then(|| others[rand::random_range(0..others.len())].peer_addr)
}

/// Number of requests that run or wait at the old release, as far as this daemon sent them or is beside it.
fn base_in_flight(cx: &Cx, record: &RolloutRecord) -> u32 {
    if record.base.as_ref() == Some(&record.target) {
        return 0;
    }
    let view = cx.view.load();
    let of_base = |member: &&Member| member.release == record.base;
    let base = view.of_service(&record.service).iter().filter(of_base);
    let sent = cx.balance.outstanding_to(&record.service, base);
    let own = view.find(&record.service, &cx.identity.id).filter(of_base);
    sent + own.map_or(0, |_| cx.host.in_flight())
}

/// Tells other daemons of the roll-outs that this one decides, or has decided.
pub(super) fn tell(cx: &Cx, audience: Audience) {
    let now = cx.clock.now();
    let own_id = cx.identity.id.as_str();
    let members = cx.members.load();
    let state = cx.rollouts.state();
    let own: Vec<RolloutNotice> = state
        .known
        .values()
        .filter(|known| known.decider == own_id)
        .filter(|known| {
            audience == Audience::All || !known.record.phase.is_final() || known.has_just_ended(now)
        })
        .map(|known| known.notice(own_id, now))
        .collect();
    if own.is_empty() {
        return;
    }
    let follows = |id: &str| state.deciding.values().all(|rollout| rollout.is_followed_by(id, now));
    for member in members.live().filter(|member| member.id != own_id) {
        if audience == Audience::All
            || is_document_relay(members.live(), member)
            || !follows(&member.id)
        {
            cx.tell_peer(member.peer_addr, ROLLOUT_NOTICE_PATH, &own);
        }
    }
}
