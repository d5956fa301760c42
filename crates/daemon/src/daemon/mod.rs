//! Start and shutdown of a daemon.
//!
//! [`Daemon::start`] binds the listeners and starts the control plane; [`Daemon::shutdown`] drains
//! the daemon. Through [`Handle`], an adapter passes on what it learns from its platform.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use baobabreel_client::wire::PackedDocument;
use baobabreel_core::config::{Document, DocumentVersion};
use baobabreel_core::idempotency::ISSUE_MARGIN_LEFT;
use baobabreel_core::membership::Member;
use baobabreel_core::relay::{PollTurn, ReadReason, keeps_copy};
use bytes::Bytes;
use eyre::{Result, WrapErr};
use http::{Request, StatusCode};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::adapter::{Adapter, NativeAdapter};
use crate::context::{Context, Cx, Identity, Phase, append_entry};
use crate::control::{
    BackendTracker, Control, Leave, ListedMembers, LocalChanged, Origin, StoreGeneration,
    announce_reading, confirm_document, offer_document, platform_lost,
};
use crate::listeners::{Reply, bind, serve_callers, serve_peers, serve_simple_http};
use crate::operators::serve_operators;
use crate::proxy::{Quarantine, start_at_rate_limit};
use crate::settings::Settings;
use crate::telemetry::Metrics;

/// Time limit for appending the `leave` entry to the log.
const LEAVE_APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for the other members to learn that this daemon is leaving; a shorter `host_notice`
/// of the settings reduces it. Until they are told, they continue to use the backend server beside
/// it.
const MAX_MEMBERS_NOTICE: Duration = Duration::from_secs(1);

/// Time limit for closing idle connections and for the end of the remaining tasks.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

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
            callers: bind("callers", listen.callers).await?,
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
    /// limit of the settings.
    pub async fn shutdown(self) -> bool {
        tracing::info!("draining");
        self.cx.advance(Phase::Closing);
        let (notice, host_notice) = (self.cx.settings.drain_notice, self.cx.settings.host_notice);
        let members_notice = host_notice.min(MAX_MEMBERS_NOTICE);
        tokio::time::sleep(host_notice - members_notice).await;
        self.cx.advance(Phase::Leaving);
        self.notify_membership().await;
        tokio::time::sleep(members_notice).await;
        self.cx.advance(Phase::Handover);
        tokio::time::sleep(notice.saturating_sub(host_notice)).await;
        self.cx.advance(Phase::Draining);
        let drain_start = self.cx.clock.now();
        let may_have_owned_keys = self.hand_over_keys().await;
        let whole = self.wait_until_idle().await;
        if may_have_owned_keys {
            let waited = self.cx.clock.now().saturating_sub(drain_start);
            let handover_time = HANDOVER_TIME.min(self.cx.settings.drain_limit);
            tokio::time::sleep(handover_time.saturating_sub(waited)).await;
        }
        self.stop_serving.cancel();
        self.leave().await;
        self.stop.cancel();
        self.tasks.close();
        if tokio::time::timeout(CLOSE_TIMEOUT, self.tasks.wait()).await.is_err() {
            tracing::warn!("connections were still open when the daemon stopped");
        }
        tracing::info!(whole, "stopped");
        whole
    }

    /// Tells the membership actor that the phase of this daemon has changed.
    async fn notify_membership(&self) {
        if self.control.membership.tell(LocalChanged).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    async fn wait_until_idle(&self) -> bool {
        let idle = async {
            while self.cx.in_flight() > 0 {
                tokio::time::sleep(DRAIN_CHECK_INTERVAL).await;
            }
        };
        let limit = self.cx.settings.drain_limit;
        let is_idle = tokio::time::timeout(limit, idle).await.is_ok();
        if !is_idle {
            tracing::warn!(
                requests = self.cx.in_flight(),
                "the drain limit has passed; running requests are aborted"
            );
        }
        is_idle
    }

    /// Hands the idempotency keys over to the next owners, by appending a `leave` entry to the log.
    ///
    /// This happens before the running requests end, because the next owners take over at once and
    /// can ask this daemon for its outcomes only while it is running. Returns whether it may have
    /// owned keys.
    async fn hand_over_keys(&self) -> bool {
        if !self.cx.keys.retire() {
            return false;
        }
        let Some(log) = &self.cx.log else { return true };
        let entry = self.cx.identity.leave();
        let append = append_entry(log, &entry);
        match tokio::time::timeout(LEAVE_APPEND_TIMEOUT, append).await {
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
        self.stop.cancel();
        self.stop_serving.cancel();
        if let Some(distribution) = self.control.config.distribution() {
            distribution.kill();
        }
        self.control.membership.kill();
    }
}

/// Receives what the adapter learns from its platform.
#[derive(Debug, Clone)]
pub struct Handle {
    cx: Cx,
    control: Control,
}

impl Handle {
    /// Puts a configuration document of the platform in force, unless a newer one already is.
    pub fn offer_document(&self, document: Document) {
        offer_document(&self.cx, document, Origin::Platform);
    }

    /// Like [`offer_document`](Self::offer_document), for a copy that may be older than the
    /// document of the platform; see [`confirm_document`](Self::confirm_document).
    pub fn offer_copy(&self, document: Document) {
        offer_document(&self.cx, document, Origin::Copy);
    }

    /// Records that the document in force is the newest one that the platform has.
    pub fn confirm_document(&self) {
        confirm_document(&self.cx);
    }

    /// Records that the adapter no longer reads the platform, or has to begin anew.
    pub fn platform_lost(&self) {
        platform_lost(&self.cx);
    }

    /// Records that an attempt of the adapter to read the platform failed, so that other daemons read in place of
    /// this one if they relied on it.
    pub fn read_failed(&self) {
        platform_lost(&self.cx);
        announce_reading(&self.cx, false);
    }

    /// Changes each time that another daemon of the data centre can no longer read the platform. What it lost, this
    /// daemon may have lost too.
    #[must_use]
    pub fn reading_losses(&self) -> watch::Receiver<u64> {
        self.cx.readers.losses()
    }

    /// Records that the adapter can read the platform again.
    pub fn read_resumed(&self) {
        self.cx.readers.resumed();
        announce_reading(&self.cx, true);
    }

    /// Changes each time that the adapter has recorded that it can read the platform again.
    #[must_use]
    pub fn reading_resumptions(&self) -> watch::Receiver<u64> {
        self.cx.readers.resumptions()
    }

    /// Whether the daemon has begun to serve requests, which stays so while it drains. Until then,
    /// the document in force may be outdated.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.cx.phase() != Phase::Starting
    }

    /// The document in force, packed as daemons send it to each other.
    #[must_use]
    pub fn packed_document(&self) -> Option<PackedDocument> {
        self.cx.documents.newer_than(None)
    }

    /// Whether the adapter has to keep a copy of the newest document, which starting daemons read.
    #[must_use]
    pub fn keeps_copy(&self) -> bool {
        let members = self.cx.members.load();
        let own = members.get(&self.cx.identity.id);
        own.is_some_and(|own| keeps_copy(members.live(), own))
    }

    /// Why the adapter has to read the documents of the platform, or `None` if this daemon gets
    /// them from other daemons.
    #[must_use]
    pub fn read_reason(&self) -> Option<ReadReason> {
        let cx = &self.cx;
        // What is known of other readers expires with time.
        cx.update_relay();
        cx.documents.read_reason(cx.read_role(), cx.clock.now())
    }

    /// How long the next poll of the platform may stay open.
    #[must_use]
    pub fn poll_time(&self) -> Duration {
        let members = self.cx.members.load();
        let turn = match members.get(&self.cx.identity.id) {
            Some(own) => PollTurn::of(members.live(), own),
            None => PollTurn { rank: 0, readers: 1, data_centre_rank: 0, data_centres: 1 },
        };
        turn.poll_time(self.cx.clock.wall())
    }

    /// Generation of the platform's store, which the adapter and the other daemons report.
    #[must_use]
    pub fn store_generation(&self) -> StoreGeneration {
        self.cx.documents.generation().clone()
    }

    /// Evidence about requests that crash backend servers, for the adapter to share.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.cx.quarantine
    }

    /// Time on the clock of the daemon, as [`Quarantine::merge`] takes it.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.cx.clock.now()
    }

    /// Version of the document in force.
    #[must_use]
    pub fn document_version(&self) -> Option<DocumentVersion> {
        self.cx.documents.version()
    }

    /// Adds the daemons that the platform lists to the members; returns once this is done.
    pub async fn introduce(&self, members: Vec<Member>) {
        if self.control.membership.ask(ListedMembers(members)).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    /// This daemon as a member.
    #[must_use]
    pub fn own_member(&self) -> Option<Member> {
        self.cx.members.load().get(&self.cx.identity.id).cloned()
    }

    /// Whether a backend server beside this daemon is known and has not stopped.
    #[must_use]
    pub fn has_backend(&self) -> bool {
        self.cx.host.info().is_some()
    }

    /// Number of live members, this daemon included.
    #[must_use]
    pub fn live_members(&self) -> usize {
        self.cx.members.load().live().count()
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
