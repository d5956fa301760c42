//! Choice of backend servers and budgets for further tries, shared by all requests.
//!
//! The decisions are those of `baobabreel-core`; here they get locks, which are held for a few
//! hundred nanoseconds and never across an await.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, RwLock};
use std::time::Duration;

use baobabreel_core::balance::{Balancer, Endpoint, Failure, LoadReport};
use baobabreel_core::config::CompiledConfig;
use baobabreel_core::id::{DaemonId, DataCentre, RouteName, ServiceName};
use baobabreel_core::retry::{LatencyEstimate, RetryBudget};

use super::budgets::Budgets;
use super::pool::PooledConnection;
use crate::context::{Clock, Identity, MeshView, is_able};
use crate::settings::{Policy, Settings};
use crate::sync::{lock, read, write};

/// Slowness from which the own backend server is no longer preferred to a random choice.
const OWN_SLOWNESS_LIMIT: f64 = 1.5;

/// Balancer of one service.
pub type ServiceBalancer = Arc<Mutex<Balancer>>;

/// Budgets and observations of one route.
#[derive(Debug)]
pub struct RouteState {
    budget: Mutex<RetryBudget>,
    latency: Mutex<LatencyEstimate>,
}

impl RouteState {
    fn new(budget: RetryBudget) -> Self {
        Self { budget: Mutex::new(budget), latency: Mutex::new(LatencyEstimate::default()) }
    }

    /// Records the latency of an answer.
    pub fn observe(&self, latency: Duration) {
        lock(&self.latency).observe(latency);
    }

    /// Observed latencies.
    pub fn latency(&self) -> MutexGuard<'_, LatencyEstimate> {
        lock(&self.latency)
    }
}

/// Choice of backend servers and budgets of one daemon.
#[derive(Debug)]
pub struct Balance {
    own: DaemonId,
    data_centre: DataCentre,
    services: RwLock<HashMap<ServiceName, ServiceBalancer>>,
    routes: RwLock<HashMap<RouteName, Arc<RouteState>>>,
    budgets: Budgets,
    outstanding: Arc<AtomicUsize>,
    policy: Policy,
}

impl Balance {
    /// Makes the state of a daemon that knows no backend server.
    #[must_use]
    pub fn new(identity: &Identity, settings: &Settings) -> Self {
        Self {
            own: identity.id.clone(),
            data_centre: identity.data_centre.clone(),
            services: RwLock::default(),
            routes: RwLock::default(),
            budgets: Budgets::new(settings.retry),
            outstanding: Arc::default(),
            policy: settings.policy,
        }
    }

    /// Calls to backend servers whose answers have not ended.
    pub fn outstanding(&self) -> usize {
        self.outstanding.load(Ordering::Acquire)
    }

    /// Takes over the members and the operators' wishes.
    pub fn update(&self, config: &CompiledConfig, view: &MeshView, now: Duration) {
        self.budgets.set_members(view.len());
        for (service, members) in view.services() {
            let endpoints: Vec<Endpoint> = members
                .iter()
                .filter(|member| is_able(config, service, member))
                .map(|member| Endpoint {
                    name: member.id.clone(),
                    data_centre: member.data_centre.clone(),
                    slots: member.slots,
                    enabled: true,
                })
                .collect();
            let balancer = self.service(service);
            let mut balancer = lock(&balancer);
            if let Some(policy) = config.services.get(service) {
                balancer.set_slow_start(Duration::from_millis(policy.slow_start_ms));
            }
            balancer.update(&endpoints, now);
        }
    }

    /// Forgets the routes that a new configuration does not have.
    pub fn keep_routes(&self, config: &CompiledConfig) {
        let names: HashSet<&str> = config.routes.iter().map(|route| route.name.as_str()).collect();
        write(&self.routes).retain(|name, _| names.contains(name.as_str()));
    }

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

    /// Budgets and observations of a route.
    pub fn route(&self, name: &str) -> Arc<RouteState> {
        let routes = read(&self.routes);
        if let Some(found) = routes.get(name) {
            return Arc::clone(found);
        }
        drop(routes);
        let mut routes = write(&self.routes);
        let new = || Arc::new(RouteState::new(self.budgets.of_route()));
        Arc::clone(routes.entry(name.to_owned()).or_insert_with(new))
    }

    /// Counts a request for the budgets.
    pub fn on_request(&self, route: &RouteState, service: &str, now: Duration) {
        self.budgets.on_request(&route.budget, service, now);
    }

    /// Takes one further try out of the budgets.
    pub fn try_spend(&self, route: &RouteState, service: &str, now: Duration) -> bool {
        self.policy == Policy::Plain || self.budgets.try_spend(&route.budget, service, now)
    }

    /// Records that the daemon beside a backend server does not answer.
    pub fn out_of_reach(&self, service: &str, name: &str, now: Duration) {
        if let Some(balancer) = self.find(service) {
            lock(&balancer).mark_unreachable(name, now);
        }
    }

    /// Chooses a backend server and counts a call to it.
    ///
    /// The own backend server is taken when `own_is_free` and it is not slower than its peers, since
    /// that saves one hop.
    pub fn choose(
        &self,
        service: &str,
        own_is_free: bool,
        exclude: &[&str],
        clock: Clock,
    ) -> Option<EntryGuard> {
        let shared = self.find(service)?;
        let now = clock.now();
        let mut balancer = lock(&shared);
        let own = self.policy == Policy::Full
            && own_is_free
            && !exclude.contains(&self.own.as_str())
            && !balancer.is_ejected(&self.own, now)
            && balancer.slowness(&self.own, now) < OWN_SLOWNESS_LIMIT;
        let name = if own {
            Arc::from(self.own.as_str())
        } else {
            balancer.choose(now, rand::random(), exclude)?
        };
        drop(balancer);
        Some(self.count_call(shared, name, clock))
    }

    /// Counts a call to a backend server of `service` that was chosen before.
    pub fn choose_again(&self, service: &str, name: Arc<str>, clock: Clock) -> Option<EntryGuard> {
        Some(self.count_call(self.find(service)?, name, clock))
    }

    fn count_call(&self, balancer: ServiceBalancer, name: Arc<str>, clock: Clock) -> EntryGuard {
        let now = clock.now();
        lock(&balancer).dispatched(&name, now);
        self.outstanding.fetch_add(1, Ordering::AcqRel);
        EntryGuard {
            balancer,
            name,
            clock,
            started: now,
            end: End::Cancelled,
            outstanding: Arc::clone(&self.outstanding),
            connection: None,
        }
    }

    /// Backend servers of `service` that a request asks for a free slot before it waits.
    pub fn looks(&self, service: &str, now: Duration) -> u32 {
        self.find(service)
            .map_or(0, |balancer| lock(&balancer).free_slot_attempts(now, rand::random()))
    }

    /// Records whether a further look after a full backend server found a free slot.
    pub fn looked_further(&self, service: &str, found: bool) {
        if let Some(balancer) = self.find(service) {
            lock(&balancer).record_further_attempt(found);
        }
    }
}

#[derive(Debug)]
enum End {
    Cancelled,
    Failed(Failure),
    Full(LoadReport),
    Answered { latency: Duration, report: Option<LoadReport> },
}

/// Call to a backend server that counts as outstanding until it is dropped.
#[derive(Debug)]
pub struct EntryGuard {
    balancer: ServiceBalancer,
    name: Arc<str>,
    clock: Clock,
    started: Duration,
    end: End,
    outstanding: Arc<AtomicUsize>,
    connection: Option<PooledConnection>,
}

impl EntryGuard {
    /// Keeps the connection of the call until the answer is whole.
    pub fn hold(&mut self, connection: PooledConnection) {
        self.connection = Some(connection);
    }

    /// The answer is whole: the connection can be used again.
    pub fn finished(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
    }

    /// Name of the backend server.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Name of the backend server, to be kept.
    #[must_use]
    pub fn shared_name(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    /// Records the head of the answer.
    pub fn answered(&mut self, report: Option<LoadReport>) {
        let latency = self.clock.now().saturating_sub(self.started);
        self.end = End::Answered { latency, report };
    }

    /// Time to the head of the answer, or since the dispatch.
    #[must_use]
    pub fn latency(&self) -> Duration {
        match self.end {
            End::Answered { latency, .. } => latency,
            _ => self.clock.now().saturating_sub(self.started),
        }
    }

    /// Records that there was no free slot.
    pub fn full(&mut self, report: LoadReport) {
        self.end = End::Full(report);
    }

    /// Records a failure.
    pub fn failed(&mut self, failure: Failure) {
        self.end = End::Failed(failure);
    }
}

impl Drop for EntryGuard {
    fn drop(&mut self) {
        self.outstanding.fetch_sub(1, Ordering::AcqRel);
        let now = self.clock.now();
        let mut balancer = lock(&self.balancer);
        match self.end {
            End::Cancelled => balancer.cancelled(&self.name),
            End::Failed(failure) => balancer.failed(&self.name, now, failure),
            End::Full(report) => balancer.refused_as_full(&self.name, now, report),
            End::Answered { latency, report } => {
                balancer.answered(&self.name, now, latency, report);
            }
        }
    }
}
