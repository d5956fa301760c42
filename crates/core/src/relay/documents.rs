//! Which daemons read whole documents from the platform themselves.
//!
//! A read of the platform costs more than a message between daemons, so in each data centre a few relays
//! read and notify the others, who fetch the document from one of them. That a relay is cut off from the
//! platform cannot be told from a time without news, so there are several, and a daemon that hears from nobody,
//! or that knows of a newer document and cannot fetch it, reads for itself.

use std::collections::BTreeMap;
use std::time::Duration;

use super::tree::RELAY_KEY;
use crate::membership::Member;
use crate::rendezvous;

/// Part of the daemons of a data centre that read for the others.
const RELAY_PART: usize = 5;

/// Fewest relays. All of them are cut off from the platform at once far less often than one.
const MIN_RELAYS: usize = 3;

/// Silence of all other daemons after which a daemon reads for itself. Longer than the time between two
/// probes and their answers, and short against the time in which a document has to be in force.
const SILENCE: Duration = Duration::from_millis(1_400);

/// Time to fetch a newer document from other daemons before it is read from the platform.
const FETCH_TIME: Duration = Duration::from_millis(500);

/// Routes of a document that counts as large. Relays with slow links cannot pass it on to many in time, so
/// each daemon reads it for itself.
const LARGE_ROUTES: usize = 10_000;

/// Relays for documents in a data centre of `members` daemons.
#[must_use]
pub fn document_relay_count(members: usize) -> usize {
    members.div_ceil(RELAY_PART).max(MIN_RELAYS)
}

/// Daemons that a relay notifies in each other data centre. They stand in for its relays if those have all
/// died at once and are not yet known to be dead.
const STAND_INS: usize = 2;

/// Live members that `own` notifies of a newer document: those of its data centre that do not read, and a few
/// in each other data centre.
#[must_use]
pub fn notice_targets<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> Vec<&'a Member> {
    let mut targets = Vec::new();
    for (data_centre, members) in by_data_centre(members) {
        let (_, others) = split_relays(&members);
        let most = if data_centre == own.data_centre { usize::MAX } else { STAND_INS };
        let ids = others.into_iter().take(most);
        targets.extend(ids.filter(|id| *id != own.id).map(|id| members[id]));
    }
    targets
}

/// Key of the ranking of relays for the copy of the newest document.
const COPY_KEY: &[u8] = b"document copy";

/// Whether `own` is the one relay of the mesh that keeps a copy of the newest document for daemons that start.
/// Daemons with different views may both do so for a while, which is harmless.
#[must_use]
pub fn keeps_copy<'a>(members: impl IntoIterator<Item = &'a Member>, own: &Member) -> bool {
    let relays = by_data_centre(members).into_values().flat_map(|members| split_relays(&members).0);
    rendezvous::first(COPY_KEY, relays) == Some(own.id.as_str())
}

/// Whether `own` is a relay for documents in its data centre.
#[must_use]
pub fn is_document_relay<'a>(members: impl IntoIterator<Item = &'a Member>, own: &Member) -> bool {
    split_relays(&beside(members, own)).0.contains(&own.id.as_str())
}

/// The other relays for documents in the data centre of `own`.
#[must_use]
pub fn other_document_relays<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> Vec<&'a Member> {
    let members = beside(members, own);
    let relays = split_relays(&members).0.into_iter().filter(|id| *id != own.id);
    relays.map(|id| members[id]).collect()
}

/// Relays of a data centre, and its other daemons in the order in which they stand in for these.
fn split_relays<'a>(members: &BTreeMap<&'a str, &Member>) -> (Vec<&'a str>, Vec<&'a str>) {
    let mut relays = rendezvous::rank(RELAY_KEY, members.keys().copied());
    let others = relays.split_off(document_relay_count(relays.len()).min(relays.len()));
    (relays, others)
}

/// Live members of the data centre of `own`.
fn beside<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> BTreeMap<&'a str, &'a Member> {
    let live = members.into_iter().filter(|member| member.is_live());
    let here = live.filter(|member| member.data_centre == own.data_centre);
    here.map(|member| (member.id.as_str(), member)).collect()
}

fn by_data_centre<'a>(
    members: impl IntoIterator<Item = &'a Member>,
) -> BTreeMap<&'a str, BTreeMap<&'a str, &'a Member>> {
    let mut by_data_centre: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
    for member in members.into_iter().filter(|member| member.is_live()) {
        let of_data_centre = by_data_centre.entry(member.data_centre.as_str()).or_default();
        of_data_centre.insert(member.id.as_str(), member);
    }
    by_data_centre
}

/// Why a daemon reads the platform itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// It is a relay.
    Relay,
    /// Documents are too large to be passed on.
    Large,
    /// It hears from no other daemon.
    Silence,
    /// It knows of a newer document and could not fetch it.
    Behind,
    /// Nobody has confirmed the copy that it started from.
    Unconfirmed,
}

/// What a daemon knows about its way to newer documents.
#[derive(Debug, Clone, Default)]
pub struct DocumentReadPolicy {
    heard_at: Duration,
    behind_since: Option<Duration>,
}

impl DocumentReadPolicy {
    /// Records a message of another daemon.
    pub fn heard(&mut self, now: Duration) {
        self.heard_at = now;
    }

    /// Records that another daemon has a newer document.
    pub fn fell_behind(&mut self, now: Duration) {
        self.behind_since.get_or_insert(now);
    }

    /// Records that the newest document that is known of is in force.
    pub fn caught_up(&mut self) {
        self.behind_since = None;
    }

    /// Why this daemon is to read the platform itself, if it is; `routes` are those of its document.
    #[must_use]
    pub fn reason(&self, is_relay: bool, routes: usize, now: Duration) -> Option<ReadReason> {
        let behind = self.behind_since.map(|since| now.saturating_sub(since));
        if is_relay {
            Some(ReadReason::Relay)
        } else if routes > LARGE_ROUTES {
            Some(ReadReason::Large)
        } else if behind.is_some_and(|time| time >= FETCH_TIME) {
            Some(ReadReason::Behind)
        } else if now.saturating_sub(self.heard_at) >= SILENCE {
            Some(ReadReason::Silence)
        } else {
            None
        }
    }
}
