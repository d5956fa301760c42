//! Control plane: the fold of the log's streams, their distribution, and membership.
//!
//! Two actors own the state. [`Distribution`] folds the streams and passes entries on;
//! [`Membership`] tracks the other daemons. Neither waits for the network: messages are sent by
//! tasks of their own, and their answers come back to the actors as messages.

mod announce;
mod distribution;
mod documents;
mod folds;
mod follower;
mod gossip;
mod membership;
mod push;
mod registrations;
mod serve;
mod snapshots;
mod status;
mod stream;

pub use announce::{Announcement, BackendTracker};
pub use distribution::Distribution;
pub use documents::{
    Documents, Origin, confirm as confirm_document, offer as offer_document, platform_lost,
};
pub use follower::Follower;
pub use membership::{Introduced, Leave, LocalChanged, Membership};
pub use push::encoded;
pub use serve::serve_control;
pub use status::{DistributionStatus, FoldedRecords, GetRecords, GetStatus};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::Position;
use kameo::actor::{ActorRef, Spawn};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use self::distribution::PeerPosition;
use crate::context::Cx;
use crate::settings::ConfigSource;

/// Time between two ticks of the actors.
const TICK: Duration = Duration::from_millis(200);

/// Owner of the configuration.
#[derive(Debug, Clone)]
pub enum ConfigOwner {
    /// Folds the streams of the log.
    Log(ActorRef<Distribution>),
    /// Takes whole documents.
    Documents(Cx),
}

impl ConfigOwner {
    /// Takes note of the position of another daemon.
    async fn note_position(&self, from: SocketAddr, position: Position) {
        match self {
            Self::Log(distribution) => {
                if distribution.tell(PeerPosition { from, position }).await.is_err() {
                    tracing::debug!("the distribution actor has stopped");
                }
            }
            Self::Documents(cx) => documents::note_position(cx, from, position),
        }
    }

    /// Lets time pass; returns whether the owner still runs.
    async fn tick(&self) -> bool {
        match self {
            Self::Log(distribution) => distribution.tell(distribution::Tick).await.is_ok(),
            Self::Documents(cx) => {
                documents::check_ready(cx);
                true
            }
        }
    }

    /// Actor that folds the log, if the configuration comes from it.
    #[must_use]
    pub fn distribution(&self) -> Option<&ActorRef<Distribution>> {
        match self {
            Self::Log(distribution) => Some(distribution),
            Self::Documents(_) => None,
        }
    }
}

/// Running control plane.
#[derive(Debug, Clone)]
pub struct Control {
    /// Owner of the configuration.
    pub config: ConfigOwner,
    /// Owner of the members.
    pub membership: ActorRef<Membership>,
}

impl Control {
    /// Starts the actors and their tasks.
    #[must_use]
    pub fn start(cx: &Cx, tasks: &TaskTracker, stop: &CancellationToken) -> Self {
        let config = match cx.settings.source {
            ConfigSource::Log { .. } => {
                ConfigOwner::Log(Distribution::spawn(Distribution::new(cx)))
            }
            ConfigSource::Documents => ConfigOwner::Documents(Arc::clone(cx)),
        };
        let membership = Membership::spawn(Membership::new(cx, config.clone()));
        cx.set_actors(config.distribution(), &membership);
        if let ConfigOwner::Log(distribution) = &config {
            tasks.spawn(follower::run(Arc::clone(cx), distribution.clone(), stop.clone()));
            tasks.spawn(snapshots::run(Arc::clone(cx), distribution.clone(), stop.clone()));
        }
        let control = Self { config, membership };
        tasks.spawn(tick(control.clone(), stop.clone()));
        control
    }
}

async fn tick(control: Control, stop: CancellationToken) {
    let mut interval = tokio::time::interval(TICK);
    // After a pause the missed ticks carry no information.
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            _ = interval.tick() => {}
        }
        let ticked =
            control.membership.tell(membership::Tick).await.is_ok() && control.config.tick().await;
        if !ticked {
            tracing::error!("an actor of the control plane has stopped");
            return;
        }
    }
}
