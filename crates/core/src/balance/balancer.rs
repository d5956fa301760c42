//! The balancer of one service.

use std::sync::Arc;
use std::time::Duration;

use super::builder::BalancerBuilder;
use super::endpoint::{Endpoint, EndpointState, Failure, LoadReport};
use super::free_slot::FreeSlotOdds;
use super::outlier::{self, Scratch};
use crate::id::DataCentre;

/// How long an absent endpoint without outstanding calls is remembered, so that one whose membership
/// flaps stays ejected.
const ABSENT_RETENTION: Duration = Duration::from_secs(60);
/// How long an absent endpoint with outstanding calls is remembered at most: the longest route timeout.
const MAX_ABSENT_RETENTION: Duration = Duration::from_secs(600);
/// Random draws per candidate; bounds the work when all endpoints are in slow start.
const MAX_DRAWS: u32 = 4;

/// Chooses among the backend servers of one service.
///
/// The caller reports each call by [`dispatched`](Self::dispatched) and then by exactly one of
/// [`answered`](Self::answered), [`failed`](Self::failed),
/// [`refused_as_full`](Self::refused_as_full) and [`cancelled`](Self::cancelled). Unknown names are
/// ignored.
#[derive(Debug)]
pub struct Balancer {
    cfg: BalancerBuilder,
    /// Ordered by name.
    states: Vec<EndpointState>,
    /// Indices into `states` of the current candidates; kept to avoid an allocation per request.
    candidates: Vec<usize>,
    /// Names of data centres; endpoints refer to them by index, and index 0 is the own one.
    data_centres: Vec<DataCentre>,
    scratch: Scratch,
    turn: usize,
    free_slot_odds: FreeSlotOdds,
}

impl Balancer {
    /// Returns a builder with the default settings.
    #[must_use]
    pub fn builder() -> BalancerBuilder {
        BalancerBuilder::default()
    }

    pub(super) fn new(cfg: BalancerBuilder) -> Self {
        Self {
            data_centres: vec![cfg.data_centre.clone()],
            cfg,
            states: Vec::new(),
            candidates: Vec::new(),
            scratch: Scratch::default(),
            turn: 0,
            free_slot_odds: FreeSlotOdds::default(),
        }
    }

    /// Replaces the set of endpoints that can serve calls.
    ///
    /// Observations about endpoints that stay are kept. New endpoints and those that return begin with
    /// a slow start.
    pub fn update(&mut self, endpoints: &[Endpoint], now: Duration) {
        for state in &mut self.states {
            if state.present {
                state.absent_since = now;
            }
        }
        let was_present: Vec<bool> = self.states.iter().map(|s| s.present).collect();
        for state in &mut self.states {
            state.present = false;
        }
        let known = self.states.len();
        for endpoint in endpoints {
            let data_centre = intern(&mut self.data_centres, &endpoint.data_centre);
            let found = self.states[..known]
                .binary_search_by(|state| (*state.name).cmp(endpoint.name.as_str()));
            match found {
                Ok(index) => {
                    refresh(&mut self.states[index], endpoint, data_centre, was_present[index], now)
                }
                Err(_) => self.states.push(EndpointState::new(endpoint, data_centre, now)),
            }
        }
        self.states.retain(|state| is_kept(state, now));
        self.states.sort_by(|a, b| a.name.cmp(&b.name));
        self.states.dedup_by(|a, b| a.name == b.name);
        outlier::enforce_limit(&mut self.states, now, &self.cfg);
    }

    /// Sets the duration of the slow start when the configuration changes.
    pub fn set_slow_start(&mut self, time: Duration) {
        self.cfg.slow_start = time;
    }

    /// Chooses a backend server for a call; `exclude` lists those that the call must not use.
    ///
    /// An ejected endpoint is chosen only when there is no other. Excluded, absent and disabled
    /// endpoints, and those that just refused a connection, are never chosen.
    pub fn choose(&mut self, now: Duration, random: u64, exclude: &[&str]) -> Option<Arc<str>> {
        if self.cfg.round_robin {
            return self.next_in_turn(now, exclude);
        }
        self.collect_candidates(now, exclude);
        let (first, second) = self.draw_two(now, random)?;
        let score = |index: usize| self.states[index].score(now, &self.cfg);
        let index = if first != second && score(second) < score(first) { second } else { first };
        Some(Arc::clone(&self.states[index].name))
    }

    fn next_in_turn(&mut self, now: Duration, exclude: &[&str]) -> Option<Arc<str>> {
        self.collect(|s| s.is_usable(now) && !exclude.contains(&&*s.name));
        self.turn = self.turn.wrapping_add(1);
        let turn = self.turn.checked_rem(self.candidates.len())?;
        Some(Arc::clone(&self.states[self.candidates[turn]].name))
    }

    /// Records that a call was sent.
    pub fn dispatched(&mut self, name: &str, _now: Duration) {
        if let Some(index) = self.find(name) {
            self.states[index].outstanding += 1;
        }
    }

    /// Records the response to a call, with its latency and the load report that it carried.
    pub fn answered(
        &mut self,
        name: &str,
        now: Duration,
        latency: Duration,
        report: Option<LoadReport>,
    ) {
        let Some(index) = self.find(name) else { return };
        let state = &mut self.states[index];
        state.outstanding = state.outstanding.saturating_sub(1);
        state.succeeded();
        if let Some(report) = report {
            state.report(report, now);
        }
        outlier::record_latency(state, latency, now);
        let ln_slowness = outlier::ln_slowness(&self.states, index, &mut self.scratch);
        self.states[index].latency.ln_slowness = ln_slowness;
        outlier::update_ejection(&mut self.states, index, now, &self.cfg);
    }

    /// Records that a call ended without a usable response.
    pub fn failed(&mut self, name: &str, now: Duration, failure: Failure) {
        if let Some(index) = self.find(name) {
            let state = &mut self.states[index];
            state.outstanding = state.outstanding.saturating_sub(1);
            state.failed(failure, now, self.cfg.report_half_life);
        }
    }

    /// Records that an endpoint refused a call for lack of a free slot, with the load that it reported.
    pub fn refused_as_full(&mut self, name: &str, now: Duration, report: LoadReport) {
        if let Some(index) = self.find(name) {
            let state = &mut self.states[index];
            state.outstanding = state.outstanding.saturating_sub(1);
            state.report(report, now);
        }
    }

    /// Number of endpoints that a request tries for a free slot before it waits; `random` is from 0 to
    /// 1.
    #[must_use]
    pub fn free_slot_attempts(&self, now: Duration, random: f64) -> u32 {
        if self.cfg.round_robin {
            return 0;
        }
        self.free_slot_odds.free_slot_attempts(
            self.states.iter().filter(|state| state.is_usable(now)).count(),
            random,
        )
    }

    /// Records whether an attempt that followed a full endpoint found a free slot.
    pub fn record_further_attempt(&mut self, found: bool) {
        self.free_slot_odds.observe(found);
    }

    /// Records that the host daemon of an endpoint does not answer. Calls already sent to it stay
    /// outstanding.
    pub fn mark_unreachable(&mut self, name: &str, now: Duration) {
        if let Some(index) = self.find(name) {
            self.states[index].back_off(now);
        }
    }

    /// Avoids the endpoints of another data centre until `until`, as they cannot be reached; a time that
    /// has passed ends this. They are chosen only when there are no others.
    pub fn avoid_data_centre(&mut self, data_centre: &str, until: Duration) {
        let Some(index) = self.data_centres.iter().position(|known| known == data_centre) else {
            return;
        };
        let states = self.states.iter_mut().filter(|s| s.data_centre == index && !s.local);
        states.for_each(|state| state.avoided_until = until);
    }

    /// Records that this daemon cancelled a call, such as the slower one of a hedged pair.
    pub fn cancelled(&mut self, name: &str) {
        if let Some(index) = self.find(name) {
            let state = &mut self.states[index];
            state.outstanding = state.outstanding.saturating_sub(1);
        }
    }

    /// Whether the endpoint is present and in the own data centre.
    #[must_use]
    pub fn is_local(&self, name: &str) -> bool {
        self.find(name).is_some_and(|index| self.states[index].present && self.states[index].local)
    }

    /// Whether the endpoint is among those that can serve calls.
    #[must_use]
    pub fn is_present(&self, name: &str) -> bool {
        self.find(name).is_some_and(|index| self.states[index].present)
    }

    /// Whether the endpoint is ejected.
    #[must_use]
    pub fn is_ejected(&self, name: &str, now: Duration) -> bool {
        self.find(name).is_some_and(|index| self.states[index].is_ejected(now))
    }

    /// Number of calls to the endpoint without a response yet.
    #[must_use]
    pub fn outstanding(&self, name: &str) -> u32 {
        self.find(name).map_or(0, |index| self.states[index].outstanding)
    }

    /// Current slowness of the endpoint, 1 for the median; decays towards 1 with the age of its last
    /// answer.
    #[must_use]
    pub fn slowness(&self, name: &str, now: Duration) -> f64 {
        self.find(name).map_or(1.0, |index| self.states[index].slowness(now))
    }

    fn find(&self, name: &str) -> Option<usize> {
        self.states.binary_search_by(|state| (*state.name).cmp(name)).ok()
    }

    /// Fills `candidates` from the first of these that has any: the own data centre, all data centres
    /// that are not avoided, all data centres, ejected endpoints. While all of the own data centre are
    /// overloaded, less loaded endpoints of others replace them.
    fn collect_candidates(&mut self, now: Duration, exclude: &[&str]) {
        let is_eligible = |s: &EndpointState| s.is_usable(now) && !exclude.contains(&&*s.name);
        self.collect(|s| s.local && is_eligible(s) && !s.is_ejected(now));
        if self.candidates.is_empty() {
            self.collect(|s| is_eligible(s) && !s.is_ejected(now) && now >= s.avoided_until);
        } else if let Some(own) = self.best_load_if_overloaded(now) {
            self.spill(own, now, is_eligible);
        }
        if self.candidates.is_empty() {
            self.collect(|s| is_eligible(s) && !s.is_ejected(now));
        }
        if self.candidates.is_empty() {
            self.collect(is_eligible);
        }
    }

    fn collect(&mut self, of: impl Fn(&EndpointState) -> bool) {
        self.candidates.clear();
        let matching = self.states.iter().enumerate().filter(|(_, s)| of(s));
        self.candidates.extend(matching.map(|(index, _)| index));
    }

    /// Lowest load among the candidates if all are over the spill threshold.
    fn best_load_if_overloaded(&self, now: Duration) -> Option<f64> {
        let mut best = f64::INFINITY;
        for &index in &self.candidates {
            let load = self.states[index].load(now, &self.cfg);
            if load <= self.cfg.spill_load {
                return None;
            }
            best = best.min(load);
        }
        Some(best)
    }

    /// Replaces the candidates by the endpoints of other data centres whose load is at most
    /// `spill_ratio` of `own`, if there are any.
    fn spill(&mut self, own: f64, now: Duration, is_eligible: impl Fn(&EndpointState) -> bool) {
        let limit = own * self.cfg.spill_ratio;
        let fits = |s: &EndpointState| {
            !s.local
                && is_eligible(s)
                && !s.is_ejected(now)
                && now >= s.avoided_until
                && s.load(now, &self.cfg) <= limit
        };
        let own_count = self.candidates.len();
        let matching = self.states.iter().enumerate().filter(|(_, s)| fits(s));
        self.candidates.extend(matching.map(|(index, _)| index));
        if self.candidates.len() > own_count {
            self.candidates.drain(..own_count);
        }
    }

    /// Draws two candidates, distinct when there is more than one.
    fn draw_two(&self, now: Duration, random: u64) -> Option<(usize, usize)> {
        let len = self.candidates.len() as u64;
        if len == 0 {
            return None;
        }
        let mut bits = SplitMix64(random);
        let first = self.draw(&mut bits, now);
        if len == 1 {
            return Some((first, first));
        }
        let mut second = self.draw(&mut bits, now);
        if second == first {
            let at = self.candidates.iter().position(|&c| c == first).unwrap_or(0) as u64;
            let other = (at + 1 + bits.below(len - 1)) % len;
            second = self.candidates[other as usize];
        }
        Some((first, second))
    }

    /// Draws one candidate. One in slow start is accepted with a probability equal to its share, and
    /// otherwise drawn again: if the score alone decided among idle endpoints, it would get all calls
    /// or none.
    fn draw(&self, bits: &mut SplitMix64, now: Duration) -> usize {
        let len = self.candidates.len() as u64;
        let mut drawn = self.candidates[bits.below(len) as usize];
        for _ in 1..MAX_DRAWS {
            let slow_start_share = self.states[drawn].slow_start_share(now, self.cfg.slow_start);
            if slow_start_share >= 1.0 || bits.fraction() < slow_start_share {
                break;
            }
            drawn = self.candidates[bits.below(len) as usize];
        }
        drawn
    }
}

/// SplitMix64 generator: independent draws from the one random number of a call.
struct SplitMix64(u64);

impl SplitMix64 {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number below `limit`, which must be below 2^32.
    fn below(&mut self, limit: u64) -> u64 {
        ((self.next() >> 32) * limit) >> 32
    }

    /// A number from 0 to 1, exclusive of 1.
    fn fraction(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Returns the index of a data centre and adds it if it is new. There are few, so none is removed.
fn intern(data_centres: &mut Vec<DataCentre>, name: &str) -> usize {
    let found = data_centres.iter().position(|other| other == name);
    found.unwrap_or_else(|| {
        data_centres.push(name.to_owned());
        data_centres.len() - 1
    })
}

/// Applies the current description of a known endpoint.
fn refresh(
    state: &mut EndpointState,
    endpoint: &Endpoint,
    data_centre: usize,
    was_present: bool,
    now: Duration,
) {
    state.data_centre = data_centre;
    state.local = data_centre == 0;
    state.slots = f64::from(endpoint.slots.max(1));
    state.enabled = endpoint.enabled;
    if !was_present {
        state.slow_start_at = now;
    }
    state.present = true;
}

fn is_kept(state: &EndpointState, now: Duration) -> bool {
    let absent = now.saturating_sub(state.absent_since);
    state.present
        || absent < ABSENT_RETENTION
        || (state.outstanding > 0 && absent < MAX_ABSENT_RETENTION)
}
