//! Shares of routes and tenants: how often their requests were started lately, and how much work a
//! tenant usually sends.

use std::collections::BTreeMap;
use std::time::Duration;

use super::cost::Precedence;

/// Time in which the counts of a share fall to 1/e. With a shorter time, the shares of routes with few requests
/// would follow chance.
const SHARE_SECS: f64 = 4.0;

/// Requests that a share must have counted before it is compared.
const MIN_OFFERED: f64 = 2.0;

/// A route or tenant is starved below this fraction of the share of all. Half is the stated limit; the
/// rest is a margin, since hosts decide on their own counts.
const STARVED_FRACTION: f64 = 0.52;

/// A route or tenant is behind below this fraction of the share of all. Requests with later targets would
/// otherwise be served only as often as starvation demands, since those with earlier ones overtake them.
const BEHIND_FRACTION: f64 = 0.8;

/// Time constant of the usual demand of a tenant. A surge of some seconds must not become usual.
const USUAL_SECS: f64 = 30.0;

/// Relative speed at which the usual demand is learnt under overload, when demand may be far from usual.
const OVERLOADED_LEARNING: f64 = 0.1;

/// Largest multiple of its usual demand that a tenant may send before the rest counts as excess. At a host, a
/// tenant has few requests a second, and their number varies.
const MAX_USUAL_FACTOR: f64 = 1.5;

/// The multiple is the part of the usual demand of all tenants that there is room for, times this margin.
const ROOM_MARGIN: f64 = 1.1;

/// Requests that a tenant may send at once without excess.
const USUAL_BURST: f64 = 3.0;

/// Largest number of tenants that are remembered; the least recently used one is evicted.
const MAX_TENANTS: usize = 2_048;

/// Requests that were offered and started lately; old ones count less.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Share {
    offered: f64,
    started: f64,
    updated: Duration,
}

impl Share {
    fn decay(&mut self, now: Duration) {
        let secs = now.saturating_sub(self.updated).as_secs_f64();
        let factor = (-secs / SHARE_SECS).exp();
        self.offered *= factor;
        self.started *= factor;
        self.updated = now;
    }

    pub fn record_offer(&mut self, now: Duration) {
        self.decay(now);
        self.offered += 1.0;
    }

    pub fn record_start(&mut self, now: Duration) {
        self.decay(now);
        self.started += 1.0;
    }

    /// Precedence that its next request is due, if its requests are started less often than those of `all`.
    pub fn precedence_due(&self, all: &Self) -> Option<Precedence> {
        if self.is_below(STARVED_FRACTION, all) {
            Some(Precedence::Starved)
        } else {
            self.is_below(BEHIND_FRACTION, all).then_some(Precedence::Behind)
        }
    }

    fn is_below(&self, fraction: f64, all: &Self) -> bool {
        self.offered >= MIN_OFFERED
            && self.started * all.offered < fraction * all.started * self.offered
    }
}

/// Measurements of one tenant.
#[derive(Debug, Default)]
struct TenantStats {
    share: Share,
    /// Smoothed demand in seconds of work per second, and the learning time at which it was updated.
    demand: f64,
    learnt_at: f64,
    /// Work that it may still send without excess, in seconds.
    credit: f64,
    last_used: Duration,
}

/// Measurements of tenants, by the index that [`intern`](Self::intern) returns.
#[derive(Debug, Default)]
pub(super) struct Tenants {
    /// A B-tree map, since a hash map would draw a random seed.
    by_name: BTreeMap<String, usize>,
    stats: Vec<TenantStats>,
    /// Seconds for which demand was learnt; time under overload counts less.
    learning_secs: f64,
    /// Time of the last request; none before the first one, since the clock has no meaningful start.
    updated: Option<Duration>,
    /// Work of all tenants that was started lately, and what it would be at their usual demand; old work
    /// counts less.
    started_work: f64,
    usual_work: f64,
    /// Usual demand of all tenants; as `TenantStats::demand`.
    demand: f64,
}

impl Tenants {
    /// Returns the index of a tenant; allocates only for a new one.
    pub fn intern(&mut self, name: &str) -> usize {
        if let Some(&index) = self.by_name.get(name) {
            return index;
        }
        let index = if self.stats.len() < MAX_TENANTS {
            self.stats.push(TenantStats::default());
            self.stats.len() - 1
        } else {
            let oldest = self.stats.iter().enumerate().min_by_key(|(_, stats)| stats.last_used);
            let index = oldest.map_or(0, |(index, _)| index);
            self.by_name.retain(|_, other| *other != index);
            self.stats[index] = TenantStats::default();
            index
        };
        self.by_name.insert(name.to_owned(), index);
        index
    }

    /// Records a request of `work` seconds; returns whether it exceeds the usual demand of its tenant.
    pub fn record_offer(
        &mut self,
        tenant: usize,
        work: f64,
        is_overloaded: bool,
        now: Duration,
    ) -> bool {
        let speed = if is_overloaded { OVERLOADED_LEARNING } else { 1.0 };
        let last = self.updated.replace(now).unwrap_or(now);
        let secs = now.saturating_sub(last).as_secs_f64();
        self.learning_secs += secs * speed;
        let known = 1.0 - (-self.learning_secs / USUAL_SECS).exp();
        let kept = (-secs / SHARE_SECS).exp();
        self.started_work *= kept;
        self.usual_work =
            self.usual_work * kept + secs * self.demand / known.max(f64::MIN_POSITIVE);
        self.demand = self.demand * (-secs * speed / USUAL_SECS).exp() + work * speed / USUAL_SECS;
        let factor = self.usual_factor();
        let stats = &mut self.stats[tenant];
        stats.share.record_offer(now);
        let usual = if known > 0.0 { stats.demand / known } else { 0.0 };
        let idle_secs = now.saturating_sub(stats.last_used).as_secs_f64();
        stats.last_used = now;
        let burst = usual.max(USUAL_BURST * work);
        stats.credit = (stats.credit + factor * usual * idle_secs).min(burst);
        let elapsed = self.learning_secs - stats.learnt_at;
        stats.learnt_at = self.learning_secs;
        stats.demand = stats.demand * (-elapsed / USUAL_SECS).exp() + work * speed / USUAL_SECS;
        let is_excess = stats.credit < work;
        if !is_excess {
            stats.credit -= work;
        }
        is_excess
    }

    /// Multiple of its usual demand that a tenant may send without excess.
    fn usual_factor(&self) -> f64 {
        if self.usual_work > 0.0 {
            (ROOM_MARGIN * self.started_work / self.usual_work).min(MAX_USUAL_FACTOR)
        } else {
            MAX_USUAL_FACTOR
        }
    }

    /// Records the start of a request of `work` seconds.
    pub fn record_start(&mut self, tenant: usize, work: f64, now: Duration) {
        self.stats[tenant].share.record_start(now);
        self.started_work += work;
    }

    pub fn share(&self, tenant: usize) -> &Share {
        &self.stats[tenant].share
    }
}
