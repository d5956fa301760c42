//! Accounts of tenants, at the daemon that ranks first for their names.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use super::contact::{Contacts, SETTLE, Sighting};
use super::{Bounds, HANDOVER, PAUSE, STOCK_LEASE};
use crate::id::{DaemonId, DataCentre, TenantName};
use crate::membership::Members;
use crate::rendezvous;
use crate::tenants::Quota;

/// Time for which the granted share of the rate is remembered. An account that was not used for that long is dropped,
/// and made again from what is remembered.
const HISTORY: Duration = Duration::from_secs(10);

/// Longest time after which an entry daemon may ask again for tokens that there are.
const MAX_PACE: Duration = Duration::from_millis(100);
/// Time between two reviews of the contact with other daemons.
const REVIEW: Duration = Duration::from_millis(50);

/// Request for tokens of one tenant.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Ask {
    /// Number of tokens that requests wait for.
    pub needed: u32,
    /// Number of further tokens that the entry daemon wants in stock.
    pub extra: u32,
    /// Number of tokens in its stock.
    pub held: u32,
}

/// Answer of a holder to a request for tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The daemon holds the account.
    Granted {
        /// Number of tokens for requests that wait, possibly none; leased for [`Bounds::lease`].
        tokens: u32,
        /// Number of tokens for the stock; leased for [`STOCK_LEASE`].
        stocked: u32,
        /// Time until the account has a further token.
        wait: Duration,
    },
    /// The account is held by another daemon, or the leases of its previous holder may not have expired.
    NotHeld,
}

/// Token bucket of one tenant. Its time is the integral over the granted share of the rate.
#[derive(Debug)]
struct Account {
    quota: Quota,
    tokens: f64,
    updated: f64,
    used_at: Duration,
    /// Ends of the leases of tokens that requests waited for.
    leases: VecDeque<(Duration, u32)>,
    /// Tokens in the stocks of entry daemons, and the ends of their leases.
    stocks: BTreeMap<DaemonId, (u32, Duration)>,
}

impl Account {
    fn update(&mut self, quota: Quota, share_time: f64, limit: f64, now: Duration) {
        // What has accrued so far accrued at the old rate.
        self.tokens += self.quota.per_sec * (share_time - self.updated).max(0.0);
        self.updated = share_time;
        self.quota = quota;
        self.used_at = now;
        self.leases.retain(|(expires_at, _)| *expires_at > now);
        self.stocks.retain(|_, (_, expires_at)| *expires_at > now);
        let leased: u32 = self.leases.iter().map(|(_, count)| count).sum();
        self.tokens =
            self.tokens.min(limit - f64::from(leased) - f64::from(self.stocked())).max(0.0);
    }

    fn stocked(&self) -> u32 {
        self.stocks.values().map(|(count, _)| count).sum()
    }

    /// Takes at most `wanted` tokens.
    fn take(&mut self, wanted: u32) -> u32 {
        let taken = wanted.min(self.tokens as u32);
        self.tokens -= f64::from(taken);
        taken
    }

    /// Records the stock of an entry daemon, to which `added` tokens were granted.
    fn set_stock(&mut self, entry: &str, held: u32, added: u32, now: Duration) {
        let known = self.stocks.get(entry).map(|(_, expires_at)| *expires_at);
        let expires_at = if added > 0 { Some(now + STOCK_LEASE) } else { known };
        match expires_at.filter(|_| held + added > 0) {
            Some(expires_at) => {
                self.stocks.insert(entry.to_owned(), (held + added, expires_at));
            }
            None => {
                self.stocks.remove(entry);
            }
        }
    }
}

/// Largest balance of a holder that grants a part `share` of the rate; the rest of the burst is for holders on other
/// sides of a partition. With less than one token, no request could ever be sent.
fn capacity(quota: &Quota, share: f64) -> f64 {
    (quota.burst * share).max(1.0)
}

/// Accounts of the tenants for which a daemon ranks first, and its contact with other daemons.
#[derive(Debug)]
pub struct Accounts {
    own: DaemonId,
    bounds: Bounds,
    contacts: Contacts,
    candidates: BTreeSet<DaemonId>,
    accounts: BTreeMap<TenantName, Account>,
    /// Integral of the share over time, in seconds.
    share_time: f64,
    share: f64,
    /// Earlier values of `share_time`, the oldest one first.
    history: VecDeque<(Duration, f64)>,
    advanced: Duration,
    next_review: Duration,
    /// Time at which accounts can be granted from, whoever held them before.
    opens_at: Duration,
    /// Members that are no longer candidates, and the time at which their accounts can be granted from.
    gone: BTreeMap<DaemonId, Duration>,
}

impl Accounts {
    /// Accounts of a daemon that starts at `now`. Others may have held them before.
    #[must_use]
    pub fn new(own: DaemonId, own_centre: DataCentre, bounds: Bounds, now: Duration) -> Self {
        let contacts = Contacts::new(own.clone(), own_centre);
        Self {
            candidates: BTreeSet::from([own.clone()]),
            own,
            bounds,
            contacts,
            accounts: BTreeMap::new(),
            share_time: 0.0,
            share: 0.0,
            history: VecDeque::new(),
            advanced: now,
            next_review: now,
            opens_at: now + HANDOVER,
            gone: BTreeMap::new(),
        }
    }

    /// Replaces the members.
    pub fn set_members(&mut self, members: &Members, now: Duration) {
        self.advance(now);
        self.contacts.set_members(members, self.bounds.forgettable_share());
        self.review(now);
    }

    /// Records a message from another daemon.
    pub fn on_message(&mut self, from: &str, seen: Sighting, now: Duration) {
        self.advance(now);
        if self.contacts.on_message(from, seen, now) {
            // Not all others know this daemon yet, and ask the previous holder.
            self.opens_at = self.opens_at.max(now + HANDOVER);
        }
    }

    /// What to send with a message to another daemon.
    #[must_use]
    pub fn sighting(&self, of: &str) -> Sighting {
        // Others count this daemon's data centre after `SETTLE`, when its own accounts open as well.
        let is_settled = self.advanced + SETTLE >= self.opens_at;
        let view = is_settled.then(|| self.contacts.view());
        Sighting { view, knows_receiver: self.contacts.knows(of) }
    }

    /// Contact with other daemons.
    #[must_use]
    pub fn contacts(&self) -> &Contacts {
        &self.contacts
    }

    /// Brings the state to `now`. It must be called several times a second; after a gap of [`PAUSE`], other daemons
    /// may hold the accounts.
    pub fn advance(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.advanced);
        self.advanced = self.advanced.max(now);
        if gap > PAUSE {
            self.accounts.clear();
            self.contacts.clear();
            self.history.clear();
            self.opens_at = now + HANDOVER;
        } else {
            self.share_time += self.share * gap.as_secs_f64();
        }
        if gap > PAUSE || now >= self.next_review {
            self.review(now);
        }
    }

    /// Determines anew who is in contact, and so which accounts this daemon holds.
    fn review(&mut self, now: Duration) {
        self.next_review = now + REVIEW;
        self.history.push_back((now, self.share_time));
        while self.history.front().is_some_and(|(at, _)| *at + HISTORY < now) {
            self.history.pop_front();
        }
        self.accounts.retain(|_, account| account.used_at + HISTORY > now);
        self.gone.retain(|_, opens_at| *opens_at + HISTORY > now);
        self.contacts.advance(now);
        self.share = self.contacts.share(now);
        self.update_candidates(now);
    }

    fn update_candidates(&mut self, now: Duration) {
        let candidates = self.contacts.candidates(now);
        if candidates == self.candidates {
            return;
        }
        for id in self.candidates.difference(&candidates) {
            // A member that left has granted nothing since.
            let has_left = self.contacts.has_left(id);
            let delay = if has_left { STOCK_LEASE } else { HANDOVER };
            self.gone.insert(id.clone(), now + delay);
        }
        self.gone.retain(|id, _| !candidates.contains(id));
        self.candidates = candidates;
        let (own, candidates) = (&self.own, &self.candidates);
        self.accounts.retain(|tenant, _| first(tenant, candidates) == Some(own.as_str()));
    }

    /// The daemon that holds the account of a tenant, if any is in contact.
    #[must_use]
    pub fn holder(&self, tenant: &str) -> Option<&str> {
        first(tenant, &self.candidates)
    }

    /// Whether this daemon holds the account of a tenant.
    #[must_use]
    pub fn is_holder(&self, tenant: &str) -> bool {
        self.holder(tenant) == Some(self.own.as_str())
    }

    /// Grants tokens of a tenant to an entry daemon.
    pub fn grant(
        &mut self,
        tenant: &str,
        quota: Quota,
        entry: &str,
        ask: Ask,
        now: Duration,
    ) -> Decision {
        self.advance(now);
        if !self.is_holder(tenant) {
            return Decision::NotHeld;
        }
        let capacity = capacity(&quota, self.share);
        if !self.accounts.contains_key(tenant) {
            let opens_at = self.opening(tenant);
            if now < opens_at {
                return Decision::NotHeld;
            }
            let accrued = quota.per_sec * (self.share_time - self.share_time_at(opens_at)).max(0.0);
            let account = Account {
                quota,
                tokens: accrued.min(capacity),
                updated: self.share_time,
                used_at: now,
                leases: VecDeque::new(),
                stocks: BTreeMap::new(),
            };
            self.accounts.insert(tenant.to_owned(), account);
        }
        let Some(account) = self.accounts.get_mut(tenant) else { return Decision::NotHeld };
        let limit = capacity + self.bounds.leased(&quota) * self.share;
        account.update(quota, self.share_time, limit, now);
        account.tokens = account.tokens.min(capacity);
        let tokens = account.take(ask.needed);
        if tokens > 0 {
            account.leases.push_back((now + self.bounds.lease(), tokens));
        }
        account.set_stock(entry, ask.held, 0, now);
        let room = self.bounds.stocked(&quota) * self.share - f64::from(account.stocked());
        let stocked = account.take(ask.extra.min(room.max(0.0) as u32));
        account.set_stock(entry, ask.held, stocked, now);
        let rate = (quota.per_sec * self.share).max(f64::MIN_POSITIVE);
        let mut wait = (1.0 - account.tokens).max(0.0) / rate;
        if account.tokens < 1.0 && tokens + stocked < ask.needed + ask.extra {
            // Daemons that ask again at once would get one token each time.
            wait = wait.max((capacity / rate / 2.0).min(MAX_PACE.as_secs_f64()));
        }
        let wait = Duration::from_secs_f64(wait.min(self.bounds.window.as_secs_f64()));
        Decision::Granted { tokens, stocked, wait }
    }

    /// Time from which this daemon may grant tokens of an account that it holds: when those of each earlier holder have
    /// expired.
    fn opening(&self, tenant: &str) -> Duration {
        let ranks_before_own =
            |id: &str| rendezvous::first(tenant.as_bytes(), [id, self.own.as_str()]) == Some(id);
        let gone = self.gone.iter().filter(|(id, _)| ranks_before_own(id));
        gone.map(|(_, opens_at)| *opens_at).fold(self.opens_at, Duration::max)
    }

    /// The integral of the share at `time`; a later value if it is not remembered.
    fn share_time_at(&self, time: Duration) -> f64 {
        let sample = self.history.iter().find(|(at, _)| *at >= time);
        sample.map_or(self.share_time, |(_, share_time)| *share_time)
    }

    /// Drops the accounts of all tenants that `keeps` does not name.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool) {
        self.accounts.retain(|tenant, _| keeps(tenant));
    }

    /// Number of requests of a tenant that this daemon may send in a window while no account answers. Where the
    /// reserve has less than one request for each member, the members that rank first for the tenant have one each.
    #[must_use]
    pub fn reserve_part(&self, tenant: &str, quota: &Quota) -> u32 {
        let reserve = self.bounds.reserve(quota);
        let counted = self.contacts.counted();
        let each = reserve / counted.len().max(1) as f64;
        if each >= 1.0 {
            return each as u32;
        }
        let ranked = rendezvous::rank(tenant.as_bytes(), counted.iter().map(String::as_str));
        u32::from(ranked.iter().take(reserve as usize).any(|id| *id == self.own))
    }

    /// Part of the rates that this daemon grants.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Number of accounts.
    #[must_use]
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether there is no account.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

fn first<'a>(tenant: &str, candidates: &'a BTreeSet<DaemonId>) -> Option<&'a str> {
    rendezvous::first(tenant.as_bytes(), candidates.iter().map(String::as_str))
}
