//! Relays of a data centre and the tree along which they push.

use std::ops::Range;

use crate::id::DaemonId;
use crate::membership::Member;
use crate::rendezvous;

/// Relays in each data centre.
pub const RELAYS: usize = 2;
/// Members to which each member of the push tree passes a batch on.
pub const FAN_OUT: usize = 8;

pub(super) const RELAY_KEY: &[u8] = b"relay";

/// The first `count` relays of `own`'s data centre in this daemon's view, by rank. The selection is
/// advisory: daemons with different views may select different relays for a while.
#[must_use]
pub fn relays<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &'a Member,
    count: usize,
) -> Vec<&'a str> {
    let mut ranked = rendezvous::rank(RELAY_KEY, beside(members, own));
    ranked.truncate(count);
    ranked
}

/// Order of the push tree rooted at `root`: the root, then the other live members of `own`'s data
/// centre. The order depends on the root, so the trees of two relays have different inner members
/// and the loss of one inner member cuts nobody off from both.
#[must_use]
pub fn push_order<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &'a Member,
    root: &str,
) -> Vec<DaemonId> {
    let others = beside(members, own).filter(|id| *id != root);
    let ranked = rendezvous::rank(root.as_bytes(), others);
    let mut order = vec![root.to_owned()];
    order.extend(ranked.into_iter().map(str::to_owned));
    order
}

/// Live members of `own`'s data centre, itself included.
fn beside<'a>(
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
