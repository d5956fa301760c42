//! Leased tokens at an entry daemon.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::account::{Ask, Decision};
use super::reserve::Reserve;
use super::{Bounds, STOCK_LEASE};
use crate::id::TenantName;

/// Time constant of the estimated demand. One request alone must not put a token in stock.
const DEMAND_TIME: Duration = Duration::from_millis(1_500);
/// Part of a lease whose expected demand is kept in stock. The rest covers the answer and an estimate that is too high,
/// since tokens that expire are lost.
const STOCKED_PART: f64 = 0.6;
/// Part of the stock below which it is filled up.
const REFILL_BELOW: f64 = 0.3;
/// Longest time for which requests are refused without asking again, after the account had no token.
const MAX_REFUSAL: Duration = Duration::from_millis(250);
/// Time for which nothing is asked for the stock after the account had too little for it.
const STOCK_PAUSE: Duration = Duration::from_millis(250);
/// Time for which no request waits for an account that did not answer.
const SILENCE: Duration = Duration::from_millis(250);
/// Time without refusals after which a tenant counts as limited anew.
const LIMITED_ANEW: Duration = Duration::from_secs(10);
/// Shortest time after which the state of a tenant without requests is dropped.
const IDLE_LIMIT: Duration = Duration::from_secs(5);

/// A token that a request has taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Token {
    /// A leased token.
    Leased {
        /// End of the lease.
        expires_at: Duration,
        /// Number of reports of the stock before it was taken.
        reports: u32,
    },
    /// A part of the reserve.
    Reserve {
        /// Time at which it was taken.
        taken_at: Duration,
    },
}

/// What an entry daemon holds of one tenant's quota.
#[derive(Debug, Default)]
pub struct Allowance {
    /// Leased tokens with the ends of their leases, the earliest one first.
    leases: VecDeque<(Duration, u32)>,
    /// Requests per second, as estimated at `arrived_at`.
    demand: f64,
    arrived_at: Duration,
    /// Number of times that the stock was reported to a holder.
    reports: u32,
    /// Number of requests that wait for a token.
    waiting: u32,
    /// Time until which nothing is asked for the stock, as the account had too little.
    extra_after: Duration,
    /// Time until which the account is known to have no token.
    refused_until: Duration,
    /// Time until which the account counts as not answering.
    silent_until: Duration,
    reserve: Reserve,
    /// Time at which the account last had no token.
    limited_at: Option<Duration>,
}

impl Allowance {
    /// Records the arrival of a request.
    pub fn on_arrival(&mut self, now: Duration) {
        self.demand = self.demand(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.arrived_at = now;
    }

    /// Requests per second.
    fn demand(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.arrived_at).as_secs_f64();
        self.demand * (-since / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn drop_expired(&mut self, now: Duration) {
        while self.leases.front().is_some_and(|(expires_at, _)| *expires_at <= now) {
            self.leases.pop_front();
        }
    }

    /// Takes a token out of the stock.
    pub fn take(&mut self, now: Duration) -> Option<Token> {
        self.drop_expired(now);
        let (expires_at, count) = self.leases.front_mut()?;
        let token = Token::Leased { expires_at: *expires_at, reports: self.reports };
        *count -= 1;
        if *count == 0 {
            self.leases.pop_front();
        }
        Some(token)
    }

    /// Takes a token out of the reserve, of which `part` may be used in a window.
    pub fn take_reserve(&mut self, part: u32, window: Duration, now: Duration) -> Option<Token> {
        let has_room = self.reserve.take(part, window, now);
        has_room.then_some(Token::Reserve { taken_at: now })
    }

    /// Returns the token of a request that has not run. It is lost if its lease has ended or the holder was told of the
    /// stock without it, because the account may have granted as much again.
    pub fn give_back(&mut self, token: Token, now: Duration) {
        match token {
            Token::Leased { expires_at, reports } => {
                if expires_at > now && reports == self.reports {
                    self.add(expires_at, 1);
                }
            }
            Token::Reserve { taken_at } => self.reserve.give_back(taken_at),
        }
    }

    fn add(&mut self, expires_at: Duration, count: u32) {
        let index = self.leases.partition_point(|(other, _)| *other < expires_at);
        match self.leases.get_mut(index) {
            Some((other, stock)) if *other == expires_at => *stock += count,
            _ if count > 0 => self.leases.insert(index, (expires_at, count)),
            _ => {}
        }
    }

    /// Counts a request that waits for a token.
    pub fn begin_wait(&mut self) {
        self.waiting += 1;
    }

    /// Counts a request that no longer waits.
    pub fn end_wait(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Tokens to ask the account for; `None` if the stock suffices or the account has none.
    pub fn wanted(&mut self, now: Duration) -> Option<Ask> {
        self.drop_expired(now);
        if now < self.refused_until || now < self.silent_until {
            return None;
        }
        let held: u32 = self.leases.iter().map(|(_, count)| count).sum();
        let needed = self.waiting.saturating_sub(held);
        let target = self.demand(now) * STOCK_LEASE.as_secs_f64() * STOCKED_PART;
        let is_low = f64::from(held) < target * REFILL_BELOW
            && target >= 1.0
            && (needed > 0 || now >= self.extra_after);
        let extra = if is_low { (target.round() as u32).saturating_sub(held) } else { 0 };
        (needed + extra > 0).then_some(Ask { needed, extra, held })
    }

    /// As [`wanted`](Self::wanted), for a request that is sent: records that the holder learns of the stock.
    fn report(&mut self, now: Duration) -> Option<Ask> {
        let ask = self.wanted(now)?;
        self.reports = self.reports.wrapping_add(1);
        Some(ask)
    }

    /// Handles the answer to a request for tokens that was sent at `sent_at`; returns whether the tenant starts to be
    /// limited.
    pub fn on_decision(
        &mut self,
        ask: Ask,
        decision: Decision,
        lease: Duration,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let Decision::Granted { tokens, stocked, wait } = decision else {
            self.on_silence(now);
            return false;
        };
        self.silent_until = Duration::ZERO;
        for (expires_at, count) in [(sent_at + lease, tokens), (sent_at + STOCK_LEASE, stocked)] {
            if expires_at > now {
                self.add(expires_at, count);
            }
        }
        if stocked < ask.extra {
            self.extra_after = now + STOCK_PAUSE;
        }
        let is_drained = tokens + stocked < ask.needed + ask.extra && !wait.is_zero();
        if is_drained && ask.needed > 0 {
            // Holds once the stock is used up.
            self.refused_until = now + wait.min(MAX_REFUSAL);
        }
        if tokens > 0 || ask.needed == 0 {
            return false;
        }
        let earlier = self.limited_at.replace(now);
        earlier.is_none_or(|at| now.saturating_sub(at) > LIMITED_ANEW)
    }

    /// Handles a request for tokens that got no answer.
    pub fn on_silence(&mut self, now: Duration) {
        self.silent_until = now + SILENCE;
    }

    /// Whether the account does not answer, so that the reserve may be used.
    #[must_use]
    pub fn is_silent(&self, now: Duration) -> bool {
        now < self.silent_until
    }

    /// Time until the account has a token, if it is known to have none.
    #[must_use]
    pub fn refused_for(&self, now: Duration) -> Option<Duration> {
        (now < self.refused_until).then(|| self.refused_until.saturating_sub(now))
    }

    /// Time after which a request can get a token while the account does not answer.
    #[must_use]
    pub fn retry_after(&self, window: Duration, now: Duration) -> Duration {
        let silent = self.silent_until.saturating_sub(now).max(SILENCE);
        self.reserve.wait(window, now).map_or(silent, |wait| wait.min(silent * 4))
    }

    /// Whether nothing is kept that can still be of use; uses of the reserve are for a window.
    fn is_idle(&self, window: Duration, now: Duration) -> bool {
        self.waiting == 0 && now.saturating_sub(self.arrived_at) > window.max(IDLE_LIMIT)
    }
}

/// What an entry daemon holds of the quotas of all tenants that send requests to it.
#[derive(Debug)]
pub struct Allowances {
    bounds: Bounds,
    tenants: BTreeMap<TenantName, Allowance>,
}

impl Allowances {
    /// Allowances of a daemon that has got no request.
    #[must_use]
    pub fn new(bounds: Bounds) -> Self {
        Self { bounds, tenants: BTreeMap::new() }
    }

    /// Allowance of a tenant.
    pub fn tenant(&mut self, name: &str) -> &mut Allowance {
        if !self.tenants.contains_key(name) {
            self.tenants.insert(name.to_owned(), Allowance::default());
        }
        self.tenants.get_mut(name).expect("the tenant was inserted")
    }

    /// Allowance of a tenant that has sent a request, if it is kept.
    pub fn known(&mut self, name: &str) -> Option<&mut Allowance> {
        self.tenants.get_mut(name)
    }

    /// Tokens to ask one daemon for, which holds the accounts of the tenants for which `is_held` returns true. The
    /// caller must send the request, since the stocks count as reported.
    pub fn asks(
        &mut self,
        is_held: impl Fn(&str) -> bool,
        now: Duration,
    ) -> Vec<(TenantName, Ask)> {
        let asks = self.tenants.iter_mut().filter_map(|(name, allowance)| {
            let is_due = allowance.wanted(now).is_some() && is_held(name);
            let ask = if is_due { allowance.report(now) } else { None };
            ask.map(|ask| (name.clone(), ask))
        });
        asks.collect()
    }

    /// Drops the state of tenants that `keeps` does not name, and of those without requests.
    pub fn retain(&mut self, keeps: impl Fn(&str) -> bool, now: Duration) {
        let window = self.bounds.window;
        self.tenants.retain(|name, allowance| keeps(name) && !allowance.is_idle(window, now));
    }
}
