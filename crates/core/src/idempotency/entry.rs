//! The side of the daemon that a caller reaches with a keyed request.

use std::net::SocketAddr;

use super::decide::KeyedRequest;
use super::key::KeyForm;
use super::{Attempt, promises_not_run};
use crate::error::ErrorKind;
use crate::membership::{MemberState, Members};
use crate::registry::{Incarnate, Registry};

/// Where a keyed request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyRoute {
    /// This daemon may own the key and decides.
    Local,
    /// Another daemon may own the key and decides.
    Forward {
        /// The daemon.
        owner: Incarnate,
        /// Address of its listener for peers.
        peer_addr: SocketAddr,
    },
    /// Nobody can be asked; the caller gets this error.
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
    match reach(me, &owner, registered_addr, members) {
        Ok(peer_addr) => KeyRoute::Forward { owner, peer_addr },
        Err(Unreachable::Gone) if issued => {
            KeyRoute::Refuse(attempt.not_owner_or(ErrorKind::OutcomeUnknown))
        }
        // Other keys get a new owner, which decides.
        Err(_) => KeyRoute::Refuse(attempt.no_owner_error()),
    }
}

/// Why an incarnation cannot be asked.
enum Unreachable {
    /// It has ended for good.
    Gone,
    /// It is taken for dead, and may come back.
    Dead,
}

/// Address of exactly this incarnation, or why it cannot be asked.
fn reach(
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
        // Live states are re-learnt after a start, so an unknown member is tried all the same.
        _ => registered_addr.ok_or(Unreachable::Gone),
    }
}

/// Error for a keyed request whose owner did not answer.
///
/// `sent` tells whether any byte of the request may have reached the owner. Without that, only
/// this attempt is known not to have run.
#[must_use]
pub fn unreachable_owner(attempt: Attempt, sent: bool) -> ErrorKind {
    if sent { ErrorKind::UpstreamLost } else { attempt.no_owner_error() }
}

/// Error for a keyed request that this daemon refuses with `kind` before it asks the owner.
///
/// `owner_changing` takes the place of a refusal that another daemon, or this one at another time,
/// would not have given, since an earlier attempt may then have run. That includes a missing route,
/// which may have been deleted or may not have arrived here yet. What is wrong with the request
/// itself was wrong with earlier attempts too.
#[must_use]
pub fn refusal_before_owner(kind: ErrorKind, attempt: Attempt) -> ErrorKind {
    let can_change = kind.answer().retryable || kind == ErrorKind::NoRoute;
    if promises_not_run(kind) && can_change && attempt == Attempt::MayRepeat {
        ErrorKind::OwnerChanging
    } else {
        kind
    }
}
