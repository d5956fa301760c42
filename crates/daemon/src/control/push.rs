//! Pushes and pulls between the distribution actors of two daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{PullAnswerWire, PullWire, PushAnswer, PushWire, Stream, encode};
use baobabreel_core::id::DaemonId;
use baobabreel_core::relay::{FAN_OUT, children, push_order};
use kameo::actor::ActorRef;

use super::distribution::{Distribution, NewEntries, Pulled, PushAnswered};
use crate::context::Cx;

/// Time for a push to be answered.
const PUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a pull to be answered.
pub const PULL_TIMEOUT: Duration = Duration::from_secs(3);

/// Starts a push round with this daemon as the root of the tree, if it is a relay.
pub fn start_round(distribution: &mut Distribution, new_entries: &NewEntries) {
    if !distribution.cx.is_relay() {
        return;
    }
    distribution.round += 1;
    let (root, round) = (distribution.cx.identity.id.clone(), distribution.round);
    send_to_children(distribution, &root, round, new_entries);
}

/// Forwards the push of another root to the children of this daemon, once per round.
pub fn forward(
    distribution: &mut Distribution,
    root: &DaemonId,
    round: u64,
    new_entries: &NewEntries,
) {
    let last = distribution.last_rounds.entry(root.clone()).or_default();
    if round <= *last {
        return;
    }
    *last = round;
    send_to_children(distribution, root, round, new_entries);
}

fn send_to_children(
    distribution: &mut Distribution,
    root: &DaemonId,
    round: u64,
    new_entries: &NewEntries,
) {
    let members = distribution.cx.members.load_full();
    let own_id = &distribution.cx.identity.id;
    let Some(own) = members.get(own_id) else {
        return;
    };
    let order = push_order(members.live(), own, root);
    let Some(own_index) = order.iter().position(|id| id == own_id) else {
        return;
    };
    for child in children(&order, own_index, FAN_OUT) {
        let Some(member) = members.get(child) else {
            continue;
        };
        let push = PushWire {
            from: own_id.clone(),
            root: root.clone(),
            round,
            config: new_entries.config.as_ref().unwrap_or(&distribution.config.heartbeat()).into(),
            members: new_entries
                .members
                .as_ref()
                .unwrap_or(&distribution.members.heartbeat())
                .into(),
            config_proof: distribution.attest(Stream::Config, child),
            members_proof: distribution.attest(Stream::Members, child),
        };
        push_to(&distribution.cx, child.clone(), member.peer_addr, push);
    }
}

fn push_to(cx: &Cx, child: DaemonId, addr: SocketAddr, push: PushWire) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let answer: Option<PushAnswer> =
            cx.ask_peer(addr, "/peer/v1/entries", &push, PUSH_TIMEOUT).await;
        if let (Some(answer), Some(distribution)) = (answer, cx.distribution()) {
            tell(&distribution, PushAnswered { child, answer }).await;
        }
    });
}

/// Requests entries from a peer; the answer is sent to the actor.
pub fn pull_from(cx: &Cx, from: SocketAddr, pull: PullWire) {
    let cx = Arc::clone(cx);
    tokio::spawn(async move {
        let answer: Option<PullAnswerWire> =
            cx.ask_peer(from, "/peer/v1/pull", &pull, PULL_TIMEOUT).await;
        if let Some(distribution) = cx.distribution() {
            tell(&distribution, Pulled { stream: pull.stream, from, answer }).await;
        }
    });
}

async fn tell<M>(distribution: &ActorRef<Distribution>, msg: M)
where
    Distribution: kameo::message::Message<M>,
    M: Send + 'static,
{
    if distribution.tell(msg).await.is_err() {
        tracing::debug!("the distribution actor has stopped");
    }
}

/// Encodes a message. A failure is logged as an error, as it can only be a bug in this program.
pub fn encoded<T: serde::Serialize>(message: &T) -> Option<Vec<u8>> {
    encode(message)
        .inspect_err(|e| tracing::error!(error = %e, "failed to encode a control message"))
        .ok()
}
