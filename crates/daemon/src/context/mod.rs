//! State that the parts of one daemon share.
//!
//! There are no globals: whatever a part needs it gets through [`Context`], so that many daemons
//! run in one process in tests and measurements.

mod clock;
mod view;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use baobabreel_client::log::{AppendError, LogClient};
use baobabreel_client::transport::HttpClient;
use baobabreel_client::wire::{Position, Stream, decode};
use baobabreel_core::config::CompiledConfig;
use baobabreel_core::id::{DaemonId, DataCentre, Incarnation, ServiceName};
use baobabreel_core::membership::{Member, Members};
use baobabreel_core::registry::MemberEntry;
use baobabreel_core::relay::{RELAYS_PER_DATA_CENTRE, is_document_relay, relays};
use eyre::{OptionExt, Result};
use kameo::actor::{ActorRef, WeakActorRef};
use serde::Serialize;
use serde::de::DeserializeOwned;

pub use clock::Clock;
pub use view::{MeshView, is_able};

use crate::control::{Distribution, Documents, Follower, Membership, encoded};
use crate::keys::Keys;
use crate::proxy::{ActiveCalls, Balancers, LocalBackend, PeerPool};
use crate::settings::{ConfigSource, Settings};
use crate::sync::lock;
use crate::telemetry::{LogRateLimiter, Metrics};

/// Who a daemon is.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Address of the peers' listener as others reach it.
    pub peer_addr: SocketAddr,
}

impl Identity {
    /// Entry that registers this daemon.
    #[must_use]
    pub fn join(&self, service: ServiceName) -> MemberEntry {
        MemberEntry::Join {
            id: self.id.clone(),
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            service,
            peer_addr: self.peer_addr,
        }
    }

    /// Entry that ends the registration of this daemon.
    #[must_use]
    pub fn leave(&self) -> MemberEntry {
        MemberEntry::Leave { id: self.id.clone(), incarnation: self.incarnation }
    }
}

/// Phase in the life of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Has no configuration that is recent enough.
    Starting = 0,
    /// Serves callers and peers.
    Serving = 1,
    /// Tells callers that it ends, and goes on serving.
    Closing = 2,
    /// Has announced that it ends to the other daemons, and still takes requests.
    Leaving = 3,
    /// Refuses new calls to the backend server beside it, and still takes requests of callers.
    Handover = 4,
    /// Refuses new requests.
    Draining = 5,
}

/// State that the parts of one daemon share.
#[derive(Debug)]
pub struct Context {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Who the daemon is.
    pub identity: Identity,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// Configuration in force.
    pub config: ArcSwap<CompiledConfig>,
    /// Members in the order of their services.
    pub view: ArcSwap<MeshView>,
    /// The backend server beside the daemon.
    pub host: LocalBackend,
    /// Connections to other daemons.
    pub peers: PeerPool,
    /// Calls of other daemons.
    pub calls: ActiveCalls,
    /// Choice of backend servers.
    pub balance: Balancers,
    /// Instruments.
    pub metrics: Metrics,
    /// Bounds on the lines about single requests.
    pub lines: LogRateLimiter,
    /// All members.
    pub members: ArcSwap<Members>,
    /// Idempotency keys.
    pub keys: Keys,
    /// Wishes of the control plane to read the log.
    pub follower: Follower,
    /// Client of the log, if the configuration comes from it.
    pub log: Option<LogClient>,
    /// Newest configuration document.
    pub documents: Documents,
    /// Client for short requests.
    pub http: HttpClient,
    position: Mutex<Position>,
    distribution: OnceLock<WeakActorRef<Distribution>>,
    membership: OnceLock<WeakActorRef<Membership>>,
    phase: AtomicU8,
    relay: AtomicBool,
    requests: AtomicUsize,
}

/// Shared handle to the state of a daemon.
pub type Cx = Arc<Context>;

impl Context {
    /// Makes the state of a daemon that has just started.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, metrics: Metrics) -> Self {
        let clock = Clock::new();
        let http = HttpClient::new().with_name(identity.id.clone());
        Self {
            config: ArcSwap::from_pointee(CompiledConfig::default()),
            view: ArcSwap::from_pointee(MeshView::default()),
            host: LocalBackend::new(settings.limits.backend_connections, settings.policy),
            peers: PeerPool::new(settings.token.clone()),
            calls: ActiveCalls::default(),
            balance: Balancers::new(&identity, &settings),
            metrics,
            lines: LogRateLimiter::default(),
            members: ArcSwap::from_pointee(Members::default()),
            keys: Keys::new(&identity, clock, settings.log_retention().unwrap_or_default()),
            follower: Follower::default(),
            log: settings.log_url().map(|url| LogClient::new(http.clone(), url.to_owned())),
            documents: Documents::default(),
            http,
            position: Mutex::default(),
            distribution: OnceLock::new(),
            membership: OnceLock::new(),
            phase: AtomicU8::new(Phase::Starting as u8),
            relay: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            settings,
            identity,
            clock,
        }
    }

    /// Phase of the daemon.
    pub fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Starting,
            1 => Phase::Serving,
            2 => Phase::Closing,
            3 => Phase::Leaving,
            4 => Phase::Handover,
            _ => Phase::Draining,
        }
    }

    /// Moves to a later phase; an earlier one has no effect.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }
}

impl Context {
    /// Puts a version of the configuration in force.
    pub fn set_config(&self, config: CompiledConfig, now: Duration) {
        self.apply_policies(&config);
        self.balance.update(&config, &self.view.load(), now);
        self.balance.keep_routes(&config);
        self.config.store(Arc::new(config));
    }

    /// Requests, calls and slots that have not ended.
    pub fn in_flight(&self) -> usize {
        let held = usize::try_from(self.host.in_flight()).unwrap_or(usize::MAX);
        self.requests.load(Ordering::Acquire) + self.balance.outstanding() + held
    }

    /// Counts a request until the guard is dropped.
    pub fn count_request(&self) -> RequestCount<'_> {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestCount(&self.requests)
    }

    /// Settings of the own backend server that come from the configuration.
    pub fn apply_policies(&self, config: &CompiledConfig) {
        let Some(info) = self.host.info() else { return };
        if let Some(service) = config.services.get(&info.service) {
            let queue = usize::try_from(service.queue).unwrap_or(usize::MAX);
            self.host.set_policy(queue, service.bulk_share, self.clock.now());
        }
    }

    /// Takes over a new table of members.
    pub fn set_members(&self, members: &Members) {
        let view = MeshView::new(members.iter());
        self.balance.update(&self.config.load(), &view, self.clock.now());
        self.view.store(Arc::new(view));
        self.members.store(Arc::new(members.clone()));
        let own_id = self.identity.id.as_str();
        let own = members.get(own_id);
        let is_relay = own.is_some_and(|own| match self.settings.source {
            ConfigSource::Log { .. } => {
                relays(members.live(), own, RELAYS_PER_DATA_CENTRE).contains(&own_id)
            }
            ConfigSource::Documents => is_document_relay(members.live(), own),
        });
        self.relay.store(is_relay, Ordering::Release);
    }

    /// Incarnation that this daemon states of itself; may be renewed after its start.
    pub fn incarnation(&self) -> Incarnation {
        let members = self.members.load();
        members.get(&self.identity.id).map_or(self.identity.incarnation, |own| own.incarnation)
    }

    /// Where this daemon stands in the streams.
    pub fn position(&self) -> Position {
        *lock(&self.position)
    }

    /// Publishes where this daemon stands.
    pub fn set_position(&self, position: Position) {
        *lock(&self.position) = position;
    }

    /// Whether this daemon reads the log or the documents for its data centre.
    pub fn is_relay(&self) -> bool {
        self.relay.load(Ordering::Acquire)
    }

    /// Address of some live member, of another data centre when there is one: whoever has heard
    /// nothing shares this with its whole data centre more often than not.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let members = self.members.load();
        let own = &self.identity;
        let others: Vec<&Member> = members.live().filter(|member| member.id != own.id).collect();
        let far: Vec<&Member> =
            others.iter().copied().filter(|m| m.data_centre != own.data_centre).collect();
        let from = if far.is_empty() { others } else { far };
        (!from.is_empty()).then(|| from[rand::random_range(0..from.len())].peer_addr)
    }

    /// Client of the log.
    ///
    /// # Errors
    ///
    /// The configuration does not come from a log.
    pub fn log_client(&self) -> Result<&LogClient> {
        self.log.as_ref().ok_or_eyre("the configuration does not come from a log")
    }

    /// Actor that owns the folds; absent before the start and after the end of the control plane.
    pub fn distribution(&self) -> Option<ActorRef<Distribution>> {
        self.distribution.get()?.upgrade()
    }

    /// Actor that owns the members; absent before the start and after the end of the control plane.
    pub fn membership(&self) -> Option<ActorRef<Membership>> {
        self.membership.get()?.upgrade()
    }

    /// Makes the actors known to each other and to the tasks that send for them.
    pub fn set_actors(
        &self,
        distribution: Option<&ActorRef<Distribution>>,
        membership: &ActorRef<Membership>,
    ) {
        let owns_folds = distribution.is_none_or(|d| self.distribution.set(d.downgrade()).is_ok());
        let first = owns_folds && self.membership.set(membership.downgrade()).is_ok();
        if !first {
            tracing::error!("the control plane was started twice");
        }
    }

    /// Sends a control message to a daemon and reads its answer; errors are logged.
    pub async fn ask_peer<M: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &'static str,
        message: &M,
        timeout: Duration,
    ) -> Option<A> {
        let data = encoded(message)?;
        self.metrics.record_control_bytes("out", data.len());
        let answer = self
            .peers
            .control(to, path, data, timeout)
            .await
            .inspect_err(|e| tracing::debug!(%to, path, error = %e, "a peer did not answer"))
            .ok()?;
        self.metrics.record_control_bytes("in", answer.len());
        decode(&answer)
            .inspect_err(|e| tracing::warn!(%to, path, error = %e, "a peer answered wrongly"))
            .ok()
    }

    /// Appends an entry to stream `members` in a task of its own; without a log there are none.
    pub fn append_member_entry(&self, entry: MemberEntry) {
        let Some(log) = self.log.clone() else { return };
        tokio::spawn(async move { append_entry(&log, &entry).await });
    }
}

/// Appends an entry to stream `members`; returns whether it is certain that it was appended.
pub async fn append_entry(log: &LogClient, entry: &MemberEntry) -> bool {
    let data = match serde_json::to_string(entry) {
        Ok(data) => data,
        Err(e) => {
            tracing::error!(error = %e, "a member entry cannot be encoded");
            return false;
        }
    };
    let appended = log.append(Stream::Members.name(), &data).await;
    if let Err(e @ (AppendError::Refused(_) | AppendError::Unknown(_))) = &appended {
        tracing::warn!(error = %e, "a member entry was not appended");
    }
    appended.is_ok()
}

/// Request that counts as in flight.
#[derive(Debug)]
pub struct RequestCount<'a>(&'a AtomicUsize);

impl Drop for RequestCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::AcqRel);
    }
}
