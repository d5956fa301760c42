//! Grants as the daemon beside the backend server counts them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::GRANT_TIME;
use crate::id::{DaemonId, Incarnation};

/// Share of the slots that grants may use is one in this many.
const GRANT_PART: u32 = 4;

/// Holders that share the granted slots at least, where there are that many slots.
const MIN_HOLDERS: u32 = 8;

/// Most connections of one grant.
const MAX_CONNECTIONS: u32 = 4;

/// State of the backend server that a decision depends on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Conditions {
    /// Whether the backend server is ready and its daemon does not leave.
    pub able: bool,
    /// Slots of the backend server.
    pub slots: u32,
    /// Requests that hold a slot, without those of grants.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

/// Question of a holder.
#[derive(Debug, Clone, Copy)]
pub struct Asked<'a> {
    /// Daemon that asks.
    pub holder: &'a str,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Number of the question; it grows within an incarnation.
    pub sequence: u64,
    /// Whether it wants to make further calls.
    pub want: bool,
    /// Its granted calls in flight.
    pub busy: u32,
}

#[derive(Debug)]
struct Entry {
    incarnation: Incarnation,
    sequence: u64,
    connections: u32,
    until: Duration,
}

/// Grants that one daemon has given.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: BTreeMap<DaemonId, Entry>,
}

impl Ledger {
    /// Answers a question with the number of connections that are granted from now on.
    ///
    /// After a refusal the slots stay reserved until the holder returns them or they expire; calls in
    /// flight keep theirs while their holder reports them.
    pub fn ask(&mut self, asked: Asked<'_>, conditions: Conditions, now: Duration) -> u32 {
        self.expire(now);
        let order = (asked.incarnation, asked.sequence);
        let known = self.entries.get(asked.holder);
        if known.is_some_and(|known| (known.incarnation, known.sequence) >= order) {
            return 0;
        }
        let had = known.map_or(0, |known| known.connections);
        let others = self.reserved(now) - had;
        let granted = if asked.want { granted(conditions, others, had) } else { 0 };
        let in_use = granted > 0 || asked.busy > 0;
        let (connections, until) = match known {
            // The holder starts calls until it hears of the refusal.
            Some(known) if asked.want && granted == 0 => {
                (had, if in_use { now + GRANT_TIME } else { known.until })
            }
            _ => (granted.max(asked.busy.min(had)), now + GRANT_TIME),
        };
        if connections == 0 {
            self.entries.remove(asked.holder);
            return 0;
        }
        let entry =
            Entry { incarnation: asked.incarnation, sequence: asked.sequence, connections, until };
        self.entries.insert(asked.holder.to_owned(), entry);
        granted
    }

    /// Forgets the grants whose time is over.
    pub fn expire(&mut self, now: Duration) {
        self.entries.retain(|_, entry| now < entry.until);
    }

    /// Slots that the grant of one holder uses.
    #[must_use]
    pub fn granted_to(&self, holder: &str, now: Duration) -> u32 {
        let entry = self.entries.get(holder).filter(|entry| now < entry.until);
        entry.map_or(0, |entry| entry.connections)
    }

    /// Slots that grants use.
    #[must_use]
    pub fn reserved(&self, now: Duration) -> u32 {
        let current = self.entries.values().filter(|entry| now < entry.until);
        current.map(|entry| entry.connections).sum()
    }
}

/// Connections for a holder that had `had`, beside `others` of other holders.
fn granted(conditions: Conditions, others: u32, had: u32) -> u32 {
    let share = conditions.slots / GRANT_PART;
    let wanted = if had > 0 { had } else { (share / MIN_HOLDERS).clamp(1, MAX_CONNECTIONS) };
    let used = u64::from(conditions.running) + u64::from(others) + u64::from(wanted);
    let fits = others.saturating_add(wanted) <= share
        && used <= u64::from(conditions.slots - share)
        && conditions.queued == 0;
    if conditions.able && fits { wanted } else { 0 }
}
