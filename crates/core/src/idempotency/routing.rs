//! Routing of keyed requests at the daemon that receives them from a caller.

use std::net::SocketAddr;

use super::decide::KeyedRequest;
use super::key::KeyForm;
use super::{Attempt, promises_not_run};
use crate::error::ErrorKind;
use crate::membership::{MemberState, Members};
use crate::registry::{Incarnate, Registry};

/// Which daemon decides about a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRoute {
    /// This daemon, which may own the key.
    Local,
    /// Another daemon, which may own the key.
    Forward {
        /// The daemon to send the request to.
        owner: Incarnate,
        /// Address of its listener for peers.
        peer_addr: SocketAddr,
    },
    /// None can be asked; the caller gets this error.
    Refuse(ErrorKind),
}

/// Chooses the daemon that decides about a keyed request.
#[must_use]
pub fn route(
    me: &Incarnate,
    request: &KeyedRequest<'_>,
    registry: &Registry,
    members: &Members,
) -> KeyRoute {
    let (key, attempt) = (request.key, request.attempt);
    let (owner, registered_addr) = match key.form() {
        KeyForm::Issued { daemon, .. } => {
            let found = registry.get(&daemon.id);
            let addr = found
                .filter(|found| found.incarnation == daemon.incarnation)
                .map(|found| found.peer_addr);
            (daemon.clone(), addr)
        }
        KeyForm::Timed { .. } | KeyForm::Opaque => {
            let Some(found) = registry.owner(request.service, key.as_str()) else {
                return KeyRoute::Refuse(attempt.no_owner_error());
            };
            let owner = Incarnate { id: found.id.clone(), incarnation: found.incarnation };
            (owner, Some(found.peer_addr))
        }
    };
    if owner == *me {
        return KeyRoute::Local;
    }
    let issued = matches!(key.form(), KeyForm::Issued { .. });
    match peer_addr_of(me, &owner, registered_addr, members) {
        Ok(peer_addr) => KeyRoute::Forward { owner, peer_addr },
        Err(Unreachable::Gone) if issued => {
            KeyRoute::Refuse(attempt.not_owner_or(ErrorKind::OutcomeUnknown))
        }
        // A dead issuer may come back, and a key without an issuer gets a new owner.
        Err(_) => KeyRoute::Refuse(attempt.no_owner_error()),
    }
}

/// Why an incarnation cannot be asked.
enum Unreachable {
    /// It has ended and will not come back.
    Gone,
    /// It is considered dead, but may come back.
    Dead,
}

/// Address for peers of exactly the incarnation `owner`, or why it cannot be asked.
fn peer_addr_of(
    me: &Incarnate,
    owner: &Incarnate,
    registered_addr: Option<SocketAddr>,
    members: &Members,
) -> Result<SocketAddr, Unreachable> {
    if owner.id == me.id {
        return Err(Unreachable::Gone);
    }
    match members.get(&owner.id) {
        Some(member) if member.incarnation > owner.incarnation => Err(Unreachable::Gone),
        Some(member) if member.incarnation == owner.incarnation => match member.state {
            MemberState::Left => Err(Unreachable::Gone),
            MemberState::Dead => Err(Unreachable::Dead),
            _ => Ok(member.peer_addr),
        },
        // After a start, this daemon has yet to learn the states of the members, so it tries the
        // registered address of one that it does not know.
        _ => registered_addr.ok_or(Unreachable::Gone),
    }
}

/// Error for a keyed request whose owner did not answer.
///
/// `sent` is whether any byte of the request may have reached the owner. If none has, it is known
/// that this attempt did not run, but not whether earlier ones did.
#[must_use]
pub fn unreachable_owner(attempt: Attempt, sent: bool) -> ErrorKind {
    if sent { ErrorKind::UpstreamLost } else { attempt.no_owner_error() }
}

/// Error for a keyed request that this daemon refuses with `kind` before it asks the owner.
///
/// If there may have been earlier attempts, `owner_changing` replaces a refusal that promises
/// `not_run` but that another daemon, or this one at another time, might not have given: an earlier
/// attempt may then have run. This includes a missing route, which may have been deleted or may not
/// have reached this daemon yet. An error in the request itself is kept, because earlier attempts
/// had it too.
#[must_use]
pub fn refusal_before_owner(kind: ErrorKind, attempt: Attempt) -> ErrorKind {
    let may_differ_elsewhere = kind.answer().retryable || kind == ErrorKind::NoRoute;
    if promises_not_run(kind) && may_differ_elsewhere && attempt == Attempt::MayRepeat {
        ErrorKind::OwnerChanging
    } else {
        kind
    }
}
