//! Exchange between the registrations in the log and the membership table.
//!
//! Through the log, daemons without a common seed learn of each other, and deaths are confirmed. In the
//! other direction, a registration whose daemon is no longer known to any member is evicted; otherwise,
//! its keys would never have an owner again.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::membership::{Event, Member, MemberState};
use baobabreel_core::registry::{MemberEntry, RegisteredDaemon};
use baobabreel_core::rendezvous;
use kameo::actor::ActorRef;

use super::membership::{Membership, MembershipEvent};
use crate::context::Cx;

/// Time after the start during which this daemon evicts none, as it may still learn of registered daemons.
const EVICTION_DELAY: Duration = Duration::from_secs(60);

/// Passes entries of stream `members` that still apply to the membership actor.
pub fn forward_entries(cx: &Cx, membership: ActorRef<Membership>, entries: &[Arc<str>]) {
    let events: Vec<Event> = entries.iter().filter_map(|entry| event(cx, entry)).collect();
    if events.is_empty() {
        return;
    }
    tokio::spawn(async move {
        for event in events {
            if membership.tell(MembershipEvent(event)).await.is_err() {
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
                release: None,
            }))
        }
        // A daemon leaves when it starts to drain, but still answers queries about its outcomes then.
        MemberEntry::Leave { .. } => None,
        MemberEntry::Evict { id, incarnation } => Some(Event::Evicted { id, incarnation }),
    }
}

/// Returns the registrations that this daemon should evict because their daemons are unknown.
pub fn abandoned(cx: &Cx) -> Vec<RegisteredDaemon> {
    if cx.clock.now() < EVICTION_DELAY {
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
