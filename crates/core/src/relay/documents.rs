//! Which daemons read whole documents from the platform themselves.
//!
//! A read of the platform costs more than a message between daemons, so in each data centre a few
//! relays read the platform and notify the other daemons, which fetch the document from a daemon
//! that has it. A relay that is cut off from the platform looks the same as one without news.
//! Therefore there are several relays, and a daemon that hears from nobody, or that knows of a
//! newer document and cannot fetch it, reads the platform itself.

use std::collections::BTreeMap;
use std::time::Duration;

use super::relay_watch::SubstituteGroup;
use super::tree::RELAY_KEY;
use crate::membership::Member;
use crate::rendezvous;

/// One relay is selected for this many daemons of a data centre, or part of them.
const MEMBERS_PER_RELAY: usize = 5;

/// Minimum number of relays of a data centre. All of them are cut off from the platform at once far
/// less often than a single one.
const MIN_RELAYS: usize = 3;

/// Time without a message from any other daemon after which a daemon reads the platform itself. It
/// is longer than the time between two probes and their answers, and short compared to the time
/// within which a document has to be in force.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Time for fetching a newer document from other daemons before it is read from the platform.
const FETCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of routes up to which daemons rely on relays for documents. Relays with slow links cannot
/// send a larger document to many daemons in time, so each daemon reads it from the platform
/// itself.
const MAX_RELAYED_ROUTES: usize = 10_000;

/// Time between the ends of two polls of a data centre. The platform may lose an open poll, which then looks
/// like one without news, so this bounds the time until a reader notices the loss. Data centres may be cut off
/// from each other, so each notices it by itself.
const POLL_END_INTERVAL: Duration = Duration::from_secs(1);

/// The same where reads that do not wait notice the loss too, so that polls may end less often.
const POLL_END_INTERVAL_BESIDE_READS: Duration = Duration::from_secs(4);

/// Shortest time for which a poll is open. One that ended slightly before its time is not followed by another
/// one for the rest of it.
const MIN_POLL_TIME: Duration = Duration::from_millis(100);

/// Longest time for which a poll is open, whatever the number of readers.
const MAX_POLL_TIME: Duration = Duration::from_secs(30);

/// Number of document relays in a data centre of `members` daemons; it may be larger than
/// `members`.
#[must_use]
pub fn document_relay_count(members: usize) -> usize {
    members.div_ceil(MEMBERS_PER_RELAY).max(MIN_RELAYS)
}

/// Maximum number of daemons that a relay notifies in each other data centre. They stand in for the
/// relays there if all of those have died at once and are not yet known to be dead.
const REMOTE_TARGETS: usize = 2;

/// Live members that `own` notifies of a newer document: all of its data centre, and a few in each
/// other data centre, relays last. `own` itself is left out.
///
/// Relays are notified too, since the platform may have turned them away or lost their polls.
#[must_use]
pub fn notice_targets<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> Vec<&'a Member> {
    let mut targets = Vec::new();
    for (data_centre, members) in by_data_centre(members) {
        let (relays, others) = split_relays(&members);
        let is_own = data_centre == own.data_centre;
        let max_targets = if is_own { usize::MAX } else { REMOTE_TARGETS };
        let ids = others.into_iter().chain(relays.into_iter().rev()).take(max_targets);
        targets.extend(ids.filter(|id| *id != own.id).map(|id| members[id]));
    }
    targets
}

/// Time for which a daemon that reads the platform waits, once others have a newer document, before it fetches
/// the document from them. Its own read mostly returns it at the same time.
pub const OWN_READ_GRACE: Duration = Duration::from_millis(300);

/// Place of a daemon among those of its data centre that poll the platform.
///
/// The polls end one after another, each at its share of the time of day, so that some reader soon notices when
/// the platform has lost the polls that were open. Clocks that differ only move these ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PollTurn {
    /// Number of readers before this one.
    pub rank: usize,
    /// Number of readers.
    pub readers: usize,
    /// Number of data centres before that of the daemon.
    pub data_centre_rank: usize,
    /// Number of data centres with live daemons.
    pub data_centres: usize,
}

impl PollTurn {
    /// Place of `own`, which reads the platform.
    #[must_use]
    pub fn of<'a>(members: impl IntoIterator<Item = &'a Member>, own: &Member) -> Self {
        let mut data_centres = by_data_centre(members);
        let members = data_centres.remove(own.data_centre.as_str()).unwrap_or_default();
        let data_centre_rank =
            data_centres.keys().filter(|name| **name < own.data_centre.as_str()).count();
        let data_centres = data_centres.len() + 1;
        let (relays, others) = split_relays(&members);
        let rank = |ids: &[&str]| ids.iter().position(|id| *id == own.id);
        match rank(&relays) {
            Some(rank) => Self { rank, readers: relays.len(), data_centre_rank, data_centres },
            // A daemon that is not a relay reads only if all may have to.
            None => Self {
                rank: relays.len() + rank(&others).unwrap_or(others.len()),
                readers: members.len().max(1),
                data_centre_rank,
                data_centres,
            },
        }
    }

    /// How long a poll that begins at `now`, the time of day, may stay open.
    #[must_use]
    pub fn poll_time(self, now: Duration) -> Duration {
        self.poll_time_for(POLL_END_INTERVAL, now)
    }

    /// Like [`poll_time`](Self::poll_time), where some reader of the data centre also reads the platform about once a
    /// second without waiting, which notices lost polls too.
    #[must_use]
    pub fn poll_time_beside_reads(self, now: Duration) -> Duration {
        self.poll_time_for(POLL_END_INTERVAL_BESIDE_READS, now)
    }

    fn poll_time_for(self, end_interval: Duration, now: Duration) -> Duration {
        let round = end_interval.mul_f64(self.readers as f64).min(MAX_POLL_TIME);
        let data_centre_part = self.data_centre_rank as f64 / self.data_centres as f64;
        let end = end_interval.mul_f64(self.rank as f64 + data_centre_part).as_millis();
        let round_ms = round.as_millis();
        let left_ms = (end + round_ms - now.as_millis() % round_ms) % round_ms;
        let left = Duration::from_millis(u64::try_from(left_ms).unwrap_or_default());
        if left < MIN_POLL_TIME { left + round } else { left }
    }
}

/// Rendezvous key by which the relay is chosen that keeps the copy of the newest document.
const COPY_KEY: &[u8] = b"document copy";

/// Whether `own` is the one relay of the mesh that keeps a copy of the newest document for daemons
/// that start. Several daemons with different member tables may do so for a while, which is
/// harmless.
#[must_use]
pub fn keeps_copy<'a>(members: impl IntoIterator<Item = &'a Member>, own: &Member) -> bool {
    let relays = by_data_centre(members).into_values().flat_map(|members| split_relays(&members).0);
    rendezvous::first(COPY_KEY, relays) == Some(own.id.as_str())
}

/// Whether `own` is a document relay of its data centre.
#[must_use]
pub fn is_document_relay<'a>(members: impl IntoIterator<Item = &'a Member>, own: &Member) -> bool {
    split_relays(&local_members(members, own)).0.contains(&own.id.as_str())
}

/// The document relays of the data centre of `own` except itself.
#[must_use]
pub fn other_document_relays<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> Vec<&'a Member> {
    let members = local_members(members, own);
    let relays = split_relays(&members).0.into_iter().filter(|id| *id != own.id);
    relays.map(|id| members[id]).collect()
}

/// The document relays of the data centre of `own`, and those of the others, except itself; each in rank order.
#[must_use]
pub fn document_relays<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> (Vec<&'a Member>, Vec<&'a Member>) {
    let (mut local, mut remote) = (Vec::new(), Vec::new());
    for (data_centre, members) in by_data_centre(members) {
        let relays = split_relays(&members).0.into_iter().filter(|id| *id != own.id);
        let found = if data_centre == own.data_centre { &mut local } else { &mut remote };
        found.extend(relays.map(|id| members[id]));
    }
    (local, remote)
}

/// Number of daemons of the data centre that read the platform for it before `own` does; `None` if `own` does not, or
/// only for itself.
#[must_use]
pub fn reader_rank(
    members: &[&Member],
    own: &Member,
    can_read: impl Fn(&Member) -> bool,
) -> Option<usize> {
    if !ReadRole::of(members, own, &can_read).reads() {
        return None;
    }
    let mut readers = able_readers(members, own, can_read).into_iter();
    readers.position(|member| member.id == own.id)
}

/// The daemon of the data centre, except `own`, that has to read the platform before all others.
#[must_use]
pub fn first_other_reader<'a>(
    members: &[&'a Member],
    own: &Member,
    can_read: impl Fn(&Member) -> bool,
) -> Option<&'a Member> {
    able_readers(members, own, can_read).into_iter().find(|member| member.id != own.id)
}

/// Live members of the data centre of `own` that can read the platform, as far as known, in the order in which they
/// have to. `own` is always among them.
fn able_readers<'a>(
    members: &[&'a Member],
    own: &Member,
    can_read: impl Fn(&Member) -> bool,
) -> Vec<&'a Member> {
    let local = local_members(members.iter().copied(), own);
    let (relays, others) = split_relays(&local);
    let readers = relays.into_iter().chain(others).map(|id| local[id]);
    readers.filter(|member| member.id == own.id || can_read(member)).collect()
}

/// Group in which `own`, which is no relay, reads the platform once no relay answers. The first group has as many
/// daemons as there are relays.
#[must_use]
pub fn substitute_group<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> SubstituteGroup {
    let local = local_members(members, own);
    let (relays, others) = split_relays(&local);
    let rank = others.iter().position(|id| *id == own.id).unwrap_or(others.len());
    SubstituteGroup(rank / relays.len().max(1))
}

/// Splits the members of one data centre into its document relays and the other daemons, both in
/// rank order.
fn split_relays<'a>(members: &BTreeMap<&'a str, &Member>) -> (Vec<&'a str>, Vec<&'a str>) {
    let mut relays = rendezvous::rank(RELAY_KEY, members.keys().copied());
    let others = relays.split_off(document_relay_count(relays.len()).min(relays.len()));
    (relays, others)
}

/// Live members of the data centre of `own`, by id.
fn local_members<'a>(
    members: impl IntoIterator<Item = &'a Member>,
    own: &Member,
) -> BTreeMap<&'a str, &'a Member> {
    let live = members.into_iter().filter(|member| member.is_live());
    let local = live.filter(|member| member.data_centre == own.data_centre);
    local.map(|member| (member.id.as_str(), member)).collect()
}

/// Live members by data centre and id.
fn by_data_centre<'a>(
    members: impl IntoIterator<Item = &'a Member>,
) -> BTreeMap<&'a str, BTreeMap<&'a str, &'a Member>> {
    let mut by_data_centre: BTreeMap<_, BTreeMap<_, _>> = BTreeMap::new();
    for member in members.into_iter().filter(|member| member.is_live()) {
        let data_centre_members = by_data_centre.entry(member.data_centre.as_str()).or_default();
        data_centre_members.insert(member.id.as_str(), member);
    }
    by_data_centre
}

/// Why a daemon reads the platform itself; logged under the names of the variants.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadReason {
    /// It is a document relay.
    Relay,
    /// A document relay cannot read, and it is one of those that read in its place.
    Substitute,
    /// Its document has too many routes for relays to pass it on in time.
    Large,
    /// No other daemon has sent a message for too long.
    Silence,
    /// It knows of a newer document and could not fetch it in time.
    Behind,
    /// No document relay answers.
    RelaysSilent,
    /// Nobody has confirmed in time that the copy that it started from is the newest document.
    Unconfirmed,
}

/// What others of its data centre rely on a daemon for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadRole {
    /// Nothing.
    None,
    /// It reads as a document relay.
    Relay,
    /// It reads in place of a document relay that cannot.
    Substitute,
}

impl ReadRole {
    /// Role of `own` among the live members, of which `can_read` tells those that can read.
    ///
    /// For each document relay that cannot, as many others of its data centre read as there are relays. Which of
    /// them the platform serves is not known, and to find out one after another would take too long. If a single
    /// relay has lost its reads, the documents that all others read at once would fill their links.
    #[must_use]
    pub fn of(members: &[&Member], own: &Member, can_read: impl Fn(&Member) -> bool) -> Self {
        let local = local_members(members.iter().copied(), own);
        let (relays, others) = split_relays(&local);
        if relays.contains(&own.id.as_str()) {
            return Self::Relay;
        }
        let lost_relays = relays.iter().filter(|id| !can_read(local[*id])).count();
        let mut substitutes = others.iter().take(lost_relays * relays.len());
        if substitutes.any(|id| *id == own.id) { Self::Substitute } else { Self::None }
    }

    /// Whether others rely on the daemon.
    #[must_use]
    pub fn reads(self) -> bool {
        self != Self::None
    }
}

/// Decides whether a daemon reads documents from the platform itself.
#[derive(Debug, Clone, Default)]
pub struct DocumentReadPolicy {
    /// Time of the last message from another daemon.
    heard_at: Duration,
    /// Time since which a newer document is known and not in force.
    behind_since: Option<Duration>,
}

impl DocumentReadPolicy {
    /// Records that another daemon has sent a message.
    pub fn heard(&mut self, now: Duration) {
        self.heard_at = now;
    }

    /// Records that another daemon has a newer document.
    pub fn fell_behind(&mut self, now: Duration) {
        self.behind_since.get_or_insert(now);
    }

    /// Records that the newest known document is in force.
    pub fn caught_up(&mut self) {
        self.behind_since = None;
    }

    /// Why this daemon has to read the platform itself, or `None` if it need not; `routes` is the
    /// number of routes of its document.
    #[must_use]
    pub fn reason(&self, role: ReadRole, routes: usize, now: Duration) -> Option<ReadReason> {
        let behind = self.behind_since.map(|since| now.saturating_sub(since));
        if role == ReadRole::Relay {
            Some(ReadReason::Relay)
        } else if role == ReadRole::Substitute {
            Some(ReadReason::Substitute)
        } else if routes > MAX_RELAYED_ROUTES {
            Some(ReadReason::Large)
        } else if behind.is_some_and(|time| time >= FETCH_TIMEOUT) {
            Some(ReadReason::Behind)
        } else if now.saturating_sub(self.heard_at) >= SILENCE_TIMEOUT {
            Some(ReadReason::Silence)
        } else {
            None
        }
    }
}
