//! Slots of the local backend server: requests that wait for one, hold one and give it back.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{CallHead, TenantHead};
use baobabreel_core::admission::{Action, Admission, ClientState, Decision, Ticket, TicketId};
use baobabreel_core::condition::HostedCondition;
use baobabreel_core::error::ErrorKind;
use tokio::sync::oneshot;

use super::info::BackendInfo;
use super::local::{LocalBackend, visible_load};
use super::run::Run;
use crate::context::Cx;
use crate::proxy::call_error::CallError;
use crate::proxy::place::Place;
use crate::proxy::pool::PooledConnection;
use crate::sync::lock;

/// Time that must be left for the response to travel back when a queued request starts.
const RESPONSE_MARGIN: Duration = Duration::from_millis(1);

/// A request that was not sent is refused so long before its deadline that the refusal reaches the entry daemon
/// in time. Otherwise the entry daemon would have to answer that the request may have run.
const REFUSAL_MARGIN: Duration = Duration::from_millis(10);

/// The margin for the refusal is at most the time limit divided by this.
const REFUSAL_MARGIN_DIVISOR: u32 = 8;

/// Time before the deadline at which a request that was not sent is refused, if `left` is left until it.
pub(super) fn refusal_margin(left: Duration) -> Duration {
    REFUSAL_MARGIN.min(left / REFUSAL_MARGIN_DIVISOR)
}

/// Admission state, and the channels that wake queued requests.
#[derive(Debug)]
pub(super) struct Admitter {
    pub admission: Admission,
    pub condition: HostedCondition,
    /// Backend server that `condition` is about; it may have been removed since.
    pub described: Option<BackendInfo>,
    waiting: HashMap<TicketId, oneshot::Sender<Result<(), CallError>>>,
    /// Places of the requests that run or wait.
    pub places: HashMap<TicketId, Arc<Place>>,
    next_id: TicketId,
}

impl Admitter {
    pub fn new(admission: Admission) -> Self {
        Self {
            admission,
            condition: HostedCondition::default(),
            described: None,
            waiting: HashMap::new(),
            places: HashMap::new(),
            next_id: 0,
        }
    }

    /// Begins a new condition unless `info` describes the same start of the backend server as before.
    pub fn describe(&mut self, info: &BackendInfo, now: Duration) {
        if !self.described.as_ref().is_some_and(|described| described.may_be_same_start(info)) {
            self.condition = HostedCondition::default();
            self.follow_limit(now);
        }
        self.described = Some(info.clone());
    }

    /// Applies the limit of the condition to the admission of requests.
    pub fn follow_limit(&mut self, now: Duration) {
        let actions = self.admission.set_rate_limit(self.condition.limit(), now);
        self.apply(actions);
    }

    /// Starts or refuses the queued requests that `actions` name.
    pub fn apply(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, result) = match action {
                Action::Start(id) => (id, Ok(())),
                Action::Refuse { id, kind, retry_after } => {
                    self.places.remove(&id);
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

impl LocalBackend {
    /// Waits until the request has a slot.
    pub(super) async fn admit(
        &self,
        cx: &Cx,
        head: &CallHead,
        tenant: Option<&TenantHead>,
        client: ClientState,
        deadline: Duration,
    ) -> Result<SlotGuard, CallError> {
        let now = cx.clock.now();
        match self.offer(cx, head, tenant, client, deadline, now)? {
            Accepted::Slot(guard) => Ok(guard),
            Accepted::Queue(guard, rx) => {
                let left = deadline.saturating_sub(now);
                wait_for_slot(guard, rx, left - refusal_margin(left)).await
            }
        }
    }

    /// Offers the request to admission, which gives it a slot, queues or refuses it.
    fn offer(
        &self,
        cx: &Cx,
        head: &CallHead,
        tenant: Option<&TenantHead>,
        client: ClientState,
        deadline: Duration,
        now: Duration,
    ) -> Result<Accepted, CallError> {
        let mut admitter = lock(&self.admitter);
        if head.only_if_free && !admitter.admission.has_free_slot(now) {
            self.contended.notify_one();
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
            tenant: tenant.map(|tenant| tenant.name.as_str()),
            // Where callers have API keys, only calls of backend servers have no tenant.
            nested: tenant.is_none() && cx.config.load().tenants.is_some(),
        };
        let offer = admitter.admission.offer_of(client, ticket, now);
        admitter.apply(offer.evicted);
        let place = Place::new(cx.clock);
        if !matches!(offer.decision, Decision::Refuse { .. }) {
            admitter.places.insert(id, Arc::clone(&place));
        }
        if offer.decision != Decision::Start {
            self.contended.notify_one();
        }
        let guard = || SlotGuard { cx: Arc::clone(cx), id: Some(id), place, run: None };
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

    /// Starts the queued requests that the rate limit now allows, and refuses those that can no longer end in
    /// time. Returns when the next one may be due; `None` if none waits.
    fn start_due(&self, now: Duration) -> Option<Duration> {
        let mut admitter = lock(&self.admitter);
        let actions = admitter.admission.start_due(now);
        admitter.apply(actions);
        admitter.admission.next_wake(now)
    }

    /// Wakes [`start_at_rate_limit`] if a request waits in the queue.
    pub(super) fn wake_pacer(&self, admitter: &Admitter) {
        if admitter.admission.load().queued > 0 {
            self.pacer.notify_one();
        }
    }

    /// Ends a request and starts those that its slot allows; `is_complete` tells whether its response was
    /// received to the end.
    fn release(&self, id: TicketId, is_complete: bool, now: Duration) {
        let mut admitter = lock(&self.admitter);
        admitter.waiting.remove(&id);
        let place = admitter.places.remove(&id);
        let actions = if is_complete {
            let lag = place.map_or(Duration::ZERO, |place| place.lag());
            admitter.admission.finish_after_lag(id, lag, now)
        } else {
            admitter.admission.cancel(id, now)
        };
        admitter.apply(actions);
        if admitter.admission.next_due().is_some() {
            self.pacer.notify_one();
        }
    }
}

/// Starts queued requests as the rate limit of the backend server allows it, and refuses those that can no
/// longer end in time.
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
    /// Also holds the connection to the backend server.
    pub(super) place: Arc<Place>,
    /// Run at the backend server, once the request was sent and if it has a digest.
    pub(super) run: Option<Run>,
}

impl std::fmt::Debug for SlotGuard {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SlotGuard").field("id", &self.id).finish_non_exhaustive()
    }
}

impl SlotGuard {
    /// Place of the request.
    pub fn place(&self) -> &Place {
        &self.place
    }

    /// Records that the response was received to its end: the connection can be reused.
    pub fn complete(&mut self) {
        if let Some(run) = self.run.take() {
            run.survived();
        }
        if let Some(connection) = self.place.take_connection() {
            connection.release();
        }
        if let Some(id) = self.id.take() {
            self.cx.host.release(id, true, self.cx.clock.now());
        }
    }

    /// Records that the request was not run to its end; `is_lost` tells whether its connection was lost.
    pub(super) fn end_run(&mut self, is_lost: bool) {
        match self.run.take() {
            Some(run) if is_lost => run.lost(),
            Some(run) => run.dismiss(),
            None => {}
        }
    }

    /// Drops the guard of a request that admission has already removed.
    fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        let connection = self.place.take_connection();
        if connection.as_ref().is_some_and(PooledConnection::is_closed) {
            self.end_run(true);
        }
        // Releasing the slot starts the next request, which needs the connection.
        drop(connection);
        if let Some(id) = self.id.take() {
            self.cx.host.release(id, false, self.cx.clock.now());
        }
    }
}
