//! Control plane: folds the streams of the log, distributes them, and tracks the members of the mesh.
//!
//! Two actors own the state. [`Distribution`] folds the streams and forwards their entries;
//! [`Membership`] tracks the other daemons. Neither waits for the network: separate tasks send messages,
//! and pass the answers to the actors as messages. A daemon that is configured by whole documents instead
//! of the log runs no [`Distribution`] and keeps its configuration in [`Documents`].

mod announce;
mod distribution;
mod documents;
mod folds;
mod follower;
mod generation;
mod gossip;
mod lease;
mod membership;
mod push;
mod quota;
mod reading;
mod registrations;
mod relay_watch;
pub mod rollouts;
mod serve;
mod snapshots;
mod status;
mod stream;
mod suspects;
mod witnesses;

pub use announce::{Announcement, BackendTracker};
pub use distribution::Distribution;
pub use documents::{
    Documents, Origin, confirm as confirm_document, offer as offer_document, platform_lost,
};
pub use follower::Follower;
pub use generation::StoreGeneration;
pub use lease::Lease;
pub use membership::{Leave, ListedMembers, LocalChanged, Membership};
pub use push::encoded;
pub use quota::ask_holder;
pub use reading::{Readers, announce as announce_reading};
pub use rollouts::{ReleaseViews, ResponseWatch, Rollouts};
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

/// What provides the configuration.
#[derive(Debug, Clone)]
pub enum ConfigOwner {
    /// The actor that folds the streams of the log.
    Log(ActorRef<Distribution>),
    /// The context, whose [`Documents`] take whole documents.
    Documents(Cx),
}

impl ConfigOwner {
    /// Handles the position of another daemon, which may be ahead.
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

    /// Runs periodic work; returns whether the owner still runs.
    async fn tick(&self) -> bool {
        match self {
            Self::Log(distribution) => distribution.tell(distribution::Tick).await.is_ok(),
            Self::Documents(cx) => {
                documents::check_ready(cx);
                true
            }
        }
    }

    /// Returns the actor that folds the log, if the configuration comes from there.
    #[must_use]
    pub fn distribution(&self) -> Option<&ActorRef<Distribution>> {
        match self {
            Self::Log(distribution) => Some(distribution),
            Self::Documents(_) => None,
        }
    }
}

/// Handle to the running control plane.
#[derive(Debug, Clone)]
pub struct Control {
    /// What provides the configuration.
    pub config: ConfigOwner,
    /// The actor that tracks the members.
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
        if let ConfigOwner::Documents(cx) = &config {
            let (watch, stopped) = (relay_watch::run(Arc::clone(cx)), stop.clone());
            tasks.spawn(async move { stopped.run_until_cancelled(watch).await });
            let (queries, stopped) = (lease::run(Arc::clone(cx)), stop.clone());
            tasks.spawn(async move { stopped.run_until_cancelled(queries).await });
        }
        if cx.settings.rollout.is_some() {
            let (rollouts_task, stopped) = (rollouts::run(Arc::clone(cx)), stop.clone());
            tasks.spawn(async move { stopped.run_until_cancelled(rollouts_task).await });
        }
        let (peers_task, stopped) = (suspects::run(Arc::clone(cx)), stop.clone());
        tasks.spawn(async move { stopped.run_until_cancelled(peers_task).await });
        let (quota_task, stopped) = (quota::run(Arc::clone(cx)), stop.clone());
        tasks.spawn(async move { stopped.run_until_cancelled(quota_task).await });
        let control = Self { config, membership };
        tasks.spawn(tick(control.clone(), stop.clone()));
        control
    }
}

async fn tick(control: Control, stop: CancellationToken) {
    let mut interval = tokio::time::interval(TICK);
    // After a pause, there is no use in catching up on missed ticks.
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
