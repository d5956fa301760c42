//! Load balancers and retry budgets, shared by all requests of a daemon.
//!
//! `baobabreel-core` makes the decisions; this module puts its state behind locks, which are held
//! for a few hundred nanoseconds and never across an await.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use baobabreel_core::balance::{Balancer, DataCentreReach, Endpoint, Failure, LoadReport};
use baobabreel_core::condition::{KnownConditions, ReportedCondition};
use baobabreel_core::config::CompiledConfig;
use baobabreel_core::id::{DaemonId, DataCentre, RouteName, ServiceName};
use baobabreel_core::membership::Member;
use baobabreel_core::retry::{LatencyEstimate, RetryBudget};
use baobabreel_core::rollout::Side;

use super::budgets::{BudgetUse, RetryBudgets};
use super::place::Place;
use super::pool::HeldConnection;
use crate::context::{Clock, Identity, MeshView, is_able};
use crate::control::{ReleaseViews, ResponseWatch};
use crate::settings::{Policy, Settings};
use crate::sync::{lock, read, write};

/// Slowness from which the local backend server is no longer preferred over the balancer's choice.
const OWN_SLOWNESS_LIMIT: f64 = 1.5;

/// Balancer of one service.
pub type ServiceBalancer = Arc<Mutex<Balancer>>;

/// Retry budget and observed latencies of one route.
#[derive(Debug)]
pub struct RouteState {
    budget: Mutex<RetryBudget>,
    latency: Mutex<LatencyEstimate>,
}

impl RouteState {
    fn new(budget: RetryBudget) -> Self {
        Self { budget: Mutex::new(budget), latency: Mutex::new(LatencyEstimate::default()) }
    }

    /// Records the latency of a response.
    pub fn observe(&self, latency: Duration) {
        lock(&self.latency).observe(latency);
    }

    /// Estimate from the observed latencies.
    pub fn latency(&self) -> MutexGuard<'_, LatencyEstimate> {
        lock(&self.latency)
    }
}

/// Load balancers and retry budgets of one daemon.
#[derive(Debug)]
pub struct Balancers {
    own_id: DaemonId,
    data_centre: DataCentre,
    services: RwLock<HashMap<ServiceName, ServiceBalancer>>,
    routes: RwLock<HashMap<RouteName, Arc<RouteState>>>,
    budgets: RetryBudgets,
    reach: Mutex<DataCentreReach>,
    conditions: Mutex<KnownConditions<SocketAddr>>,
    outstanding: Arc<AtomicUsize>,
    policy: Policy,
}

impl Balancers {
    /// Creates the state of a daemon that knows no backend server.
    #[must_use]
    pub fn new(identity: &Identity, settings: &Settings) -> Self {
        Self {
            own_id: identity.id.clone(),
            data_centre: identity.data_centre.clone(),
            services: RwLock::default(),
            routes: RwLock::default(),
            budgets: RetryBudgets::new(settings.retry),
            reach: Mutex::default(),
            conditions: Mutex::default(),
            outstanding: Arc::default(),
            policy: settings.policy,
        }
    }

    /// Number of calls to backend servers whose responses have not ended.
    pub fn outstanding(&self) -> usize {
        self.outstanding.load(Ordering::Acquire)
    }

    /// Updates the balancers from the members and the configuration.
    pub fn update(
        &self,
        config: &CompiledConfig,
        view: &MeshView,
        releases: &ReleaseViews,
        now: Duration,
    ) {
        self.budgets.set_members(view.len());
        for (service, members) in view.services() {
            let members: Vec<&Member> =
                members.iter().filter(|member| is_able(config, service, member)).collect();
            let (main, canary) = releases.split(service, members);
            self.update_side(config, service, service, &main, now);
            let canary_name = canary_name(service);
            if !canary.is_empty() || self.find(&canary_name).is_some() {
                self.update_side(config, service, &canary_name, &canary, now);
            }
        }
    }

    fn update_side(
        &self,
        config: &CompiledConfig,
        service: &str,
        side: &str,
        members: &[&Member],
        now: Duration,
    ) {
        let endpoints: Vec<Endpoint> = members
            .iter()
            .map(|member| Endpoint {
                name: member.id.clone(),
                data_centre: member.data_centre.clone(),
                slots: member.slots,
                enabled: true,
            })
            .collect();
        let balancer = self.service(side);
        let mut balancer = lock(&balancer);
        if let Some(policy) = config.services.get(service) {
            balancer.set_slow_start(Duration::from_millis(policy.slow_start_ms));
        }
        balancer.update(&endpoints, now);
    }

    /// Number of calls to `members` of a service whose responses have not ended.
    pub fn outstanding_to<'a>(
        &self,
        service: &str,
        members: impl Iterator<Item = &'a Member> + Clone,
    ) -> u32 {
        let sides = [self.find(service), self.find(&canary_name(service))];
        let sum = |balancer: ServiceBalancer| -> u32 {
            let balancer = lock(&balancer);
            members.clone().map(|member| balancer.outstanding(&member.id)).sum()
        };
        sides.into_iter().flatten().map(sum).sum()
    }

    /// Drops the state of routes that are not in the configuration.
    pub fn keep_routes(&self, config: &CompiledConfig) {
        let names: HashSet<&str> = config.routes.iter().map(|route| route.name.as_str()).collect();
        write(&self.routes).retain(|name, _| names.contains(name.as_str()));
    }

    /// Balancer of a service, created on first use.
    fn service(&self, name: &str) -> ServiceBalancer {
        if let Some(found) = self.find(name) {
            return found;
        }
        let balancer = Balancer::builder()
            .data_centre(self.data_centre.clone())
            .round_robin(self.policy == Policy::Plain)
            .build();
        let mut services = write(&self.services);
        Arc::clone(
            services.entry(name.to_owned()).or_insert_with(|| Arc::new(Mutex::new(balancer))),
        )
    }

    fn find(&self, name: &str) -> Option<ServiceBalancer> {
        let services = read(&self.services);
        services.get(name).map(Arc::clone)
    }

    /// State of a route, created on first use.
    pub fn route(&self, name: &str) -> Arc<RouteState> {
        let routes = read(&self.routes);
        if let Some(found) = routes.get(name) {
            return Arc::clone(found);
        }
        drop(routes);
        let mut routes = write(&self.routes);
        let new = || Arc::new(RouteState::new(self.budgets.route_budget()));
        Arc::clone(routes.entry(name.to_owned()).or_insert_with(new))
    }

    /// Counts a request, which raises the retry budgets.
    pub fn on_request(&self, route: &RouteState, service: &str, now: Duration) {
        self.budgets.on_request(&route.budget, service, now);
    }

    /// Takes one retry or hedge out of the budgets; false if one of them is used up. The plain policy has
    /// no budgets.
    pub fn try_spend(
        &self,
        route: &RouteState,
        service: &str,
        use_for: BudgetUse,
        now: Duration,
    ) -> bool {
        self.policy == Policy::Plain || self.budgets.try_spend(&route.budget, service, use_for, now)
    }

    /// Whether the budgets have a retry left.
    pub fn can_retry(&self, route: &RouteState, service: &str, now: Duration) -> bool {
        self.policy == Policy::Plain || self.budgets.can_retry(&route.budget, service, now)
    }

    /// Records that the host daemon of a backend server of `service` does not answer.
    pub fn record_unreachable(&self, service: &str, member: &Member, now: Duration) {
        for balancer in [self.find(service), self.find(&canary_name(service))].iter().flatten() {
            lock(balancer).mark_unreachable(&member.id, now);
        }
        let data_centre = &member.data_centre;
        if *data_centre == self.data_centre {
            return;
        }
        if let Some(until) = lock(&self.reach).silent(data_centre, &member.id, now) {
            tracing::warn!(data_centre, ?until, "the data centre does not answer and is avoided");
            self.avoid_data_centre(data_centre, until);
        }
    }

    /// Records that a daemon of `data_centre` answered.
    pub fn record_answer(&self, data_centre: &str) {
        if lock(&self.reach).answered(data_centre) {
            tracing::info!(data_centre, "the data centre answers again");
            self.avoid_data_centre(data_centre, Duration::ZERO);
        }
    }

    /// What the backend server beside the daemon at `addr` has stated, as far as known.
    pub fn condition_at(&self, addr: SocketAddr, now: Duration) -> Option<ReportedCondition> {
        lock(&self.conditions).get(&addr, now).cloned()
    }

    /// Records what a response of the daemon at `addr` says of its backend server; `is_from_backend` tells whether
    /// the backend server itself responded.
    pub fn record_condition(
        &self,
        addr: SocketAddr,
        reported: Option<ReportedCondition>,
        is_from_backend: bool,
        now: Duration,
    ) {
        lock(&self.conditions).record(addr, reported, is_from_backend, now);
    }

    fn avoid_data_centre(&self, data_centre: &str, until: Duration) {
        for balancer in read(&self.services).values() {
            lock(balancer).avoid_data_centre(data_centre, until);
        }
    }

    /// Chooses a backend server and counts a call to it.
    ///
    /// The local backend server is preferred when it has a free slot (`own_has_free_slot`) and is not
    /// clearly slower than its peers, since that saves one hop.
    pub fn choose(
        &self,
        service: &str,
        side: Side,
        own_has_free_slot: bool,
        exclude: &[&str],
        clock: Clock,
    ) -> Option<CallGuard> {
        let now = clock.now();
        let shared = match side {
            Side::Main => self.find(service)?,
            Side::Canary => self.find(&canary_name(service))?,
        };
        let mut balancer = lock(&shared);
        // The local backend server may be of a release that gets no requests.
        let prefer_own = self.policy == Policy::Full
            && own_has_free_slot
            && balancer.is_local(&self.own_id)
            && !exclude.contains(&self.own_id.as_str())
            && !balancer.is_ejected(&self.own_id, now)
            && balancer.slowness(&self.own_id, now) < OWN_SLOWNESS_LIMIT;
        let name = if prefer_own {
            Arc::from(self.own_id.as_str())
        } else {
            balancer.choose(now, rand::random(), exclude)?
        };
        drop(balancer);
        Some(self.count_call(shared, name, clock))
    }

    /// Counts a call to a backend server of `service` that was chosen before.
    pub fn choose_again(&self, service: &str, name: Arc<str>, clock: Clock) -> Option<CallGuard> {
        let canary = self.find(&canary_name(service));
        let is_canary = |side: &ServiceBalancer| lock(side).is_present(&name);
        let shared = canary.filter(is_canary).or_else(|| self.find(service))?;
        Some(self.count_call(shared, name, clock))
    }

    /// Counts a call as outstanding until the returned guard is dropped.
    fn count_call(&self, balancer: ServiceBalancer, name: Arc<str>, clock: Clock) -> CallGuard {
        let now = clock.now();
        lock(&balancer).dispatched(&name, now);
        self.outstanding.fetch_add(1, Ordering::AcqRel);
        CallGuard {
            balancer,
            name,
            clock,
            started: now,
            result: CallResult::Cancelled,
            outstanding: Arc::clone(&self.outstanding),
            connection: None,
            watch: None,
        }
    }

    /// Number of backend servers of `service` that a request tries for a free slot before it waits in a queue.
    pub fn max_free_slot_attempts(&self, service: &str, now: Duration) -> u32 {
        self.find(service)
            .map_or(0, |balancer| lock(&balancer).free_slot_attempts(now, rand::random()))
    }

    /// Records whether a further attempt after a full backend server found a free slot.
    pub fn record_search_result(&self, service: &str, found: bool) {
        if let Some(balancer) = self.find(service) {
            lock(&balancer).record_further_attempt(found);
        }
    }
}

/// Name of the balancer of the canary of a service. The names of services have no such character.
fn canary_name(service: &str) -> String {
    format!("{service}\0canary")
}

/// Result of a call that is reported to the balancer.
#[derive(Debug)]
enum CallResult {
    Cancelled,
    Failed(Failure),
    Full(LoadReport),
    Answered { latency: Duration, report: Option<LoadReport> },
}

/// Call to a backend server that counts as outstanding until it is dropped.
#[derive(Debug)]
pub struct CallGuard {
    balancer: ServiceBalancer,
    name: Arc<str>,
    clock: Clock,
    started: Duration,
    result: CallResult,
    outstanding: Arc<AtomicUsize>,
    connection: Option<HeldConnection>,
    watch: Option<ResponseWatch>,
}

impl CallGuard {
    /// Counts the response as evidence of a roll-out.
    pub fn watch(&mut self, watch: Option<ResponseWatch>) {
        self.watch = watch;
    }

    /// Records a response that counts as bad for the release of the backend server.
    pub fn record_bad_response(&mut self) {
        if let Some(watch) = &mut self.watch {
            watch.is_bad = true;
        }
    }

    /// Keeps the connection of the call until the response has ended.
    pub fn keep_connection(&mut self, connection: HeldConnection) {
        self.connection = Some(connection);
    }

    /// Place on the connections to the daemon, while the call holds one.
    pub fn place(&self) -> Option<&Place> {
        self.connection.as_ref().map(HeldConnection::place)
    }

    /// Records that the response was received to its end: the connection can be reused.
    pub fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    /// Name of the backend server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Name of the backend server as a shared string.
    #[must_use]
    pub fn shared_name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// Records that the head of the response arrived, with the load that it reported.
    pub fn record_response(&mut self, report: Option<LoadReport>) {
        let latency = self.clock.now().saturating_sub(self.started);
        self.result = CallResult::Answered { latency, report };
    }

    /// Time from the dispatch to the head of the response, or until now if none arrived.
    #[must_use]
    pub fn latency(&self) -> Duration {
        match self.result {
            CallResult::Answered { latency, .. } => latency,
            _ => self.clock.now().saturating_sub(self.started),
        }
    }

    /// Records that the backend server had no free slot.
    pub fn record_full(&mut self, report: LoadReport) {
        self.result = CallResult::Full(report);
    }

    /// Records that the call failed.
    pub fn record_failure(&mut self, failure: Failure) {
        self.result = CallResult::Failed(failure);
    }
}

impl Drop for CallGuard {
    fn drop(&mut self) {
        self.outstanding.fetch_sub(1, Ordering::AcqRel);
        let now = self.clock.now();
        if let Some(watch) = self.watch.take() {
            let latency = match self.result {
                CallResult::Answered { latency, .. } => Some(latency),
                // The response would have taken at least as long.
                CallResult::Cancelled => Some(now.saturating_sub(self.started)),
                CallResult::Failed(_) | CallResult::Full(_) => None,
            };
            watch.finish(&self.name, latency);
        }
        let mut balancer = lock(&self.balancer);
        match self.result {
            CallResult::Cancelled => balancer.cancelled(&self.name),
            CallResult::Failed(failure) => balancer.failed(&self.name, now, failure),
            CallResult::Full(report) => balancer.refused_as_full(&self.name, now, report),
            CallResult::Answered { latency, report } => {
                balancer.answered(&self.name, now, latency, report);
            }
        }
    }
}
