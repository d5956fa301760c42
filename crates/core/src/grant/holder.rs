//! Grants as an entry daemon holds them.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{GRANT_TIME, RENEW_INTERVAL};
use crate::id::{DaemonId, Incarnation, ServiceName};

/// Grants of one service: the choice between two backend servers remains.
const MAX_OF_SERVICE: usize = 2;

/// Grants in all. Each takes about 1.3 renewals a second, out of 9 KB of control traffic.
const MAX_HELD: usize = 8;

/// Time after which a daemon that gave no grant is asked again.
const REFUSED_PAUSE: Duration = Duration::from_secs(3);

/// Question to the daemon beside a backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// Daemon that is asked.
    pub host: DaemonId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Service of its backend server.
    pub service: ServiceName,
    /// Number of the question.
    pub sequence: u64,
    /// Time of the question; the grant counts from it.
    pub at: Duration,
    /// Whether further calls are wanted.
    pub want: bool,
    /// Granted calls in flight.
    pub busy: u32,
}

/// Grant of one daemon.
#[derive(Debug)]
pub struct Held {
    /// Incarnation that gave the grant.
    pub incarnation: Incarnation,
    /// Service of the backend server.
    pub service: ServiceName,
    connections: u32,
    until: Duration,
    /// Number of the newest question whose answer counted.
    answered: u64,
    asked_at: Duration,
    /// Time of the next question.
    due: Duration,
    busy: u32,
    last_use: Duration,
}

/// Grants of one entry daemon.
#[derive(Debug, Default)]
pub struct Holder {
    held: BTreeMap<DaemonId, Held>,
    /// Daemons that are not to be asked, until the time given.
    paused: BTreeMap<DaemonId, Duration>,
    sequence: u64,
}

impl Holder {
    /// Decides whether to ask for a grant after a call of `service` through `host`.
    #[must_use]
    pub fn want(
        &mut self,
        service: &str,
        host: &str,
        incarnation: Incarnation,
        now: Duration,
    ) -> Option<Ask> {
        let of_service = self.held.values().filter(|held| held.service == service).count();
        if of_service >= MAX_OF_SERVICE
            || self.held.len() >= MAX_HELD
            || self.held.contains_key(host)
            || self.paused.get(host).is_some_and(|until| now < *until)
        {
            return None;
        }
        let held = Held {
            incarnation,
            service: service.to_owned(),
            connections: 0,
            until: Duration::ZERO,
            answered: 0,
            asked_at: now,
            due: now,
            busy: 0,
            last_use: now,
        };
        self.held.insert(host.to_owned(), held);
        self.ask(host, true, now)
    }

    /// Takes over the answer to `ask`; `connections` is 0 when there is no grant.
    pub fn answered(&mut self, ask: &Ask, connections: u32, now: Duration) {
        let Some(held) = self.held.get_mut(&ask.host) else { return };
        if held.incarnation != ask.incarnation || held.answered >= ask.sequence {
            return;
        }
        held.answered = ask.sequence;
        if connections > 0 {
            held.connections = connections;
            held.until = ask.at + GRANT_TIME;
        } else {
            // The slots are returned at the next tick.
            held.until = Duration::ZERO;
            held.due = now;
            self.paused.insert(ask.host.clone(), now + REFUSED_PAUSE);
        }
    }

    /// Takes a connection for one call of `service`: the daemon beside the backend server.
    #[must_use]
    pub fn take(
        &mut self,
        service: &str,
        now: Duration,
        able: impl Fn(&str, Incarnation) -> bool,
    ) -> Option<(DaemonId, Incarnation)> {
        let usable = self.held.iter_mut().filter(|(host, held)| {
            held.service == service
                && now < held.until
                && held.busy < held.connections
                && able(host, held.incarnation)
        });
        let (host, held) = usable.min_by_key(|(_, held)| (held.busy, held.last_use))?;
        held.busy += 1;
        held.last_use = now;
        Some((host.clone(), held.incarnation))
    }

    /// Gives the connection of a call back.
    pub fn release(&mut self, host: &str, incarnation: Incarnation) {
        if let Some(held) = self.held.get_mut(host)
            && held.incarnation == incarnation
        {
            held.busy = held.busy.saturating_sub(1);
        }
    }

    /// Makes no further calls with the grant of `host` after a failed one, and does not ask for another
    /// before `until`.
    pub fn give_up(&mut self, host: &str, until: Duration) {
        if let Some(held) = self.held.get_mut(host) {
            held.until = Duration::ZERO;
            held.due = Duration::ZERO;
            // An answer that is under way would put the grant in force again.
            held.answered = self.sequence;
            self.paused.insert(host.to_owned(), until);
        }
    }

    /// Renews grants in use, returns others, and forgets those that have ended.
    #[must_use]
    pub fn tick(&mut self, now: Duration) -> Vec<Ask> {
        self.paused.retain(|_, until| now < *until);
        let due = self.held.iter().filter(|(_, held)| now >= held.due);
        let due: Vec<DaemonId> = due.map(|(host, _)| host.clone()).collect();
        let mut asks = Vec::new();
        for host in due {
            let Some(held) = self.held.get_mut(&host) else { continue };
            let want = now < held.until && held.last_use >= held.asked_at;
            let is_over = !want && held.busy == 0;
            let was_granted = held.connections > 0;
            if !want {
                // No call may start after the number in flight was reported for the last time.
                held.until = Duration::ZERO;
                held.answered = self.sequence;
            }
            if was_granted {
                asks.extend(self.ask(&host, want, now));
            }
            if is_over {
                self.held.remove(&host);
            }
        }
        asks
    }

    /// Whether there is a grant of `host`, in force or with calls in flight.
    #[must_use]
    pub fn get(&self, host: &str) -> Option<&Held> {
        self.held.get(host)
    }

    fn ask(&mut self, host: &str, want: bool, now: Duration) -> Option<Ask> {
        let held = self.held.get_mut(host)?;
        self.sequence += 1;
        held.asked_at = now;
        held.due = now + RENEW_INTERVAL;
        Some(Ask {
            host: host.to_owned(),
            incarnation: held.incarnation,
            service: held.service.clone(),
            sequence: self.sequence,
            at: now,
            want,
            busy: held.busy,
        })
    }
}
