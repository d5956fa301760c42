//! State that the parts of one daemon share.
//!
//! There are no globals: whatever a part needs it gets through [`Context`], so that many daemons
//! run in one process in tests and measurements.

mod clock;
mod view;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};

use arc_swap::ArcSwap;
use baobabreel_core::config::CompiledConfig;
use baobabreel_core::id::{DaemonId, DataCentre, Incarnation};

pub use clock::Clock;
pub use view::{MeshView, is_able};

use crate::proxy::{Balance, Host, PeerPool};
use crate::settings::Settings;
use crate::telemetry::Metrics;

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

/// Phase in the life of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// Has no configuration that is recent enough.
    Starting = 0,
    /// Serves callers and peers.
    Serving = 1,
    /// Has announced that it ends and still takes requests.
    Leaving = 2,
    /// Refuses new requests.
    Draining = 3,
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
    pub host: Host,
    /// Connections to other daemons.
    pub peers: PeerPool,
    /// Choice of backend servers.
    pub balance: Balance,
    /// Instruments.
    pub metrics: Metrics,
    phase: AtomicU8,
}

/// Shared handle to the state of a daemon.
pub type Cx = Arc<Context>;

impl Context {
    /// Makes the state of a daemon that has just started.
    #[must_use]
    pub fn new(settings: Settings, identity: Identity, metrics: Metrics) -> Self {
        let clock = Clock::new();
        Self {
            config: ArcSwap::from_pointee(CompiledConfig::default()),
            view: ArcSwap::from_pointee(MeshView::default()),
            host: Host::new(settings.limits.backend_connections),
            peers: PeerPool::new(settings.token.clone()),
            balance: Balance::new(&identity),
            metrics,
            phase: AtomicU8::new(Phase::Starting as u8),
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
            2 => Phase::Leaving,
            _ => Phase::Draining,
        }
    }

    /// Moves to a later phase; an earlier one has no effect.
    pub fn advance(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }
}
