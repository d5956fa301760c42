//! Start and shutdown of a daemon.
//!
//! [`Daemon::start`] binds the listeners and starts the control plane; [`Daemon::shutdown`] drains
//! the daemon. Through [`Handle`], an adapter passes on what it learns from its platform.

mod handle;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use baobabreel_core::idempotency::ISSUE_MARGIN_LEFT;
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, StatusCode};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::adapter::{Adapter, NativeAdapter};
use crate::buffers::take_back_buffers;
use crate::context::{Context, Cx, Identity, Phase, append_entry};
use crate::control::{BackendTracker, Control, Leave, LocalChanged};
use crate::listeners::{Reply, bind, bind_callers, serve_callers, serve_peers, serve_simple_http};
use crate::operators::serve_operators;
use crate::proxy::{start_at_rate_limit, take_back_slots, watch_link};
use crate::settings::Settings;
use crate::telemetry::Metrics;

pub use handle::Handle;

/// Longest time for appending the `leave` entry to the log.
const LEAVE_APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for the other members to learn that this daemon is leaving; a shorter `host_notice`
/// of the settings reduces it. Until they are told, they continue to use the backend server beside
/// it.
const MAX_MEMBERS_NOTICE: Duration = Duration::from_secs(1);

/// Time after the start of the drain during which the next owners of keys can ask for outcomes.
///
/// Keys issued more than [`ISSUE_MARGIN_LEFT`] after the takeover are known not to have run here.
/// The additional 1 s is for the `leave` entry to reach the next owners.
const HANDOVER_TIME: Duration = ISSUE_MARGIN_LEFT.saturating_add(Duration::from_secs(1));

/// Interval between checks whether all requests have ended.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Addresses that a daemon listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For announcements of the backend server.
    pub backend: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
}

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    cx: Cx,
    control: Control,
    addresses: Addresses,
    tasks: TaskTracker,
    /// Stops the control plane and the listeners for the backend server and for operators.
    stop: CancellationToken,
    /// Stops the listeners for callers and peers.
    stop_serving: CancellationToken,
}

struct Listeners {
    callers: TcpListener,
    peers: TcpListener,
    backend: TcpListener,
    operators: TcpListener,
}

impl Listeners {
    async fn bind(settings: &Settings) -> Result<Self> {
        let listen = &settings.listen;
        Ok(Self {
            callers: bind_callers(listen.callers)?,
            peers: bind("peers", listen.peers).await?,
            backend: bind("backend", listen.backend).await?,
            operators: bind("operators", listen.operators).await?,
        })
    }

    fn addresses(&self) -> Result<Addresses> {
        let addr = |listener: &TcpListener| {
            listener.local_addr().wrap_err("failed to read the address of a listener")
        };
        Ok(Addresses {
            callers: addr(&self.callers)?,
            peers: addr(&self.peers)?,
            backend: addr(&self.backend)?,
            operators: addr(&self.operators)?,
        })
    }
}

impl Daemon {
    /// Starts a daemon with validated settings and no platform of its own.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the metrics cannot be created.
    pub async fn start(settings: Settings) -> Result<Self> {
        Self::start_on(settings, NativeAdapter).await
    }

    /// Starts a daemon that runs on the platform of `adapter`.
    ///
    /// # Errors
    ///
    /// An address cannot be bound, or the metrics cannot be created.
    pub async fn start_on(settings: Settings, adapter: impl Adapter) -> Result<Self> {
        let listeners = Listeners::bind(&settings).await?;
        let addresses = listeners.addresses()?;
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let identity = Identity {
            id: settings.daemon.clone(),
            incarnation: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            data_centre: settings.data_centre.clone(),
            peer_addr: settings.advertise_peers.unwrap_or(addresses.peers),
        };
        let cx: Cx = Arc::new(Context::new(settings, identity, Metrics::new()?));
        let tasks = TaskTracker::new();
        let stop = CancellationToken::new();
        let stop_serving = CancellationToken::new();
        let control = Control::start(&cx, &tasks, &stop);
        let daemon = Self { cx, control, addresses, tasks, stop, stop_serving };
        daemon.serve(listeners, adapter);
        tracing::info!(
            daemon = daemon.cx.identity.id,
            data_centre = daemon.cx.identity.data_centre,
            callers = %addresses.callers,
            peers = %addresses.peers,
            backend = %addresses.backend,
            operators = %addresses.operators,
            "ready"
        );
        Ok(daemon)
    }

    /// Starts the tasks that serve the listeners and track the backend server.
    fn serve(&self, listeners: Listeners, adapter: impl Adapter) {
        let (cx, control) = (Arc::clone(&self.cx), self.control.clone());
        let stop_serving = self.stop_serving.clone();
        self.tasks.spawn(serve_callers(Arc::clone(&cx), listeners.callers, stop_serving.clone()));
        let peers = serve_peers(Arc::clone(&cx), control.clone(), listeners.peers, stop_serving);
        self.tasks.spawn(peers);
        let operators = {
            let (cx, control, adapter) = (Arc::clone(&cx), control.clone(), adapter.clone());
            move |req| answer_operator(Arc::clone(&cx), control.clone(), adapter.clone(), req)
        };
        self.tasks.spawn(serve_simple_http(listeners.operators, self.stop.clone(), operators));
        let tracker = Arc::new(BackendTracker::default());
        let backend = {
            let (cx, control) = (Arc::clone(&cx), control.clone());
            let tracker = Arc::clone(&tracker);
            move |req| {
                let tracker = Arc::clone(&tracker);
                answer_backend(Arc::clone(&cx), control.clone(), tracker, adapter.clone(), req)
            }
        };
        self.tasks.spawn(serve_simple_http(listeners.backend, self.stop.clone(), backend));
        let stop = self.stop.clone();
        let pacer = start_at_rate_limit(Arc::clone(&self.cx));
        self.tasks.spawn(async move { stop.run_until_cancelled(pacer).await });
        let stop = self.stop.clone();
        let watch = watch_link(Arc::clone(&self.cx));
        self.tasks.spawn(async move { stop.run_until_cancelled(watch).await });
        let stop = self.stop.clone();
        let reclaim = take_back_slots(Arc::clone(&self.cx));
        self.tasks.spawn(async move { stop.run_until_cancelled(reclaim).await });
        for buffers in [&self.cx.request_buffers, &self.cx.response_buffers] {
            let stop = self.stop.clone();
            let reclaim = take_back_buffers(Arc::clone(&self.cx), Arc::clone(buffers));
            self.tasks.spawn(async move { stop.run_until_cancelled(reclaim).await });
        }
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = async {
                    tracker.find(&cx, &control).await;
                    tracker.watch(&cx, &control).await;
                } => {}
            }
        });
    }

    /// Addresses that the daemon listens on.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Handle through which the adapter passes on what it learns from its platform.
    #[must_use]
    pub fn handle(&self) -> Handle {
        Handle { cx: Arc::clone(&self.cx), control: self.control.clone() }
    }

    /// State that the components of the daemon share.
    #[must_use]
    pub fn context(&self) -> &Cx {
        &self.cx
    }

    /// Drains and stops the daemon; returns whether all requests ended before the drain limit.
    ///
    /// Callers are told first, as they may take longer to switch to another daemon, and then the
    /// other daemons. New calls to the backend server beside it are refused before requests of
    /// callers are, so that running calls have time to end. Running requests get up to the drain
    /// limit of the settings; those of callers that have no response then are answered by an error.
    pub async fn shutdown(self) -> bool {
        tracing::info!("draining");
        self.cx.begin_drain();
        let begin = Instant::now();
        let (notice, host_notice) = (self.cx.settings.drain_notice, self.cx.settings.host_notice);
        let members_notice = host_notice.min(MAX_MEMBERS_NOTICE);
        tokio::time::sleep_until(begin + host_notice - members_notice).await;
        self.cx.advance(Phase::Leaving);
        self.notify_membership().await;
        tokio::time::sleep_until(begin + host_notice).await;
        self.cx.advance(Phase::Handover);
        tokio::time::sleep_until(begin + notice.max(host_notice)).await;
        self.cx.advance(Phase::Draining);
        let plan = self.cx.drain_plan();
        let step_end = |time| begin + plan.step_end(begin.elapsed(), time);
        let handover_end = step_end(HANDOVER_TIME);
        let may_have_owned_keys = self.hand_over_keys(step_end(LEAVE_APPEND_TIMEOUT)).await;
        let whole = self.wait_until_idle(begin + plan.answer_at()).await;
        if !whole {
            // Responses that came while the daemon was held up are passed on first.
            tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            self.cx.drain_end.reach();
        }
        if may_have_owned_keys {
            tokio::time::sleep_until(handover_end).await;
        }
        self.stop_serving.cancel();
        self.leave().await;
        self.stop.cancel();
        self.tasks.close();
        let close_timeout = plan.close_timeout(begin.elapsed());
        if tokio::time::timeout(close_timeout, self.tasks.wait()).await.is_err() {
            tracing::warn!("connections were still open when the daemon stopped");
        }
        let took_ms = begin.elapsed().as_millis();
        let answered = self.cx.drain_end.answered();
        tracing::info!(
            whole,
            took_ms,
            in_flight = self.cx.in_flight(),
            answered_not_run = answered.not_run,
            answered_unknown = answered.unknown,
            "stopped"
        );
        whole
    }

    /// Tells the membership actor that the phase of this daemon has changed.
    async fn notify_membership(&self) {
        if self.control.membership.tell(LocalChanged).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    /// Waits until no request is in flight, at most until `end`; returns whether that came true.
    async fn wait_until_idle(&self, end: Instant) -> bool {
        let idle = async {
            while self.cx.in_flight() > 0 {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        let is_idle = tokio::time::timeout_at(end, idle).await.is_ok();
        if !is_idle {
            tracing::warn!(
                requests = self.cx.in_flight(),
                "the drain limit has passed; requests without a response are answered, others are aborted"
            );
        }
        is_idle
    }

    /// Hands the idempotency keys over to the next owners, by appending a `leave` entry to the log.
    ///
    /// This happens before the running requests end, because the next owners take over at once and
    /// can ask this daemon for its outcomes only while it is running. Waits for the log until `end`
    /// at most. Returns whether it may have owned keys.
    async fn hand_over_keys(&self, end: Instant) -> bool {
        if !self.cx.keys.retire() {
            return false;
        }
        let Some(log) = &self.cx.log else { return true };
        let entry = self.cx.identity.leave();
        let append = append_entry(log, &entry);
        match tokio::time::timeout_at(end, append).await {
            Ok(_) => {}
            Err(_) => tracing::warn!("the log did not take the leave entry in time"),
        }
        true
    }

    /// Tells the membership actor that this daemon stops now.
    async fn leave(&self) {
        if self.control.membership.tell(Leave).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    /// Stops the daemon at once without draining it, like a crash.
    pub fn abort(self) {
        self.cx.aborted.cancel();
        // A request whose task runs at this moment is refused.
        self.cx.advance(Phase::Draining);
        self.stop.cancel();
        self.stop_serving.cancel();
        if let Some(distribution) = self.control.config.distribution() {
            distribution.kill();
        }
        self.control.membership.kill();
    }
}

/// Answers a request to the listener for the backend server, which announces its state.
async fn answer_backend(
    cx: Cx,
    control: Control,
    tracker: Arc<BackendTracker>,
    adapter: impl Adapter,
    req: Request<Bytes>,
) -> Reply {
    let message = match adapter.backend_message(&req) {
        Ok(message) => message,
        Err(reply) => {
            tracing::warn!(
                status = %reply.status,
                reason = reply.body,
                "refused a message of the backend server"
            );
            return reply;
        }
    };
    tracker.take(&cx, &control, message).await;
    cx.apply_host_policy(&cx.config.load());
    Reply::json(&serde_json::json!({}))
}

/// Answers a request to the listener for operators, which also receives the readiness checks of the
/// platform.
async fn answer_operator(
    cx: Cx,
    control: Control,
    adapter: impl Adapter,
    req: Request<Bytes>,
) -> Reply {
    if !adapter.is_readiness_check(&req) {
        return serve_operators(cx, control, req).await;
    }
    match cx.phase() {
        Phase::Serving => Reply::json(&serde_json::json!({ "ready": true })),
        phase => Reply::error(StatusCode::SERVICE_UNAVAILABLE, &format!("{phase:?}")),
    }
}
