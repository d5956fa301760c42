//! Admission of requests to the local backend server, and their dispatch.
//!
//! The local backend server is the one that runs next to this daemon and announced itself to it.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use baobabreel_client::wire::{CallHead, LoadWire};
use baobabreel_core::admission::{Action, Admission, Decision, Ticket, TicketId};
use baobabreel_core::balance::LoadReport;
use baobabreel_core::condition::{
    Condition, ConditionChange, HostedCondition, RateStatement, ReportedCondition,
};
use baobabreel_core::config::{CompiledConfig, ServicePolicy};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::{InstanceId, ServiceName};
use baobabreel_core::membership::MemberState;
use baobabreel_core::registration::BootTime;
use http::{HeaderValue, Request, Response, Version};
use hyper::body::{Body, Incoming};
use tokio::sync::{Notify, oneshot};

use super::body::{Guard, ProxyBody, Tracked};
use super::call_error::CallError;
use super::headers;
use super::lines::{self, HostedRequest};
use super::pool::{ConnectionPool, PooledConnection, Protocol, SendError};
use super::response_check::{check_origin, check_response};
use crate::context::{Cx, Phase};
use crate::control::LocalChanged;
use crate::settings::Policy;
use crate::sync::lock;

/// Path of the health endpoint of a backend server if the configuration sets none.
const HEALTH_PATH: &str = "/health";

/// Time that must be left for the response to travel back when a queued request starts.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1);

/// A backend server as it announced itself.
#[derive(Debug, Clone)]
pub struct BackendInfo {
    /// Service that it belongs to.
    pub service: ServiceName,
    /// Address that it accepts requests on.
    pub address: SocketAddr,
    /// HTTP version that it accepts.
    pub protocol: Protocol,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Membership state that it announced.
    pub state: MemberState,
    /// Instance identifier that it reported, if any.
    pub instance: Option<InstanceId>,
    /// Start time that it reported, if any.
    pub boot: Option<BootTime>,
}

impl BackendInfo {
    /// Whether `newer` describes the same start of the same backend server; an unknown start time may be any.
    fn may_be_start_of(&self, newer: &Self) -> bool {
        self.address == newer.address
            && self.protocol == newer.protocol
            && self.instance == newer.instance
            && (self.boot.is_none() || self.boot == newer.boot)
    }
}

/// An announced backend server and the connections to it.
#[derive(Debug)]
struct Backend {
    info: BackendInfo,
    pool: Arc<ConnectionPool>,
}

/// Admission state, and the channels that wake queued requests.
#[derive(Debug)]
struct Admitter {
    admission: Admission,
    condition: HostedCondition,
    /// Backend server that `condition` is about; it may have been removed since.
    described: Option<BackendInfo>,
    waiting: HashMap<TicketId, oneshot::Sender<Result<(), CallError>>>,
    next_id: TicketId,
}

impl Admitter {
    /// Begins a new condition unless `info` describes the same start of the backend server as before.
    fn describe(&mut self, info: &BackendInfo, now: Duration) {
        if !self.described.as_ref().is_some_and(|described| described.may_be_start_of(info)) {
            self.condition = HostedCondition::default();
            self.follow_limit(now);
        }
        self.described = Some(info.clone());
    }

    /// Applies the limit of the condition to the admission of requests.
    fn follow_limit(&mut self, now: Duration) {
        let actions = self.admission.set_rate_limit(self.condition.limit(), now);
        self.apply(actions);
    }

    /// Starts or refuses the queued requests that `actions` name.
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
                // A request that stopped waiting releases its slot when its guard is dropped.
                drop(tx.send(result));
            }
        }
    }
}

/// The local backend server and the admission of requests to it.
#[derive(Debug)]
pub struct LocalBackend {
    backend: ArcSwapOption<Backend>,
    admitter: Arc<Mutex<Admitter>>,
    /// Wakes the task that starts queued requests at the rate limit.
    pacer: Notify,
    connection_limit: usize,
    policy: Policy,
}

impl LocalBackend {
    /// Creates the state of a daemon whose backend server has not announced itself.
    #[must_use]
    pub fn new(connection_limit: usize, policy: Policy) -> Self {
        let admitter = Admitter {
            admission: Admission::builder().class_aware(policy == Policy::Full).build(),
            condition: HostedCondition::default(),
            described: None,
            waiting: HashMap::new(),
            next_id: 0,
        };
        let admitter = Arc::new(Mutex::new(admitter));
        Self {
            backend: ArcSwapOption::empty(),
            admitter,
            pacer: Notify::new(),
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
        let is_same = |known: &Arc<Backend>| known.info.may_be_start_of(&info);
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
        }
        if admitter.condition.is_leaving() {
            info.state = MemberState::Draining;
        }
        let state = info.state;
        self.backend.store(Some(Arc::new(Backend { info, pool })));
        drop(admitter);
        state
    }

    /// Sets the queue length and the share of bulk requests; requests already admitted or queued stay.
    pub fn set_policy(&self, queue: usize, bulk_share: f64, now: Duration) {
        let mut admitter = lock(&self.admitter);
        let actions = admitter.admission.set_policy(queue, bulk_share, now);
        admitter.apply(actions);
    }

    /// The last announcement of the backend server.
    pub fn info(&self) -> Option<BackendInfo> {
        self.backend.load().as_ref().map(|backend| backend.info.clone())
    }

    /// Whether the backend server has begun to leave.
    fn is_draining(&self) -> bool {
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

    /// Load for the balancers of daemons, which counts a backend server at its rate limit as full.
    pub fn visible_load(&self, now: Duration) -> LoadWire {
        visible_load(&lock(&self.admitter).admission, now)
    }

    /// Whether a request for `service` would start without waiting.
    pub fn can_start_now(&self, service: &str, now: Duration) -> bool {
        let ready = self.backend.load().as_ref().is_some_and(|backend| {
            backend.info.state == MemberState::Ready && backend.info.service == service
        });
        ready && lock(&self.admitter).admission.has_free_slot(now)
    }

    /// Waits until the request has a slot.
    async fn admit(
        &self,
        cx: &Cx,
        head: &CallHead,
        deadline: Duration,
    ) -> Result<SlotGuard, CallError> {
        let now = cx.clock.now();
        match self.offer(cx, head, deadline, now)? {
            Accepted::Slot(guard) => Ok(guard),
            Accepted::Queue(guard, rx) => {
                wait_for_slot(guard, rx, deadline.saturating_sub(now)).await
            }
        }
    }

    /// Offers the request to admission, which gives it a slot, queues or refuses it.
    fn offer(
        &self,
        cx: &Cx,
        head: &CallHead,
        deadline: Duration,
        now: Duration,
    ) -> Result<Accepted, CallError> {
        let mut admitter = lock(&self.admitter);
        if head.only_if_free && !admitter.admission.has_free_slot(now) {
            return Err(CallError::no_free_slot(visible_load(&admitter.admission, now)));
        }
        admitter.next_id += 1;
        let id = admitter.next_id;
        let ticket = Ticket {
            id,
            class: head.class,
            route: &head.route,
            deadline: deadline.saturating_sub(RESPONSE_MARGIN),
            target: head.target_ms.map(|left| now + Duration::from_millis(left)),
        };
        let offer = admitter.admission.offer(ticket, now);
        admitter.apply(offer.evicted);
        let guard = || SlotGuard { cx: Arc::clone(cx), id: Some(id), connection: None };
        match offer.decision {
            Decision::Start => Ok(Accepted::Slot(guard())),
            Decision::Queued => {
                let (tx, rx) = oneshot::channel();
                admitter.waiting.insert(id, tx);
                self.wake_pacer(&admitter);
                Ok(Accepted::Queue(guard(), rx))
            }
            Decision::Refuse { kind, retry_after } => {
                let e = CallError::new(kind, "the backend server has no room");
                Err(e.with_retry_after(retry_after))
            }
        }
    }

    /// Starts the queued requests that the rate limit now allows. Returns when it allows the next one; `None` if
    /// none waits for it.
    fn start_due(&self, now: Duration) -> Option<Duration> {
        let mut admitter = lock(&self.admitter);
        let actions = admitter.admission.start_due(now);
        admitter.apply(actions);
        admitter.admission.next_due()
    }

    /// Wakes [`start_at_rate_limit`] if a queued request waits for the rate limit.
    fn wake_pacer(&self, admitter: &Admitter) {
        if admitter.admission.next_due().is_some() {
            self.pacer.notify_one();
        }
    }

    /// Ends a request and starts those that its slot allows; `is_complete` tells whether its response was
    /// received to the end.
    fn release(&self, id: TicketId, is_complete: bool, now: Duration) {
        let mut admitter = lock(&self.admitter);
        admitter.waiting.remove(&id);
        let actions = if is_complete {
            admitter.admission.finish(id, now)
        } else {
            admitter.admission.cancel(id, now)
        };
        admitter.apply(actions);
        self.wake_pacer(&admitter);
    }

    /// Records what a response of the backend server `info` states.
    pub fn record_statement(&self, cx: &Cx, info: &BackendInfo, stated: Condition) {
        if stated.rate == RateStatement::Unreadable {
            lines::log_unreadable_limit(cx, info);
        }
        let now = cx.clock.now();
        self.record_condition(cx, info, |condition| condition.state(stated, now));
    }

    /// Updates the condition of the backend server `info` by a response, unless another one has taken its place.
    fn record_condition(
        &self,
        cx: &Cx,
        info: &BackendInfo,
        update: impl FnOnce(&mut HostedCondition) -> Option<ConditionChange>,
    ) {
        let now = cx.clock.now();
        let mut admitter = lock(&self.admitter);
        if !admitter.described.as_ref().is_some_and(|described| info.may_be_start_of(described)) {
            return;
        }
        let Some(change) = update(&mut admitter.condition) else { return };
        admitter.follow_limit(now);
        self.wake_pacer(&admitter);
        if change.starts_leaving {
            self.drain_backend(&mut admitter, now);
        }
        drop(admitter);
        lines::log_condition(info, &change);
        if change.starts_leaving {
            notify_membership(cx);
        }
    }

    /// What the backend server has stated, for daemons that send it calls.
    pub fn reported_condition(&self) -> Option<ReportedCondition> {
        let admitter = lock(&self.admitter);
        let condition = admitter.condition.stated()?;
        let described = admitter.described.as_ref()?;
        let instance = described.instance.clone()?;
        Some(ReportedCondition { instance, boot: described.boot, condition })
    }

    /// Gives the backend server no more requests, as it is leaving.
    fn drain_backend(&self, admitter: &mut Admitter, now: Duration) {
        if let Some(backend) = self.backend.load_full() {
            let info = BackendInfo { state: MemberState::Draining, ..backend.info.clone() };
            let pool = Arc::clone(&backend.pool);
            self.backend.store(Some(Arc::new(Backend { info, pool })));
        }
        let actions = admitter.admission.refuse_waiting(ErrorKind::Draining, now);
        admitter.apply(actions);
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

fn visible_load(admission: &Admission, now: Duration) -> LoadWire {
    load_wire(admission.visible_load(now), admission.slots())
}

fn load_wire(load: LoadReport, slots: u32) -> LoadWire {
    LoadWire { running: load.running, queued: load.queued, slots }
}

/// Tells the membership actor that the state of the backend server has changed.
fn notify_membership(cx: &Cx) {
    let Some(membership) = cx.membership() else { return };
    tokio::spawn(async move {
        if membership.tell(LocalChanged).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    });
}

/// Starts queued requests as the rate limit of the backend server allows it.
pub async fn start_at_rate_limit(cx: Cx) {
    loop {
        let wake = cx.host.pacer.notified();
        match cx.host.start_due(cx.clock.now()) {
            // A change of the limit may allow an earlier start.
            Some(next) => {
                let time = next.saturating_sub(cx.clock.now());
                drop(tokio::time::timeout(time, wake).await);
            }
            None => wake.await,
        }
    }
}

/// A request that was not refused: it has a slot, or waits for one in the queue.
enum Accepted {
    Slot(SlotGuard),
    Queue(SlotGuard, oneshot::Receiver<Result<(), CallError>>),
}

/// Waits in the queue for a slot, at most for `timeout`.
async fn wait_for_slot(
    guard: SlotGuard,
    rx: oneshot::Receiver<Result<(), CallError>>,
    timeout: Duration,
) -> Result<SlotGuard, CallError> {
    match tokio::time::timeout(timeout, rx).await {
        Ok(Ok(Ok(()))) => Ok(guard),
        Ok(Ok(Err(e))) => {
            guard.disarm();
            Err(e)
        }
        Ok(Err(_)) => Err(CallError::new(ErrorKind::Overloaded, "the queue was closed")),
        Err(_) => {
            Err(CallError::new(ErrorKind::DeadlineUnreachable, "the deadline passed in the queue"))
        }
    }
}

/// Slot or queue position of a request; released on drop.
pub struct SlotGuard {
    cx: Cx,
    id: Option<TicketId>,
    connection: Option<PooledConnection>,
}

impl std::fmt::Debug for SlotGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("HostGuard").field("id", &self.id).finish_non_exhaustive()
    }
}

impl SlotGuard {
    /// Records that the response was received to its end: the connection can be reused.
    pub fn complete(&mut self) {
        if let Some(connection) = self.connection.take() {
            connection.release();
        }
        if let Some(id) = self.id.take() {
            self.cx.host.release(id, true, self.cx.clock.now());
        }
    }

    /// Drops the guard of a request that admission has already removed.
    fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        // Releasing the slot starts the next request, which needs the connection.
        self.connection = None;
        if let Some(id) = self.id.take() {
            self.cx.host.release(id, false, self.cx.clock.now());
        }
    }
}

/// Response of the backend server, with the slot that it holds until its end.
#[derive(Debug)]
pub struct HostedResponse {
    /// Response of the backend server.
    pub response: Response<Incoming>,
    /// Slot of the request.
    pub guard: SlotGuard,
    /// Time at which the response is aborted.
    pub deadline: Duration,
}

/// Admits a request and passes it to the backend server.
pub async fn forward_to_backend(
    cx: &Cx,
    head: &CallHead,
    req: Request<ProxyBody>,
) -> Result<HostedResponse, CallError> {
    let arrived = cx.clock.now();
    let request = lines::request_id(cx, req.headers());
    let mut started = None;
    let result = admit_and_send(cx, head, req, &mut started).await;
    let line = HostedRequest {
        request: &request,
        route: &head.route,
        arrived,
        started,
        result: result.as_ref().map(|admitted| admitted.response.status().as_u16()),
    };
    lines::log_hosted(cx, &line);
    result
}

/// Admits a request and sends it; sets `started` once the request has a slot.
async fn admit_and_send(
    cx: &Cx,
    head: &CallHead,
    mut req: Request<ProxyBody>,
    started: &mut Option<Duration>,
) -> Result<HostedResponse, CallError> {
    let deadline = cx.clock.now() + Duration::from_millis(head.remaining_ms);
    let backend = ready_backend(cx, head)?;
    let mut guard = cx.host.admit(cx, head, deadline).await?;
    if cx.host.is_draining() {
        return Err(draining());
    }
    let sent_at = cx.clock.now();
    *started = Some(sent_at);
    let remaining = deadline.saturating_sub(sent_at);
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
        Ok(Err(e)) => return Err(CallError::from_send_error(e, "the backend server")),
        Err(_) => {
            return Err(CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed"));
        }
    };
    guard.connection = Some(connection);
    check_origin(dialect, request_id.as_ref(), &response)?;
    let stated = dialect.condition.read(response.headers());
    cx.host.record_statement(cx, &backend.info, stated);
    check_response(dialect, &response)?;
    if stated.rate == RateStatement::Unlimited {
        cx.host.record_condition(cx, &backend.info, |c| c.state_unlimited(sent_at));
    }
    Ok(HostedResponse { response, guard, deadline })
}

/// The local backend server, if it belongs to the service of the call and is ready.
fn ready_backend(cx: &Cx, head: &CallHead) -> Result<Arc<Backend>, CallError> {
    if cx.phase() >= Phase::Handover {
        return Err(CallError::new(ErrorKind::Draining, "the daemon is draining"));
    }
    let none = || CallError::new(ErrorKind::NoBackendServer, "no backend server is announced here");
    let backend = cx.host.backend.load_full().ok_or_else(none)?;
    if backend.info.service != head.service {
        return Err(none());
    }
    if let Some(known) = &head.condition {
        apply_known_condition(cx, &backend.info, &known.clone().into())?;
    }
    match backend.info.state {
        MemberState::Ready => Ok(backend),
        MemberState::Draining | MemberState::Left => Err(draining()),
        _ => Err(CallError::new(ErrorKind::NotReady, "the backend server is not ready")),
    }
}

/// Applies what the entry daemon of a call knows of the backend server, which this daemon may have forgotten in
/// a restart. The entry daemon must not use one that told it that it leaves.
fn apply_known_condition(
    cx: &Cx,
    info: &BackendInfo,
    known: &ReportedCondition,
) -> Result<(), CallError> {
    if !known.may_be_about(info.instance.as_deref(), info.boot) {
        return Ok(());
    }
    if known.condition.is_leaving {
        return Err(draining());
    }
    let now = cx.clock.now();
    cx.host.record_condition(cx, info, |c| c.adopt_limit(known.condition, now));
    Ok(())
}

fn draining() -> CallError {
    CallError::new(ErrorKind::Draining, "the backend server is draining")
}

/// Wraps a response body so that it completes its guard at its end and is aborted at the deadline.
pub fn track_body(cx: &Cx, body: Incoming, deadline: Duration, guard: Guard) -> ProxyBody {
    let left = deadline.saturating_sub(cx.clock.now());
    let mut guard = guard;
    if body.is_end_stream() {
        guard.complete();
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
