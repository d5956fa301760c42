//! State that the components of one daemon share.
//!
//! There is no global state: every component gets what it needs through [`Context`], so that tests
//! and benchmarks can run many daemons in one process.

mod clock;
mod drain_end;
mod messages;
mod view;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;
use baobabreel_client::log::LogClient;
use baobabreel_client::transport::HttpClient;
use baobabreel_client::wire::Position;
use baobabreel_core::config::CompiledConfig;
use baobabreel_core::drain::DrainPlan;
use baobabreel_core::id::{DaemonId, DataCentre, Incarnation, ServiceName};
use baobabreel_core::membership::{Member, Members};
use baobabreel_core::registry::MemberEntry;
use baobabreel_core::relay::{RELAYS_PER_DATA_CENTRE, ReadRole, relays};
use eyre::{OptionExt, Result};
use kameo::actor::{ActorRef, WeakActorRef};
use tokio_util::sync::CancellationToken;

pub use clock::Clock;
pub use drain_end::{AnsweredAtEnd, DrainEnd};
pub use messages::append_entry;
pub use view::{MeshView, is_able};

use crate::buffers::Buffers;
use crate::callers::Callers;
use crate::control::{Distribution, Documents, Follower, Lease, Membership, Readers, Rollouts};
use crate::keys::Keys;
use crate::proxy::{ActiveCalls, Balancers, Links, LocalBackend, PeerPool, Quarantine, Quotas};
use crate::settings::{ConfigSource, Settings};
use crate::sync::lock;
use crate::telemetry::{LogRateLimiter, Metrics, Traffic};

/// Identity of a daemon, set when it starts.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Start time in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Address at which other daemons reach this one.
    pub peer_addr: SocketAddr,
}

impl Identity {
    /// Log entry that registers this daemon as running beside a backend server of `service`.
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

    /// Log entry that ends the registration of this daemon.
    #[must_use]
    pub fn leave(&self) -> MemberEntry {
        MemberEntry::Leave { id: self.id.clone(), incarnation: self.incarnation }
    }
}

/// Phase in the lifecycle of a daemon; phases are entered in this order, and some may be skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Has no sufficiently recent configuration yet, and refuses requests of callers.
    Starting = 0,
    /// Serves callers and peers.
    Serving = 1,
    /// Announces its shutdown to callers, and still serves all requests.
    Closing = 2,
    /// Announces its shutdown to the other daemons too, and still serves all requests.
    Leaving = 3,
    /// Refuses new calls to the backend server beside it, and still accepts requests of callers.
    Handover = 4,
    /// Refuses all new requests.
    Draining = 5,
}

/// State that the components of one daemon share.
#[derive(Debug)]
pub struct Context {
    /// Settings of the daemon.
    pub settings: Settings,
    /// Identity of the daemon.
    pub identity: Identity,
    /// Monotonic and wall clock.
    pub clock: Clock,
    /// Configuration in force.
    pub config: ArcSwap<CompiledConfig>,
    /// Members grouped by service.
    pub view: ArcSwap<MeshView>,
    /// The backend server beside the daemon.
    pub host: LocalBackend,
    /// Pool of connections to other daemons.
    pub peers: PeerPool,
    /// Calls received from other daemons.
    pub calls: ActiveCalls,
    /// Bytes of large bodies on the link of the instance.
    pub links: Arc<Links>,
    /// Load balancing and retry budgets.
    pub balance: Balancers,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Rate limiter for log lines about single requests.
    pub log_limiter: LogRateLimiter,
    /// All members that the daemon knows.
    pub members: ArcSwap<Members>,
    /// Idempotency keys, their owners and recorded outcomes.
    pub keys: Keys,
    /// Requests of the control plane to read the log, and the last error of a read.
    pub follower: Follower,
    /// Client of the log, if the configuration comes from it.
    pub log: Option<LogClient>,
    /// Newest configuration document, where the configuration comes as documents.
    pub documents: Documents,
    /// Lease on the freshness of the configuration, where revocation has a bound.
    pub lease: Lease,
    /// Evidence about requests that crash backend servers.
    pub quarantine: Arc<Quarantine>,
    /// Quotas of tenants, if they are kept.
    pub quotas: Option<Quotas>,
    /// Which daemons of the data centre can read the documents.
    pub readers: Readers,
    /// Roll-outs, where they are enabled.
    pub rollouts: Rollouts,
    /// HTTP client for short requests.
    pub http: HttpClient,
    /// Bytes on the link of the instance.
    pub traffic: Arc<Traffic>,
    /// End of the drain.
    pub drain_end: DrainEnd,
    /// Cancelled when the daemon ends as in a crash: its connections are dropped, and nothing on them is answered.
    pub aborted: CancellationToken,
    /// Connections of callers and what they hold.
    pub callers: Callers,
    /// Buffers for the long bodies of requests of other daemons.
    pub request_buffers: Arc<Buffers>,
    /// Buffers for the long bodies of responses to other daemons.
    pub response_buffers: Arc<Buffers>,
    position: Mutex<Position>,
    distribution: OnceLock<WeakActorRef<Distribution>>,
    membership: OnceLock<WeakActorRef<Membership>>,
    phase: AtomicU8,
    is_configured: AtomicBool,
    relay: AtomicBool,
    requests: AtomicUsize,
    drain_started: OnceLock<Duration>,
}

/// Shared reference to the state of a daemon.
pub type Cx = Arc<Context>;

impl Context {
    /// Creates the state of a daemon that has just started.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, metrics: Metrics) -> Self {
        let clock = Clock::new();
        let traffic = Arc::default();
        let http = HttpClient::new().with_name(identity.id.clone());
        let retention = settings.log_retention().unwrap_or_default();
        Self {
            config: ArcSwap::from_pointee(CompiledConfig::default()),
            view: ArcSwap::from_pointee(MeshView::default()),
            host: LocalBackend::new(settings.limits.backend_connections, settings.policy),
            peers: PeerPool::new(settings.token.clone(), &traffic),
            traffic,
            calls: ActiveCalls::default(),
            links: Arc::new(Links::new(settings.limits.link_bits_per_sec, clock)),
            balance: Balancers::new(&identity, &settings),
            metrics,
            log_limiter: LogRateLimiter::default(),
            members: ArcSwap::from_pointee(Members::default()),
            keys: Keys::new(&identity, clock, retention, settings.limits.memory_bytes),
            follower: Follower::default(),
            log: settings.log_url().map(|url| LogClient::new(http.clone(), url.to_owned())),
            documents: Documents::default(),
            lease: Lease::new(settings.revocation),
            quarantine: Arc::default(),
            quotas: settings.quota.map(|quota| Quotas::new(quota, &identity, clock.boot())),
            readers: Readers::default(),
            rollouts: Rollouts::new(settings.rollout),
            http,
            drain_end: DrainEnd::default(),
            aborted: CancellationToken::new(),
            callers: Callers::new(&settings.limits, clock),
            request_buffers: Buffers::new(&settings.limits, clock),
            response_buffers: Buffers::new(&settings.limits, clock),
            position: Mutex::default(),
            distribution: OnceLock::new(),
            membership: OnceLock::new(),
            phase: AtomicU8::new(Phase::Starting as u8),
            is_configured: AtomicBool::new(false),
            relay: AtomicBool::new(false),
            requests: AtomicUsize::new(0),
            drain_started: OnceLock::new(),
            settings,
            identity,
            clock,
        }
    }

    /// Current phase of the daemon.
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

    /// Moves to `phase`, unless the daemon is already in a later one.
    pub fn advance(&self, phase: Phase) {
        if phase == Phase::Serving {
            self.is_configured.store(true, Ordering::Release);
        }
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Whether the daemon has had a configuration to serve callers by. One that is told to stop before that never gets
    /// one.
    pub fn is_configured(&self) -> bool {
        self.is_configured.load(Ordering::Acquire)
    }

    /// Begins to drain, unless that has begun already.
    pub fn begin_drain(&self) {
        self.drain_started.get_or_init(|| self.clock.now());
        self.advance(Phase::Closing);
    }

    /// Whether a request of a caller is taken that may run until `deadline`.
    pub fn admits_request(&self, deadline: Duration) -> bool {
        self.admits(deadline, self.settings.drain_long_until)
    }

    /// Whether a call of another daemon is taken that may run until `deadline`. That daemon can send it elsewhere.
    pub fn admits_call(&self, deadline: Duration) -> bool {
        self.admits(deadline, Duration::ZERO)
    }

    fn admits(&self, deadline: Duration, long_until: Duration) -> bool {
        let Some(started) = self.drain_started.get() else { return true };
        let now = self.clock.now();
        let plan = DrainPlan { long_until, ..self.drain_plan() };
        plan.admits(now.saturating_sub(*started), deadline.saturating_sub(now))
    }

    /// Times of the drain.
    pub fn drain_plan(&self) -> DrainPlan {
        let settings = &self.settings;
        let end = settings.drain_notice + settings.drain_limit;
        DrainPlan {
            long_until: settings.drain_long_until,
            refuse_from: settings.drain_notice,
            end,
            close_by: end + settings.drain_close,
        }
    }
}

impl Context {
    /// Makes `config` the configuration in force.
    pub fn set_config(&self, config: CompiledConfig, now: Duration) {
        self.apply_host_policy(&config);
        let view = self.view.load();
        self.balance.update(&config, &view, &self.rollouts.views(), now);
        self.balance.keep_routes(&config);
        self.config.store(Arc::new(config));
    }

    /// Sum of the requests of callers whose responses are not delivered yet, the calls to backend
    /// servers, and the requests that hold or wait for a slot of the backend server beside the daemon.
    ///
    /// One request can count more than once; the sum is 0 only when the daemon is idle.
    pub fn in_flight(&self) -> usize {
        let host_requests = usize::try_from(self.host.in_flight()).unwrap_or(usize::MAX);
        self.requests.load(Ordering::Acquire) + self.balance.outstanding() + host_requests
    }

    /// Counts a request as in flight until the returned guard is dropped.
    pub fn count_request(self: &Arc<Self>) -> RequestCount {
        self.requests.fetch_add(1, Ordering::AcqRel);
        RequestCount(Arc::clone(self))
    }

    /// Applies the queue length and the bulk share that `config` sets for the service of the
    /// backend server beside the daemon.
    pub fn apply_host_policy(&self, config: &CompiledConfig) {
        let Some(info) = self.host.info() else { return };
        if let Some(service) = config.services.get(&info.service) {
            let queue = usize::try_from(service.queue).unwrap_or(usize::MAX);
            // Without tenants, requests and the calls that they make cannot be told apart.
            let cost_aware = config.tenants.is_some();
            self.host.set_policy(queue, service.bulk_share, cost_aware, self.clock.now());
        }
    }

    /// Replaces the members, and determines again whether this daemon is a relay.
    pub fn set_members(&self, members: &Members) {
        let view = MeshView::new(members.iter());
        let now = self.clock.now();
        self.rollouts.refresh(&self.identity.id, &view, now);
        self.balance.update(&self.config.load(), &view, &self.rollouts.views(), now);
        self.view.store(Arc::new(view));
        if let Some(quotas) = &self.quotas {
            quotas.set_members(members, self.clock.boot());
        }
        self.members.store(Arc::new(members.clone()));
        self.update_relay();
    }

    /// Determines whether this daemon is a relay, or reads in place of one.
    pub fn update_relay(&self) {
        let is_relay = match self.settings.source {
            ConfigSource::Log { .. } => self.is_log_relay(),
            ConfigSource::Documents => self.read_role().reads(),
        };
        self.relay.store(is_relay, Ordering::Release);
    }

    fn is_log_relay(&self) -> bool {
        let members = self.members.load();
        let own_id = self.identity.id.as_str();
        let Some(own) = members.get(own_id) else { return false };
        relays(members.live(), own, RELAYS_PER_DATA_CENTRE).contains(&own_id)
    }

    /// What others rely on this daemon for, where the configuration comes as documents.
    pub fn read_role(&self) -> ReadRole {
        let members = self.members.load();
        let Some(own) = members.get(&self.identity.id) else { return ReadRole::None };
        let live: Vec<&Member> = members.live().collect();
        let now = self.clock.now();
        ReadRole::of(&live, own, |other| self.readers.can_read(other, now))
    }

    /// Current incarnation of this daemon; it can be higher than the one in [`Identity`].
    pub fn incarnation(&self) -> Incarnation {
        let members = self.members.load();
        members.get(&self.identity.id).map_or(self.identity.incarnation, |own| own.incarnation)
    }

    /// Position of this daemon in the streams of the log.
    pub fn position(&self) -> Position {
        Position { store_generation: self.documents.generation().news(), ..*lock(&self.position) }
    }

    /// Sets the position that [`position`](Self::position) returns.
    pub fn set_position(&self, position: Position) {
        *lock(&self.position) = position;
    }

    /// Whether this daemon is a relay: it reads the log or the documents for its data centre.
    pub fn is_relay(&self) -> bool {
        self.relay.load(Ordering::Acquire)
    }

    /// Returns the client of the log.
    ///
    /// # Errors
    ///
    /// The configuration does not come from a log.
    pub fn log_client(&self) -> Result<&LogClient> {
        self.log.as_ref().ok_or_eyre("the configuration does not come from a log")
    }

    /// Actor that builds the configuration and the registry from the entries of the log; `None`
    /// while the control plane is not running.
    pub fn distribution(&self) -> Option<ActorRef<Distribution>> {
        self.distribution.get()?.upgrade()
    }

    /// Actor that owns the table of members; `None` while the control plane is not running.
    pub fn membership(&self) -> Option<ActorRef<Membership>> {
        self.membership.get()?.upgrade()
    }

    /// Registers the actors of the control plane, so that other components can send them messages.
    ///
    /// Only weak references are kept. It must be called once.
    pub fn set_actors(
        &self,
        distribution: Option<&ActorRef<Distribution>>,
        membership: &ActorRef<Membership>,
    ) {
        let distribution_is_first =
            distribution.is_none_or(|d| self.distribution.set(d.downgrade()).is_ok());
        let is_first = distribution_is_first && self.membership.set(membership.downgrade()).is_ok();
        if !is_first {
            tracing::error!("the actors of the control plane were already set");
        }
    }
}

/// Guard that counts a request as in flight until it is dropped.
#[derive(Debug)]
pub struct RequestCount(Cx);

impl Drop for RequestCount {
    fn drop(&mut self) {
        self.0.requests.fetch_sub(1, Ordering::AcqRel);
    }
}
