//! Registrations in the log and the table of members.
//!
//! The log tells daemons of each other that have no seed in common, and confirms deaths. In the
//! other direction, a registration whose daemon nobody knows any more is evicted, since its keys
//! would have no owner for ever.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::membership::{Event, Member, MemberState};
use baobabreel_core::registry::{MemberEntry, RegisteredDaemon};
use baobabreel_core::rendezvous;
use kameo::actor::ActorRef;

use super::membership::{Happened, Membership};
use crate::context::Cx;

/// Time after the start in which registered daemons can become known.
const LEARNING_TIME: Duration = Duration::from_secs(60);

/// Tells membership what entries of stream `members` say, as far as it still holds.
pub fn tell(cx: &Cx, membership: ActorRef<Membership>, entries: &[Arc<str>]) {
    let events: Vec<Event> = entries.iter().filter_map(|entry| event(cx, entry)).collect();
    if events.is_empty() {
        return;
    }
    tokio::spawn(async move {
        for event in events {
            if membership.tell(Happened(event)).await.is_err() {
                return;
            }
        }
    });
}

fn event(cx: &Cx, entry: &str) -> Option<Event> {
    match MemberEntry::parse(entry)? {
        MemberEntry::Join { id, incarnation, data_centre, service, peer_addr } => {
            let known = cx.members.load().get(&id).is_some_and(|m| m.incarnation >= incarnation);
            if known || !cx.keys.is_registered(&id, incarnation) {
                return None;
            }
            Some(Event::MemberDiscovered(Member {
                id,
                incarnation,
                sequence: 0,
                data_centre,
                service: Some(service),
                peer_addr,
                state: MemberState::Cold,
                slots: 0,
            }))
        }
        // A daemon leaves when it starts to drain, and still answers for its outcomes after that.
        MemberEntry::Leave { .. } => None,
        MemberEntry::Evict { id, incarnation } => Some(Event::Evicted { id, incarnation }),
    }
}

/// Registrations that this daemon is to evict because their daemons are unknown.
pub fn abandoned(cx: &Cx) -> Vec<RegisteredDaemon> {
    if cx.clock.now() < LEARNING_TIME {
        return Vec::new();
    }
    let members = cx.members.load();
    let unknown = |registered: &RegisteredDaemon| members.get(&registered.id).is_none();
    let is_proposer = |registered: &RegisteredDaemon| {
        let live = members.live().map(|member| member.id.as_str());
        rendezvous::first(registered.id.as_bytes(), live) == Some(cx.identity.id.as_str())
    };
    let registered = cx.keys.registered();
    registered.into_iter().filter(|r| unknown(r) && is_proposer(r)).collect()
}
