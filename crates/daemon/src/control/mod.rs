//! Control plane: the fold of the log's streams, their distribution, and membership.
//!
//! Two actors own the state. [`Distribution`] folds the streams and passes entries on;
//! [`Membership`] tracks the other daemons. Neither waits for the network: messages are sent by
//! tasks of their own, and their answers come back to the actors as messages.

mod announce;
mod distribution;
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
pub use follower::Follower;
pub use membership::{Leave, LocalChanged, Membership};
pub use push::encoded;
pub use serve::serve_control;
pub use status::{DistributionStatus, FoldedRecords, GetRecords, GetStatus};

use std::sync::Arc;
use std::time::Duration;

use kameo::actor::{ActorRef, Spawn};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::context::Cx;

/// Time between two ticks of the actors.
const TICK: Duration = Duration::from_millis(200);

/// Running control plane.
#[derive(Debug, Clone)]
pub struct Control {
    /// Owner of the folds.
    pub distribution: ActorRef<Distribution>,
    /// Owner of the members.
    pub membership: ActorRef<Membership>,
}

impl Control {
    /// Starts the actors and their tasks.
    #[must_use]
    pub fn start(cx: &Cx, tasks: &TaskTracker, stop: &CancellationToken) -> Self {
        let distribution = Distribution::spawn(Distribution::new(cx));
        let membership = Membership::spawn(Membership::new(cx, distribution.clone()));
        cx.set_actors(&distribution, &membership);
        let control = Self { distribution, membership };
        tasks.spawn(follower::run(Arc::clone(cx), control.clone(), stop.clone()));
        tasks.spawn(snapshots::run(Arc::clone(cx), control.clone(), stop.clone()));
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
        let ticked = control.membership.tell(membership::Tick).await.is_ok()
            && control.distribution.tell(distribution::Tick).await.is_ok();
        if !ticked {
            tracing::error!("an actor of the control plane has stopped");
            return;
        }
    }
}
