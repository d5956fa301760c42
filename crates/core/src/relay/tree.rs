//! Relays of a data centre and the tree along which they push log entries.
//!
//! Each daemon computes both from its own member table, so no election or coordination is needed.

use std::ops::Range;

use crate::id::DaemonId;
use crate::membership::Member;
use crate::rendezvous;

/// Number of daemons in each data centre that read the log and push new entries.
pub const RELAYS_PER_DATA_CENTRE: usize = 2;
/// Maximum number of children of a member in the push tree.
pub const FAN_OUT: usize = 8;

/// Rendezvous key by which members are ranked as relays, for the log and for documents.
pub(super) const RELAY_KEY: &[u8] = b"relay";

/// Ids of the `count` highest-ranked live members of `own`'s data centre, which are its relays.
///
/// The selection is advisory: daemons with different member tables may select different relays for
/// a while.
#[must_use]
pub fn relays<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &'a Member,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked = rendezvous::rank(RELAY_KEY, local_member_ids(members, own));
    ranked.truncate(count);
    ranked
}

/// Members of the push tree rooted at `root`, in the order that [`children`] takes: the root, then
/// the other live members of `own`'s data centre.
///
/// The order depends on the root, so the trees of two relays have different inner members and the
/// loss of one inner member cuts nobody off from both.
#[must_use]
pub fn push_order<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &'a Member,
    root: &str,
) -> Vec<DaemonId> {
    let others = local_member_ids(members, own).filter(|id| *id != root);
    let ranked = rendezvous::rank(root.as_bytes(), others);
    let mut order = vec![root.to_owned()];
    order.extend(ranked.into_iter().map(str::to_owned));
    order
}

/// Ids of the live members of `own`'s data centre, including `own` if it is live.
fn local_member_ids<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &'a Member,
) -> impl Iterator<Item = &'a str> {
    let others = members.into_iter().filter(|member| {
        member.is_live() && member.id != own.id && member.data_centre == own.data_centre
    });
    let own_live = own.is_live().then_some(own);
    own_live.into_iter().chain(others).map(|member| member.id.as_str())
}

/// Members to which the member at `own_index` of `order` passes a batch on.
///
/// `order` is a complete tree in level order, so the children of a member are consecutive.
#[must_use]
pub fn children<T>(order: &[T], own_index: usize, fan_out: usize) -> &[T] {
    &order[child_range(order.len(), own_index, fan_out)]
}

fn child_range(len: usize, own_index: usize, fan_out: usize) -> Range<usize> {
    let first = own_index.saturating_mul(fan_out).saturating_add(1);
    let end = first.saturating_add(fan_out);
    if own_index >= len {
        return 0..0;
    }
    first.min(len)..end.min(len)
}
