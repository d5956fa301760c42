//! The side of the daemon that a caller reaches with a keyed request.

use std::net::SocketAddr;

use super::key::{Key, KeyForm};
use super::{Attempt, promises_not_run};
use crate::error::ErrorKind;
use crate::membership::{MemberState, Members};
use crate::registry::{Incarnate, Registry};

/// Where a keyed request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Route {
    /// This daemon may own the key and decides.
    Here,
    /// Another daemon may own the key and decides.
    Send {
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
    service: &str,
    key: &Key,
    registry: &Registry,
    members: &Members,
    attempt: Attempt,
) -> Route {
    let (owner, registered_addr) = match key.form() {
        KeyForm::Issued { daemon, .. } => {
            let found = registry.get(&daemon.id);
            let addr = found
                .filter(|found| found.incarnation == daemon.incarnation)
                .map(|found| found.peer_addr);
            (daemon.clone(), addr)
        }
        KeyForm::Timed { .. } | KeyForm::Opaque => {
            let Some(found) = registry.owner(service, key.as_str()) else {
                return Route::Refuse(attempt.undecided(ErrorKind::InProgress));
            };
            let owner = Incarnate {
                id: found.id.clone(),
                incarnation: found.incarnation,
            };
            (owner, Some(found.peer_addr))
        }
    };
    if owner == *me {
        return Route::Here;
    }
    match reach(me, &owner, registered_addr, members) {
        Ok(peer_addr) => Route::Send { owner, peer_addr },
        Err(otherwise) => Route::Refuse(attempt.undecided(otherwise)),
    }
}

/// Address of exactly this incarnation, or why it cannot be asked.
fn reach(
    me: &Incarnate,
    owner: &Incarnate,
    registered_addr: Option<SocketAddr>,
    members: &Members,
) -> Result<SocketAddr, ErrorKind> {
    if owner.id == me.id {
        return Err(ErrorKind::OutcomeUnknown);
    }
    match members.get(&owner.id) {
        Some(member) if member.incarnation > owner.incarnation => Err(ErrorKind::OutcomeUnknown),
        Some(member) if member.incarnation == owner.incarnation => match member.state {
            MemberState::Left => Err(ErrorKind::OutcomeUnknown),
            MemberState::Dead => Err(ErrorKind::InProgress),
            _ => Ok(member.peer_addr),
        },
        // Live states are re-learnt after a start, so an unknown member is tried all the same.
        _ => registered_addr.ok_or(ErrorKind::OutcomeUnknown),
    }
}

/// Error for a keyed request whose owner did not answer.
///
/// `sent` tells whether any byte of the request may have reached the owner. Without that, only
/// this attempt is known not to have run.
#[must_use]
pub fn unreachable_owner(attempt: Attempt, sent: bool) -> ErrorKind {
    if sent {
        ErrorKind::UpstreamLost
    } else {
        attempt.undecided(ErrorKind::InProgress)
    }
}

/// Error for a keyed request that this daemon refuses with `kind` before it asks the owner.
///
/// A retryable refusal becomes `in_progress` when an earlier attempt may have run. A refusal that
/// every daemon gives to this request at all times is true for earlier attempts too.
#[must_use]
pub fn refusal_before_owner(kind: ErrorKind, attempt: Attempt) -> ErrorKind {
    if promises_not_run(kind) && kind.answer().retryable && attempt == Attempt::MayRepeat {
        ErrorKind::InProgress
    } else {
        kind
    }
}
