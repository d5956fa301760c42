//! State of the local backend server: its description, its connections and its load.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use baobabreel_client::wire::LoadWire;
use baobabreel_core::admission::{Admission, RefusalCounts};
use baobabreel_core::balance::LoadReport;
use baobabreel_core::config::{CompiledConfig, ServicePolicy};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::membership::MemberState;
use http::Request;
use tokio::sync::Notify;

use super::info::BackendInfo;
use super::slots::Admitter;
use crate::proxy::body::ProxyBody;
use crate::proxy::pool::{ConnectionPool, SendError};
use crate::settings::Policy;
use crate::sync::lock;

/// Path of the health endpoint of a backend server if the configuration sets none.
const HEALTH_PATH: &str = "/health";

/// An announced backend server and the connections to it.
#[derive(Debug)]
pub(super) struct Backend {
    pub info: BackendInfo,
    pub pool: Arc<ConnectionPool>,
}

/// The local backend server and the admission of requests to it.
#[derive(Debug)]
pub struct LocalBackend {
    pub(super) backend: ArcSwapOption<Backend>,
    pub(super) admitter: Arc<Mutex<Admitter>>,
    /// Wakes the task that starts queued requests at the rate limit.
    pub(super) pacer: Notify,
    /// Wakes the task that takes slots back, as a request found none.
    pub(super) contended: Notify,
    connection_limit: usize,
    policy: Policy,
}

impl LocalBackend {
    /// Creates the state of a daemon whose backend server has not announced itself.
    #[must_use]
    pub fn new(connection_limit: usize, policy: Policy) -> Self {
        let admission = Admission::builder().class_aware(policy == Policy::Full).build();
        let admitter = Admitter::new(admission);
        let admitter = Arc::new(Mutex::new(admitter));
        Self {
            backend: ArcSwapOption::empty(),
            admitter,
            pacer: Notify::new(),
            contended: Notify::new(),
            connection_limit,
            policy,
        }
    }

    /// Removes the local backend server.
    pub fn remove_backend(&self) {
        self.backend.store(None);
    }

    /// Replaces the local backend server; returns its state, which is draining once it has said that it
    /// leaves.
    ///
    /// The connections are kept if the address, the protocol and the instance are the same and the
    /// backend server has not restarted.
    pub fn set_backend(&self, mut info: BackendInfo, now: Duration) -> MemberState {
        let known = self.backend.load_full();
        if let Some(known) = known.as_ref().filter(|known| known.info.instance == info.instance) {
            // An answer to a question about its health does not name the release.
            info.release = info.release.or_else(|| known.info.release.clone());
        }
        let is_same = |known: &Arc<Backend>| known.info.may_be_same_start(&info);
        let limit = self.connection_limit;
        let pool = match known.filter(is_same) {
            Some(known) => Arc::clone(&known.pool),
            None => Arc::new(ConnectionPool::new(info.address, info.protocol, limit)),
        };
        let mut admitter = lock(&self.admitter);
        admitter.describe(&info, now);
        let slots = match self.policy {
            // A request with a slot but no connection would be refused; it waits in the queue instead.
            Policy::Full => {
                info.slots.min(u32::try_from(self.connection_limit).unwrap_or(u32::MAX))
            }
            Policy::Plain => u32::MAX,
        };
        if admitter.admission.slots() != slots {
            let actions = admitter.admission.set_slots(slots, now);
            admitter.apply(actions);
            self.wake_pacer(&admitter);
        }
        if admitter.condition.is_leaving() {
            info.state = MemberState::Draining;
        }
        let state = info.state;
        self.backend.store(Some(Arc::new(Backend { info, pool })));
        drop(admitter);
        state
    }

    /// Sets the queue length, the share of bulk requests, and whether the cost of a refusal decides; requests already
    /// admitted or queued stay.
    pub fn set_policy(&self, queue: usize, bulk_share: f64, cost_aware: bool, now: Duration) {
        let mut admitter = lock(&self.admitter);
        admitter.admission.set_cost_aware(cost_aware);
        let actions = admitter.admission.set_policy(queue, bulk_share, now);
        admitter.apply(actions);
        self.wake_pacer(&admitter);
    }

    /// The last announcement of the backend server.
    pub fn info(&self) -> Option<BackendInfo> {
        self.backend.load().as_ref().map(|backend| backend.info.clone())
    }

    /// Whether the backend server has begun to leave.
    pub(super) fn is_draining(&self) -> bool {
        let backend = self.backend.load();
        backend.as_ref().is_some_and(|backend| backend.info.state == MemberState::Draining)
    }

    /// Refuses all requests that wait for a slot.
    pub fn refuse_waiting(&self, kind: ErrorKind, now: Duration) {
        let mut admitter = lock(&self.admitter);
        let actions = admitter.admission.refuse_waiting(kind, now);
        admitter.apply(actions);
    }

    /// Whether the health endpoint at `path` reports success within `timeout`.
    ///
    /// A backend server also counts as healthy when all its connections are in use, or when `path` is malformed.
    pub async fn is_healthy(&self, path: &str, timeout: Duration) -> bool {
        let Some(backend) = self.backend.load_full() else {
            return false;
        };
        let mut req = Request::new(ProxyBody::Empty);
        match path.parse() {
            Ok(uri) => *req.uri_mut() = uri,
            Err(e) => {
                tracing::warn!(path, error = %e, "the health endpoint has a malformed path");
                return true;
            }
        }
        match tokio::time::timeout(timeout, backend.pool.send(req)).await {
            Ok(Ok((res, _))) => res.status().is_success(),
            Ok(Err(SendError::Full)) => true,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Path of the health endpoint of the local backend server.
    pub fn health_path(&self, config: &CompiledConfig) -> String {
        let info = self.info();
        let service = info.and_then(|info| config.services.get(&info.service));
        service.map_or(HEALTH_PATH, health_path).to_owned()
    }

    /// Running requests, queued requests and slots.
    pub fn load(&self) -> LoadWire {
        let admitter = lock(&self.admitter);
        load_wire(admitter.admission.load(), admitter.admission.slots())
    }

    /// Refusals for lack of room, by what the requests were for.
    pub fn refusals(&self) -> RefusalCounts {
        lock(&self.admitter).admission.refusals()
    }

    /// Load for the balancers of daemons, which counts a backend server at its rate limit as full.
    pub fn visible_load(&self, now: Duration) -> LoadWire {
        visible_load(&lock(&self.admitter).admission, now)
    }

    /// Whether the local backend server is ready and belongs to `service`.
    pub fn serves(&self, service: &str) -> bool {
        self.backend.load().as_ref().is_some_and(|backend| {
            backend.info.state == MemberState::Ready && backend.info.service == service
        })
    }

    /// Whether a request for `service` would start without waiting.
    pub fn can_start_now(&self, service: &str, now: Duration) -> bool {
        self.serves(service) && lock(&self.admitter).admission.has_free_slot(now)
    }

    /// Number of requests that hold a slot or wait for one.
    pub fn in_flight(&self) -> u32 {
        let load = self.load();
        load.running + load.queued
    }
}

/// Path of the health endpoint of the backend servers of a service.
pub fn health_path(service: &ServicePolicy) -> &str {
    service.health_path.as_deref().unwrap_or(HEALTH_PATH)
}

pub(super) fn visible_load(admission: &Admission, now: Duration) -> LoadWire {
    load_wire(admission.visible_load(now), admission.slots())
}

fn load_wire(load: LoadReport, slots: u32) -> LoadWire {
    LoadWire { running: load.running, queued: load.queued, slots }
}
