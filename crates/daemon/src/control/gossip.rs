//! Sends membership messages to other daemons.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{Envelope, GossipWire};
use baobabreel_core::membership::{Action, Event};
use kameo::actor::ActorRef;

use super::membership::{Membership, MembershipEvent, ReceivedAnswer};
use crate::context::Cx;

/// Time for a message to be answered. It exceeds the probe timeout, which the membership protocol measures
/// itself.
const GOSSIP_TIMEOUT: Duration = Duration::from_secs(1);

/// Removes the messages from a list of actions and sends them.
pub fn send_all(cx: &Cx, membership: &ActorRef<Membership>, actions: &mut Vec<Action>) {
    actions.retain(|action| match message_of(action) {
        Some((to, probe, message)) => {
            send(cx, membership, to, probe, message);
            false
        }
        None => true,
    });
}

/// Returns the receiver, the probe number for a probe, and the message of an action that sends one.
fn message_of(action: &Action) -> Option<(SocketAddr, Option<u64>, GossipWire)> {
    Some(match action.clone() {
        Action::SendProbe { to, probe } => {
            (to, Some(probe.number), GossipWire::Probe(probe.into()))
        }
        Action::SendAck { to, ack } => (to, None, GossipWire::Ack(ack.into())),
        Action::SendProbeRequest { via, request } => (via, None, request.into()),
        Action::SendProbeAnswer { to, answer } => (to, None, answer.into()),
        Action::Push { to, updates } => (to, None, updates.into()),
        Action::SendSyncRequest { to, request } => (to, None, request.into()),
        Action::SendDelta { to, delta } => (to, None, delta.into()),
        Action::StateChanged { .. }
        | Action::ProposeEvict { .. }
        | Action::SelfEvicted
        | Action::Superseded { .. } => return None,
    })
}

fn send(
    cx: &Cx,
    membership: &ActorRef<Membership>,
    to: SocketAddr,
    probe: Option<u64>,
    message: GossipWire,
) {
    let (cx, membership) = (Arc::clone(cx), membership.clone());
    tokio::spawn(async move {
        let envelope = Envelope { position: cx.position(), message: Some(message) };
        let answer: Option<Envelope> =
            cx.ask_peer(to, "/peer/v1/probe", &envelope, GOSSIP_TIMEOUT).await;
        let told = match (answer, probe) {
            (Some(answer), _) => {
                membership.tell(ReceivedAnswer { from: to, envelope: answer }).await.is_ok()
            }
            (None, Some(number)) => {
                membership.tell(MembershipEvent(Event::ProbeFailed { number })).await.is_ok()
            }
            (None, None) => true,
        };
        if !told {
            tracing::debug!("the membership actor has stopped");
        }
    });
}
