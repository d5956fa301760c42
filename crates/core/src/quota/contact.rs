//! Which members a daemon is in contact with, by data centre.
//!
//! The membership takes tens of seconds to suspect all members of a data centre that is cut off, as only one in ten
//! probes goes to another data centre. Quotas have to be divided within a second. A data centre therefore counts as in
//! contact only while messages about quotas arrive from it.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use super::{ASK_CONTACT_AFTER, CONTACT_TIMEOUT};
use crate::id::{DaemonId, DataCentre};
use crate::membership::{MemberState, Members};

/// Time for which a data centre must have been in contact before its members count. When a partition heals, the holder
/// on the other side steps down within this time.
pub(super) const SETTLE: Duration = Duration::from_secs(1);

/// Digest of the data centres that a daemon is in contact with.
pub type ViewDigest = u32;

/// What a message of another daemon shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sighting {
    /// Digest of the data centres that the sender is in contact with; `None` while it may not know them yet. Then the
    /// message changes nothing but the time of contact, so that a restart does not stop others from granting tokens.
    pub view: Option<ViewDigest>,
    /// Whether the sender knows the receiver as a member. Otherwise it places no accounts there.
    pub knows_receiver: bool,
}

/// Contact with one data centre.
#[derive(Debug, Clone, Copy, Default)]
struct Centre {
    heard_at: Option<Duration>,
    /// Digest that its daemons reported last.
    view: Option<ViewDigest>,
    /// Time since which it has been in contact with the same data centres as this daemon.
    agreed_since: Option<Duration>,
}

/// Contact of one daemon with the members of the mesh.
#[derive(Debug)]
pub struct Contacts {
    own: DaemonId,
    own_centre: DataCentre,
    /// Live members other than this daemon, with their data centres.
    live: BTreeMap<DaemonId, DataCentre>,
    /// Members that left on purpose.
    left: BTreeSet<DaemonId>,
    /// Members that share the quotas, including suspects and the dead.
    counted: BTreeSet<DaemonId>,
    centres: BTreeMap<DataCentre, Centre>,
    view: ViewDigest,
    /// Whether another daemon knows this one as a member.
    is_known: bool,
}

impl Contacts {
    /// Contact of a daemon that has heard of no other one.
    #[must_use]
    pub fn new(own: DaemonId, own_centre: DataCentre) -> Self {
        Self {
            counted: BTreeSet::from([own.clone()]),
            own,
            own_centre,
            live: BTreeMap::new(),
            left: BTreeSet::new(),
            centres: BTreeMap::new(),
            view: 0,
            is_known: false,
        }
    }

    /// Replaces the members. Of the dead, at most a part `forgettable` of all is left out at once: if more are dead,
    /// they may be running on the other side of a partition.
    pub fn set_members(&mut self, members: &Members, forgettable: f64) {
        let others = || members.iter().filter(|member| member.id != self.own);
        let live = others().filter(|member| member.is_live());
        self.live = live.map(|m| (m.id.clone(), m.data_centre.clone())).collect();
        let left = others().filter(|member| member.state == MemberState::Left);
        self.left = left.map(|member| member.id.clone()).collect();
        let mut counted: BTreeSet<DaemonId> = others()
            .filter(|member| member.state != MemberState::Left)
            .map(|member| member.id.clone())
            .collect();
        counted.insert(self.own.clone());
        let limit = (counted.len() as f64 * forgettable) as usize;
        let dead = others().filter(|member| member.state == MemberState::Dead);
        for member in dead.take(limit) {
            counted.remove(&member.id);
        }
        self.counted = counted;
        let live = &self.live;
        self.centres.retain(|name, _| live.values().any(|centre| centre == name));
    }

    /// Records a message from another daemon; returns whether this is the first one that knows this daemon.
    pub(super) fn on_message(&mut self, from: &str, seen: Sighting, now: Duration) -> bool {
        let Some(name) = self.live.get(from) else { return false };
        let centre = self.centres.entry(name.clone()).or_default();
        centre.heard_at = Some(now);
        centre.view = seen.view.or(centre.view);
        let is_first = seen.knows_receiver && !self.is_known;
        self.is_known |= seen.knows_receiver;
        is_first
    }

    /// Whether this daemon knows another one as a live member.
    #[must_use]
    pub fn knows(&self, id: &str) -> bool {
        self.live.contains_key(id)
    }

    /// Forgets what was heard, as it may be outdated after a pause.
    pub(super) fn clear(&mut self) {
        self.centres.clear();
    }

    /// Determines which data centres are in contact at `now`.
    pub(super) fn advance(&mut self, now: Duration) {
        let names: BTreeSet<&DataCentre> =
            self.live.values().filter(|name| self.hears(name, now)).collect();
        let mut text = String::new();
        for name in names {
            text.push_str(name);
            text.push('\n');
        }
        let alone_in_centre = !self.live.values().any(|name| *name == self.own_centre);
        if alone_in_centre && !text.is_empty() {
            // The only member of its data centre agrees with others that hear from it.
            text = insert_name(&text, &self.own_centre);
        }
        self.view = xxh3_64(text.as_bytes()) as ViewDigest;
        for centre in self.centres.values_mut() {
            let heard = is_recent(centre.heard_at, now, CONTACT_TIMEOUT);
            let agrees = heard && centre.view == Some(self.view);
            centre.agreed_since = agrees.then(|| centre.agreed_since.unwrap_or(now));
        }
    }

    fn hears(&self, centre: &str, now: Duration) -> bool {
        let known = self.centres.get(centre);
        known.is_some_and(|known| is_recent(known.heard_at, now, CONTACT_TIMEOUT))
    }

    /// Digest of the data centres that this daemon is in contact with.
    pub(super) fn view(&self) -> ViewDigest {
        self.view
    }

    /// Members among which accounts are placed: the live members in contact, and this daemon if others know it.
    pub(super) fn candidates(&self, now: Duration) -> BTreeSet<DaemonId> {
        let own = (self.is_known || self.live.is_empty()).then(|| self.own.clone());
        let others = self.live.iter().filter(|(_, centre)| self.hears(centre, now));
        others.map(|(id, _)| id.clone()).chain(own).collect()
    }

    /// Part of the rate that this daemon may grant: the members that agree with it, among all.
    pub(super) fn share(&self, now: Duration) -> f64 {
        let settled = |name: &DataCentre| {
            let since = self.centres.get(name).and_then(|centre| centre.agreed_since);
            since.is_some_and(|since| now.saturating_sub(since) >= SETTLE)
        };
        let agreeing = self.live.values().filter(|name| settled(name)).count();
        (1 + agreeing) as f64 / self.counted.len().max(1) as f64
    }

    /// Members that share the quotas.
    pub(super) fn counted(&self) -> &BTreeSet<DaemonId> {
        &self.counted
    }

    /// Whether this member left on purpose.
    pub(super) fn has_left(&self, id: &str) -> bool {
        self.left.contains(id)
    }

    /// One member of each data centre from which a message is due, chosen by `random`.
    #[must_use]
    pub fn due(&self, now: Duration, random: u64) -> Vec<&DaemonId> {
        let mut by_centre: BTreeMap<&DataCentre, Vec<&DaemonId>> = BTreeMap::new();
        for (id, name) in &self.live {
            let heard_at = self.centres.get(name).and_then(|centre| centre.heard_at);
            if !is_recent(heard_at, now, ASK_CONTACT_AFTER) {
                by_centre.entry(name).or_default().push(id);
            }
        }
        by_centre.values().map(|ids| ids[(random % ids.len() as u64) as usize]).collect()
    }
}

fn is_recent(at: Option<Duration>, now: Duration, limit: Duration) -> bool {
    at.is_some_and(|at| now.saturating_sub(at) < limit)
}

/// Adds a line to sorted lines.
fn insert_name(lines: &str, name: &str) -> String {
    let mut names: Vec<&str> = lines.lines().chain([name]).collect();
    names.sort_unstable();
    names.iter().flat_map(|name| [*name, "\n"]).collect()
}
