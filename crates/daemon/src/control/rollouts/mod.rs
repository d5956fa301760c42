//! Roll-outs of services to another release.
//!
//! One daemon decides on a roll-out at a time: the one that ranks first for the service among the relays. It
//! collects the reports of the others, has the platform adapter store each change of phase, and tells all daemons.
//! If it stops answering, the next one continues from the record. A daemon without contact to the decider sends
//! requests to the old release only.

mod collect;
mod known;
mod run;
mod views;

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use baobabreel_client::wire::{RolloutNotice, RolloutReport};
use baobabreel_core::id::{Release, ServiceName};
use baobabreel_core::membership::Member;
use baobabreel_core::relay::{ReadRole, is_document_relay};
use baobabreel_core::rendezvous;
use baobabreel_core::rollout::{
    DaemonReport, DefaultRelease, Observation, ReleaseFilter, Rollout, RolloutLimits, RolloutOrder,
    RolloutRecord, Side, Stratum, Transition, default_release,
};

use self::collect::Counts;
pub use self::collect::ResponseWatch;
use self::known::Known;
pub use self::run::run;
use self::views::ReleaseView;
pub use self::views::ReleaseViews;
use crate::context::{Cx, MeshView};
use crate::settings::RolloutSettings;
use crate::sync::lock;

/// Path at which a daemon receives notices of roll-outs.
pub const ROLLOUT_NOTICE_PATH: &str = "/peer/v1/rollout-notice";

/// Path at which the decider of a roll-out takes reports.
pub const ROLLOUT_REPORT_PATH: &str = "/peer/v1/rollout-report";

/// Time after which another relay takes the place of a silent decider. Daemons that have no decider for longer
/// than two seconds return to the old release.
const TAKEOVER_AFTER: Duration = Duration::from_millis(1_200);

/// Further time for each relay that ranks before this one, which may take over first.
const TAKEOVER_STEP: Duration = Duration::from_millis(400);

/// Time without a successful call to the store after which a decider leaves the decision to others.
const STORE_LOST_AFTER: Duration = Duration::from_secs(2);

/// Time for which a decider that lost the store does not decide again.
const RESIGNED_TIME: Duration = Duration::from_secs(10);

/// Roll-outs as one daemon knows them.
#[derive(Debug)]
pub struct Rollouts {
    limits: Option<RolloutLimits>,
    state: Mutex<State>,
    views: ArcSwap<ReleaseViews>,
    counts: Arc<Counts>,
}

#[derive(Debug, Default)]
struct State {
    known: BTreeMap<ServiceName, Known>,
    /// Orders that have no record yet, with the time at which they were read.
    orders: BTreeMap<ServiceName, (RolloutOrder, Duration)>,
    /// Roll-outs that this daemon decides.
    deciding: BTreeMap<ServiceName, Rollout>,
    /// Changes of phase that the adapter has to store.
    due: BTreeMap<ServiceName, Transition>,
    /// Release that gets the requests of a service without a roll-out.
    defaults: HashMap<ServiceName, DefaultRelease>,
    /// Whether the records of the store were read in its present generation.
    is_loaded: bool,
    store_failing_since: Option<Duration>,
    resigned_until: Duration,
}

impl Rollouts {
    /// State of a daemon that knows no roll-outs; without settings it ignores releases.
    #[must_use]
    pub fn new(settings: Option<RolloutSettings>) -> Self {
        let limits = settings.map(|settings| RolloutLimits {
            share: settings.canary_share,
            slack: settings.canary_slack,
        });
        Self { limits, state: Mutex::default(), views: ArcSwap::default(), counts: Arc::default() }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        lock(&self.state)
    }

    /// Which backend servers may get requests.
    pub fn views(&self) -> Guard<Arc<ReleaseViews>> {
        self.views.load()
    }

    /// Side of a request, see [`ReleaseFilter::side`].
    pub(crate) fn side(&self, service: &str, draw: u64, is_first: bool, now: Duration) -> Side {
        self.views.load().side(service, draw, is_first, now)
    }

    /// Watch of a call to a backend server; none if no roll-out of the service runs.
    pub(crate) fn watch(&self, service: &str, route: &str) -> Option<ResponseWatch> {
        let is_running = self.views.load().0.get(service).is_some_and(|view| view.is_running);
        is_running.then(|| ResponseWatch::new(&self.counts, service, route))
    }

    /// Determines again which backend servers may get requests; returns whether that changed.
    pub fn refresh(&self, own_id: &str, view: &MeshView, now: Duration) -> bool {
        if self.limits.is_none() {
            return false;
        }
        let mut state = self.state();
        let mut views = HashMap::new();
        for (service, members) in view.services() {
            let members: Vec<&Member> = members.iter().collect();
            let new = match state.known.get(service) {
                Some(known) => known.view(own_id, now),
                None => {
                    let default = state.defaults.entry(service.clone()).or_default();
                    let release = default.update(&members, now);
                    let filter = ReleaseFilter::only(release);
                    let canary_until = Duration::ZERO;
                    ReleaseView { filter, epoch: 0, is_running: false, canary_until }
                }
            };
            views.insert(service.clone(), new);
        }
        let views = ReleaseViews(views);
        let is_changed = !views.is_same(&self.views.load());
        self.views.store(Arc::new(views));
        is_changed
    }
}

impl State {
    /// Records an order that has not been given before.
    fn order(&mut self, order: RolloutOrder, now: Duration) {
        let service = &order.service;
        let is_old = self.known.get(service).is_some_and(|known| !known.record.is_before(&order));
        let is_pending = self.orders.get(service).is_some_and(|(pending, _)| {
            (pending.generation, pending.offset) >= (order.generation, order.offset)
                || (pending.target == order.target && pending.offset == order.offset)
        });
        if is_old || is_pending {
            return;
        }
        tracing::info!(
            service,
            target = order.target,
            within = ?order.within,
            offset = order.offset,
            "roll-out ordered"
        );
        self.orders.insert(service.clone(), (order, now));
    }

    /// Replaces what is known by something newer.
    fn replace(&mut self, mut known: Known, now: Duration) {
        let service = known.record.service.clone();
        if let Some(before) = self.known.get(&service) {
            known.is_bad |= before.is_bad && before.record.is_same_order(&known.record);
        }
        let record = &known.record;
        let before = self.known.get(&service).map(|known| &known.record);
        tracing::info!(
            service,
            target = record.target,
            base = record.base,
            offset = record.offset,
            phase = ?record.phase,
            before = ?before.map(|before| (&before.target, before.phase)),
            decider = known.decider,
            age = ?known.age(now),
            "roll-out changed"
        );
        let is_same =
            before.is_some_and(|b| (&b.target, b.offset) == (&record.target, record.offset));
        if record.phase.is_final() || !is_same {
            self.deciding.remove(&service);
        } else if let Some(rollout) = self.deciding.get_mut(&service) {
            rollout.advance(record.clone(), now);
        }
        self.due.remove(&service);
        let is_done = |(order, _): &(RolloutOrder, Duration)| !record.is_before(order);
        if self.orders.get(&service).is_some_and(is_done) {
            self.orders.remove(&service);
        }
        self.known.insert(service, known);
    }

    /// Leaves the decision on the roll-out of a service to others.
    fn resign(&mut self, service: &str) {
        self.deciding.remove(service);
        self.due.remove(service);
        if let Some(known) = self.known.get_mut(service) {
            known.decider.clear();
        }
    }

    /// Leaves all decisions to others.
    fn resign_all(&mut self) {
        let services: Vec<ServiceName> = self.deciding.keys().cloned().collect();
        services.iter().for_each(|service| self.resign(service));
    }

    /// Whether this daemon, which is the one of `rank`, decides on the roll-out of a service.
    fn leads(&self, service: &str, own_id: &str, rank: usize, now: Duration) -> bool {
        if now < self.resigned_until {
            return false;
        }
        if !self.is_loaded {
            // The store may have a newer record.
            return false;
        }
        let step = TAKEOVER_STEP * u32::try_from(rank).unwrap_or(u32::MAX);
        let waits = |since: Duration| now >= since + TAKEOVER_AFTER + step;
        if let Some((_, seen)) = self.orders.get(service) {
            return rank == 0 || waits(*seen);
        }
        let known = self.known.get(service);
        known.is_some_and(|known| known.decider == own_id || waits(known.contact))
    }
}

/// Rank of this daemon for a service among the relays of all data centres that can read the store; `None` if it is
/// none of them.
fn own_rank(cx: &Cx, service: &str) -> Option<usize> {
    if cx.read_role() != ReadRole::Relay {
        return None;
    }
    rank_of(cx, service, &cx.identity.id)
}

fn rank_of(cx: &Cx, service: &str, id: &str) -> Option<usize> {
    let members = cx.members.load();
    let now = cx.clock.now();
    let relays = members.live().filter(|member| {
        is_document_relay(members.live(), member) && cx.readers.can_read(member, now)
    });
    let ranked = rendezvous::rank(service.as_bytes(), relays.map(|member| member.id.as_str()));
    ranked.iter().position(|other| *other == id)
}

/// Notices of roll-outs for daemons that ask for news.
pub fn notices(cx: &Cx) -> Vec<RolloutNotice> {
    let now = cx.clock.now();
    let state = cx.rollouts.state();
    let news = state.known.values().filter(|known| known.is_news(now));
    news.map(|known| known.notice(&cx.identity.id, now)).collect()
}

/// Takes in what another daemon knows of a roll-out.
pub fn learn(cx: &Cx, notice: RolloutNotice) {
    if cx.rollouts.limits.is_none() {
        return;
    }
    let now = cx.clock.now();
    let own_id = cx.identity.id.as_str();
    let service = notice.record.service.clone();
    let mut guard = cx.rollouts.state();
    let state = &mut *guard;
    let newer = Known::from_notice(&notice, now);
    match state.known.get_mut(&service) {
        None => state.replace(newer, now),
        Some(known) if notice.record.supersedes(&known.record) => state.replace(newer, now),
        Some(known)
            if known.record.phase == notice.record.phase
                && known.record.is_same_order(&notice.record) =>
        {
            known.is_published |= notice.is_published;
            known.is_bad |= notice.is_bad;
            if notice.is_bad
                && let Some(rollout) = state.deciding.get_mut(&service)
            {
                rollout.mark_bad();
            }
            // Of two deciders, the one that ranks first stays.
            let rank = |id: &str| rank_of(cx, &service, id).unwrap_or(usize::MAX);
            let yields = || rank(&notice.decider) < rank(own_id);
            if notice.decider == own_id || newer.contact <= known.contact && known.decider != own_id
            {
                return;
            }
            if known.decider == own_id && !yields() {
                return;
            }
            known.contact = newer.contact;
            known.is_checked = false;
            known.share = newer.share;
            if known.decider != newer.decider {
                known.decider = newer.decider;
                state.deciding.remove(&service);
                state.due.remove(&service);
            }
        }
        Some(_) => return,
    }
    drop(guard);
    run::apply(cx);
}

/// Takes the report of a daemon; returns what this one knows of the roll-out.
pub fn take_report(cx: &Cx, report: RolloutReport) -> Option<RolloutNotice> {
    let now = cx.clock.now();
    let view = cx.view.load();
    let mut state = cx.rollouts.state();
    if let Some(rollout) = state.deciding.get_mut(&report.service) {
        let record = rollout.record().clone();
        if (&record.target, record.offset) == (&report.target, report.offset) {
            let own = DaemonReport {
                phase: report.phase,
                is_unsure: report.is_unsure,
                base_in_flight: report.base_in_flight,
                requests: report.requests,
            };
            let observations = report.counts.into_iter().filter_map(|count| {
                let server = view.find(&report.service, &count.server)?;
                let stratum = Stratum {
                    route: count.route,
                    entry: report.data_centre.clone(),
                    server: server.data_centre.clone(),
                };
                let side = side_of(&record, server)?;
                let (failures, latencies) = (count.failures, count.latencies);
                Some(Observation { stratum, side, server: count.server, failures, latencies })
            });
            rollout.report(&report.from, own, observations, now);
        }
    }
    let known = state.known.get(&report.service)?;
    Some(known.notice(&cx.identity.id, now))
}

fn side_of(record: &RolloutRecord, server: &Member) -> Option<Side> {
    if server.release == record.base {
        return Some(Side::Main);
    }
    (server.release.as_ref() == Some(&record.target)).then_some(Side::Canary)
}

/// Release that has the traffic when an order is given.
fn base_for(order: &RolloutOrder, known: Option<&Known>, members: &[&Member]) -> Option<Release> {
    use baobabreel_core::rollout::RolloutPhase;
    let others: Vec<&Member> = members
        .iter()
        .copied()
        .filter(|member| member.release.as_ref() != Some(&order.target))
        .collect();
    let before = known.map(|known| match known.record.phase {
        RolloutPhase::Succeeded => Some(known.record.target.clone()),
        _ => known.record.base.clone(),
    });
    if others.is_empty() {
        return Some(order.target.clone());
    }
    default_release(&others, before.as_ref())
}

/// Functions for the adapter, which reads and writes the store.
impl Rollouts {
    /// Whether the adapter has to handle roll-outs.
    #[must_use]
    pub fn is_enabled(&self) -> bool {
        self.limits.is_some()
    }

    /// Records an order.
    pub fn order(&self, order: RolloutOrder, now: Duration) {
        if self.is_enabled() {
            self.state().order(order, now);
        }
    }

    /// Whether the records in the store have to be read.
    #[must_use]
    pub fn is_unloaded(&self) -> bool {
        !self.state().is_loaded
    }

    /// Records that the store came back from an older copy, which may lack records and statuses.
    pub fn store_restored(&self) {
        let mut state = self.state();
        state.is_loaded = false;
        state.known.values_mut().for_each(|known| known.is_published = false);
    }

    /// Records whether a call to the store succeeded.
    pub fn store_answered(&self, succeeded: bool, now: Duration) {
        let mut state = self.state();
        if succeeded {
            state.store_failing_since = None;
        } else if now >= *state.store_failing_since.get_or_insert(now) + STORE_LOST_AFTER {
            tracing::warn!("the store does not answer; other daemons decide on roll-outs");
            state.store_failing_since = None;
            state.resigned_until = now + RESIGNED_TIME;
            state.resign_all();
        }
    }
}

/// Takes in the records of the store.
pub fn load(cx: &Cx, records: Vec<RolloutRecord>) {
    let now = cx.clock.now();
    let mut state = cx.rollouts.state();
    state.is_loaded = true;
    for record in records {
        let known = state.known.get(&record.service);
        if known.is_none_or(|known| record.supersedes(&known.record)) {
            let known = Known::from_store(record, cx.clock.wall(), now);
            state.replace(known, now);
        }
    }
    drop(state);
    run::apply(cx);
}

/// Records that this daemon, as the decider, has to see in the store and whose status it has to publish.
pub fn due(cx: &Cx) -> Vec<RolloutRecord> {
    let now = cx.clock.now();
    let view = cx.view.load();
    let state = cx.rollouts.state();
    let unpublished = state.known.iter().filter(|(_, known)| !known.is_published);
    let mut services: Vec<&ServiceName> = unpublished.map(|(service, _)| service).collect();
    services.extend(state.orders.keys().chain(state.due.keys()));
    services.sort_unstable();
    services.dedup();
    let of_service = |service: &ServiceName| {
        let rank = own_rank(cx, service)?;
        if !state.leads(service, &cx.identity.id, rank, now) {
            return None;
        }
        let known = state.known.get(service);
        let pending = state.orders.get(service);
        if let Some((order, seen)) =
            pending.filter(|(order, _)| known.is_none_or(|known| known.record.is_before(order)))
        {
            let members: Vec<&Member> = view.of_service(service).iter().collect();
            let base = base_for(order, known, &members);
            let started = cx.clock.wall().saturating_sub(now.saturating_sub(*seen));
            let started_ms = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
            let previous = known.map(|known| &known.record);
            return Some(RolloutRecord::begin(order, previous, base, started_ms));
        }
        let due = state.due.get(service).map(|transition| transition.record.clone());
        due.or_else(|| known.filter(|known| !known.is_published).map(|known| known.record.clone()))
    };
    services.into_iter().filter_map(of_service).collect()
}

/// Records that the store has a record which [`due`] returned.
pub fn stored(cx: &Cx, record: RolloutRecord) {
    let now = cx.clock.now();
    let mut state = cx.rollouts.state();
    if let Some(Transition { reason, figures, .. }) = state.due.get(&record.service) {
        tracing::info!(
            service = record.service,
            target = record.target,
            phase = ?record.phase,
            reason,
            route = figures.route,
            responses = figures.responses,
            bad = figures.bad,
            expected = figures.expected,
            slow_above = figures.slow_above,
            worst_server = figures.worst_server,
            "roll-out decided"
        );
    }
    let before = state.known.get(&record.service);
    if before.is_some_and(|known| known.record == record) {
        return;
    }
    let mut known = Known::from_store(record, cx.clock.wall(), now);
    if let Some(before) = before.filter(|before| before.record.is_same_order(&known.record)) {
        known.is_published =
            before.is_published && before.record.phase.state() == known.record.phase.state();
        known.keep_age(before, now);
    }
    known.decider.clone_from(&cx.identity.id);
    cx.metrics.record_rollout(&known.record.service, known.record.phase as u64, known.share);
    state.replace(known, now);
    drop(state);
    run::decide(cx);
    run::apply(cx);
    run::tell(cx, run::Audience::All);
}

/// Records that the operator's status says what `record` does.
pub fn published(cx: &Cx, record: &RolloutRecord) {
    let mut state = cx.rollouts.state();
    let Some(known) = state.known.get_mut(&record.service) else { return };
    if known.record != *record || known.is_published {
        return;
    }
    known.is_published = true;
    known.decider.clone_from(&cx.identity.id);
    tracing::info!(
        service = record.service,
        target = record.target,
        state = ?record.phase.state(),
        "status of the roll-out written"
    );
    drop(state);
    run::tell(cx, run::Audience::All);
}
