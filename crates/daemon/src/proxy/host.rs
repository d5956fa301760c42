//! The backend server beside the daemon: admission and dispatch.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use baobabreel_client::wire::{CallHead, LoadWire};
use baobabreel_core::admission::{Action, Admission, Decision, Ticket, TicketId};
use baobabreel_core::config::{CompiledConfig, ServicePolicy};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::{InstanceId, ServiceName};
use baobabreel_core::membership::MemberState;
use baobabreel_core::registration::BootTime;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::{Body, Incoming};
use tokio::sync::oneshot;

use super::answer::CallError;
use super::body::{Guard, ProxyBody, Tracked};
use super::check::check_answer;
use super::headers;
use super::lines::{self, Hosted};
use super::pool::{ConnectionPool, PooledConnection, Protocol, SendError};
use crate::context::{Cx, Phase};
use crate::settings::Policy;
use crate::sync::lock;

/// Path of the health endpoint of a backend server, unless the configuration names another.
const HEALTH_PATH: &str = "/health";

/// Time that is left for the way back when a queued request starts.
const ANSWER_MARGIN: Duration = Duration::from_millis(1);

/// The backend server as it announced itself.
#[derive(Debug, Clone)]
pub struct BackendInfo {
    /// Its service.
    pub service: ServiceName,
    /// Its address.
    pub address: SocketAddr,
    /// Protocol that it speaks.
    pub protocol: Protocol,
    /// Its slots.
    pub slots: u32,
    /// Its state.
    pub state: MemberState,
    /// Identifier that it gives to itself, if it has one.
    pub instance: Option<InstanceId>,
    /// Its start time, if it tells one.
    pub boot: Option<BootTime>,
}

#[derive(Debug)]
struct Backend {
    info: BackendInfo,
    pool: Arc<ConnectionPool>,
}

#[derive(Debug)]
struct Gate {
    admission: Admission,
    waiting: HashMap<TicketId, oneshot::Sender<Result<(), CallError>>>,
    next_id: TicketId,
}

impl Gate {
    fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, result) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse { id, kind, retry_after } => {
                    let e = CallError::new(kind, "the request left the queue");
                    (id, Err(e.with_retry_after(retry_after)))
                }
            };
            if let Some(tx) = self.waiting.remove(&id) {
                // A request that is no longer waiting gives its slot back when it is dropped.
                drop(tx.send(result));
            }
        }
    }
}

/// The backend server beside the daemon.
#[derive(Debug)]
pub struct Host {
    backend: ArcSwapOption<Backend>,
    gate: Arc<Mutex<Gate>>,
    connection_limit: usize,
    policy: Policy,
}

impl Host {
    /// Makes the state of a daemon whose backend server has not announced itself.
    #[must_use]
    pub fn new(connection_limit: usize, policy: Policy) -> Self {
        let gate = Gate {
            admission: Admission::builder().class_aware(policy == Policy::Full).build(),
            waiting: HashMap::new(),
            next_id: 0,
        };
        let gate = Arc::new(Mutex::new(gate));
        Self { backend: ArcSwapOption::empty(), gate, connection_limit, policy }
    }

    /// Takes over an announcement, or that there is no backend server any more.
    pub fn set_backend(&self, info: Option<BackendInfo>, now: Duration) {
        let Some(info) = info else {
            self.backend.store(None);
            return;
        };
        let known = self.backend.load_full();
        let is_same = |known: &Arc<Backend>| {
            known.info.address == info.address
                && known.info.protocol == info.protocol
                && known.info.instance == info.instance
                && (known.info.boot.is_none() || known.info.boot == info.boot)
        };
        let limit = self.connection_limit;
        let pool = match known.filter(is_same) {
            Some(known) => Arc::clone(&known.pool),
            None => Arc::new(ConnectionPool::new(info.address, info.protocol, limit)),
        };
        let mut gate = lock(&self.gate);
        let slots = match self.policy {
            // A slot without a connection would end in a refusal; the queue is the place to wait.
            Policy::Full => {
                info.slots.min(u32::try_from(self.connection_limit).unwrap_or(u32::MAX))
            }
            Policy::Plain => u32::MAX,
        };
        if gate.admission.slots() != slots {
            let actions = gate.admission.set_slots(slots, now);
            gate.apply(actions);
        }
        drop(gate);
        self.backend.store(Some(Arc::new(Backend { info, pool })));
    }

    /// Sets the places in the queue and the share of bulk requests; requests that are present stay.
    pub fn set_policy(&self, queue: usize, bulk_share: f64, now: Duration) {
        let mut gate = lock(&self.gate);
        let actions = gate.admission.set_policy(queue, bulk_share, now);
        gate.apply(actions);
    }

    /// The backend server as it announced itself last.
    pub fn info(&self) -> Option<BackendInfo> {
        self.backend.load().as_ref().map(|backend| backend.info.clone())
    }

    /// Refuses the requests that wait for a slot.
    pub fn refuse_waiting(&self, kind: ErrorKind, now: Duration) {
        let mut gate = lock(&self.gate);
        let actions = gate.admission.refuse_waiting(kind, now);
        gate.apply(actions);
    }

    /// Whether the backend server answers its health endpoint at `path` within `timeout`, or is so busy that no
    /// connection is left to ask it.
    pub async fn is_healthy(&self, path: &str, timeout: Duration) -> bool {
        let Some(backend) = self.backend.load_full() else {
            return false;
        };
        let mut req = Request::new(ProxyBody::Empty);
        match path.parse() {
            Ok(uri) => *req.uri_mut() = uri,
            Err(e) => {
                tracing::warn!(path, error = %e, "the health endpoint cannot be asked");
                return true;
            }
        }
        match tokio::time::timeout(timeout, backend.pool.send(req)).await {
            Ok(Ok((res, _))) => res.status().is_success(),
            Ok(Err(SendError::Full)) => true,
            Ok(Err(_)) | Err(_) => false,
        }
    }

    /// Path of the health endpoint.
    pub fn health_path(&self, config: &CompiledConfig) -> String {
        let info = self.info();
        let service = info.and_then(|info| config.services.get(&info.service));
        service.map_or(HEALTH_PATH, health_path).to_owned()
    }

    /// Load as admission sees it.
    pub fn load(&self) -> LoadWire {
        load_of(&lock(&self.gate).admission)
    }

    /// Whether a request for `service` would start at once.
    pub fn is_free(&self, service: &str) -> bool {
        let ready = self.backend.load().as_ref().is_some_and(|backend| {
            backend.info.state == MemberState::Ready && backend.info.service == service
        });
        ready && lock(&self.gate).admission.has_free_slot()
    }

    /// Waits until the request may be dispatched.
    async fn admit(
        &self,
        cx: &Cx,
        head: &CallHead,
        deadline: Duration,
    ) -> Result<HostGuard, CallError> {
        let now = cx.clock.now();
        match self.offer(cx, head, deadline, now)? {
            Place::Slot(guard) => Ok(guard),
            Place::Queue(guard, rx) => wait_for_slot(guard, rx, deadline.saturating_sub(now)).await,
        }
    }

    fn offer(
        &self,
        cx: &Cx,
        head: &CallHead,
        deadline: Duration,
        now: Duration,
    ) -> Result<Place, CallError> {
        let mut gate = lock(&self.gate);
        if head.only_if_free && !gate.admission.has_free_slot() {
            return Err(CallError::no_free_slot(load_of(&gate.admission)));
        }
        gate.next_id += 1;
        let id = gate.next_id;
        let ticket = Ticket {
            id,
            class: head.class,
            route: &head.route,
            deadline: deadline.saturating_sub(ANSWER_MARGIN),
            target: head.target_ms.map(|left| now + Duration::from_millis(left)),
        };
        let offer = gate.admission.offer(ticket, now);
        gate.apply(offer.evicted);
        let guard = || HostGuard { cx: Arc::clone(cx), id: Some(id), connection: None };
        match offer.decision {
            Decision::Start => Ok(Place::Slot(guard())),
            Decision::Queued => {
                let (tx, rx) = oneshot::channel();
                gate.waiting.insert(id, tx);
                Ok(Place::Queue(guard(), rx))
            }
            Decision::Refuse { kind, retry_after } => {
                let e = CallError::new(kind, "the backend server has no room");
                Err(e.with_retry_after(retry_after))
            }
        }
    }

    fn release(&self, id: TicketId, whole: bool, now: Duration) {
        let mut gate = lock(&self.gate);
        gate.waiting.remove(&id);
        let actions =
            if whole { gate.admission.finish(id, now) } else { gate.admission.cancel(id, now) };
        gate.apply(actions);
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

fn load_of(admission: &Admission) -> LoadWire {
    let load = admission.load();
    LoadWire { running: load.running, queued: load.queued, slots: admission.slots() }
}

/// Place of a request that was not refused.
enum Place {
    Slot(HostGuard),
    Queue(HostGuard, oneshot::Receiver<Result<(), CallError>>),
}

async fn wait_for_slot(
    guard: HostGuard,
    rx: oneshot::Receiver<Result<(), CallError>>,
    timeout: Duration,
) -> Result<HostGuard, CallError> {
    match tokio::time::timeout(timeout, rx).await {
        Ok(Ok(Ok(()))) => Ok(guard),
        Ok(Ok(Err(e))) => {
            guard.forget();
            Err(e)
        }
        Ok(Err(_)) => Err(CallError::new(ErrorKind::Overloaded, "the queue was closed")),
        Err(_) => {
            Err(CallError::new(ErrorKind::DeadlineUnreachable, "the deadline passed in the queue"))
        }
    }
}

/// Slot of a request; given back when it is dropped.
pub struct HostGuard {
    cx: Cx,
    id: Option<TicketId>,
    connection: Option<PooledConnection>,
}

impl std::fmt::Debug for HostGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HostGuard").field("id", &self.id).finish_non_exhaustive()
    }
}

impl HostGuard {
    /// The answer is whole: the connection can be used again.
    pub fn finished(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        if let Some(id) = self.id.take() {
            self.cx.host.release(id, true, self.cx.clock.now());
        }
    }

    /// Drops the guard of a request that admission no longer knows.
    fn forget(mut self) {
        self.id = None;
    }
}

impl Drop for HostGuard {
    fn drop(&mut self) {
        // The next request starts with the slot, so its connection has to be free by then.
        self.connection = None;
        if let Some(id) = self.id.take() {
            self.cx.host.release(id, false, self.cx.clock.now());
        }
    }
}

/// Answer of the backend server, with the slot that it holds until its end.
#[derive(Debug)]
pub struct Admitted {
    /// Answer of the backend server.
    pub response: Response<Incoming>,
    /// Slot of the request.
    pub guard: HostGuard,
    /// Time at which the answer is broken off.
    pub deadline: Duration,
}

/// Admits a request and passes it to the backend server.
pub async fn run(cx: &Cx, head: &CallHead, req: Request<ProxyBody>) -> Result<Admitted, CallError> {
    let arrived = cx.clock.now();
    let request = lines::request_id(cx, req.headers());
    let mut started = None;
    let result = admit_and_send(cx, head, req, &mut started).await;
    let line = Hosted {
        request: &request,
        route: &head.route,
        arrived,
        started,
        result: result.as_ref().map(|admitted| admitted.response.status().as_u16()),
    };
    lines::hosted(cx, &line);
    result
}

/// Sets `started` once the request has a slot.
async fn admit_and_send(
    cx: &Cx,
    head: &CallHead,
    mut req: Request<ProxyBody>,
    started: &mut Option<Duration>,
) -> Result<Admitted, CallError> {
    let deadline = cx.clock.now() + Duration::from_millis(head.remaining_ms);
    let backend = able_backend(cx, head)?;
    let mut guard = cx.host.admit(cx, head, deadline).await?;
    *started = Some(cx.clock.now());
    let remaining = deadline.saturating_sub(cx.clock.now());
    let dialect = &cx.settings.dialect;
    headers::write_timeout(req.headers_mut(), &dialect.timeout, remaining);
    let request_id = req.headers().get(&dialect.request_id).cloned();
    if let (Some(proofs), Some(instance)) = (&dialect.proofs, &backend.info.instance) {
        headers::write_text(req.headers_mut(), &proofs.target_instance, instance);
    }
    if dialect.own_headers && head.retry {
        req.headers_mut().insert(headers::RETRY, HeaderValue::from_static("1"));
    }
    *req.version_mut() = Version::HTTP_11;
    let sent = tokio::time::timeout(remaining, backend.pool.send(req)).await;
    let (response, connection) = match sent {
        Ok(Ok(answered)) => answered,
        Ok(Err(e)) => return Err(CallError::from_send(e, "the backend server")),
        Err(_) => {
            return Err(CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed"));
        }
    };
    guard.connection = Some(connection);
    check_answer(dialect, request_id.as_ref(), &response)?;
    Ok(Admitted { response, guard, deadline })
}

fn able_backend(cx: &Cx, head: &CallHead) -> Result<Arc<Backend>, CallError> {
    if cx.phase() >= Phase::Handover {
        return Err(CallError::new(ErrorKind::Draining, "the daemon is draining"));
    }
    let none = || CallError::new(ErrorKind::NoBackendServer, "no backend server is announced here");
    let backend = cx.host.backend.load_full().ok_or_else(none)?;
    if backend.info.service != head.service {
        return Err(none());
    }
    match backend.info.state {
        MemberState::Ready => Ok(backend),
        MemberState::Draining | MemberState::Left => {
            Err(CallError::new(ErrorKind::Draining, "the backend server is draining"))
        }
        _ => Err(CallError::new(ErrorKind::NotReady, "the backend server is not ready")),
    }
}

/// Body of an answer that gives back its guard at its end.
pub fn tracked(cx: &Cx, body: Incoming, deadline: Duration, guard: Guard) -> ProxyBody {
    let left = deadline.saturating_sub(cx.clock.now());
    let mut guard = guard;
    if body.is_end_stream() {
        guard.finished();
        return ProxyBody::Empty;
    }
    let expected = body.size_hint().exact();
    ProxyBody::Tracked(Box::new(Tracked {
        inner: body,
        expected,
        deadline: Box::pin(tokio::time::sleep(left)),
        guard,
    }))
}
