//! Daemons that remember for another one that its backend server is leaving.

use std::collections::BTreeMap;

use crate::membership::Member;
use crate::rendezvous;

/// Rendezvous key by which witnesses are chosen, followed by the identifier of the daemon.
const WITNESS_KEY: &[u8] = b"witness of ";

/// Daemons that remember for another one that its backend server is leaving; not all of them end at once often.
const WITNESSES: usize = 4;

/// Members that remember for daemon `id`, beyond its restarts, that its backend server is leaving.
#[must_use]
pub fn witnesses<'a>(members: impl IntoIterator<Item = &'a Member>, id: &str) -> Vec<&'a Member> {
    let others: BTreeMap<&str, &Member> = members
        .into_iter()
        .filter(|member| member.id != id)
        .map(|member| (member.id.as_str(), member))
        .collect();
    let key = [WITNESS_KEY, id.as_bytes()].concat();
    let ranked = rendezvous::rank(&key, others.keys().copied());
    ranked.into_iter().take(WITNESSES).map(|id| others[id]).collect()
}
