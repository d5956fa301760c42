//! Detection and ejection of slow endpoints.
//!
//! Latency contains the network. An endpoint in a distant data centre is not slow, so the distance,
//! taken from the smallest recent latencies, is subtracted before endpoints are compared.

use std::time::Duration;

use super::builder::BalancerBuilder;
use super::endpoint::State;

/// Weight of a new answer in the smoothed latency.
const SMOOTHING: f64 = 0.125;
/// Growth of the smallest latency per answer, so that it follows a lasting change.
const FASTEST_GROWTH: f64 = 1.001;
/// Latencies below this (in seconds) count as equal; ratios of such short times are noise.
const MIN_LATENCY: f64 = 0.000_1;

/// Takes a latency into the smoothed one of `state`.
pub(super) fn observe(state: &mut State, latency: Duration, now: Duration) {
    // A call sent before the end of an ejection says nothing about the time after it.
    if now.saturating_sub(latency) < state.ejection.until {
        return;
    }
    let secs = latency.as_secs_f64().max(MIN_LATENCY);
    let latency = &mut state.latency;
    match latency.ln {
        Some(ln) => {
            latency.ln = Some(ln + SMOOTHING * (secs.ln() - ln));
            latency.fastest = (latency.fastest * FASTEST_GROWTH).min(secs);
        }
        None => {
            latency.ln = Some(secs.ln());
            if latency.fastest == 0.0 || secs < latency.fastest {
                latency.fastest = secs;
            }
        }
    }
    latency.secs = latency.ln.map_or(0.0, f64::exp);
    latency.answered_at = now;
}

/// Buffers that are kept between calls to avoid an allocation per answer.
#[derive(Debug, Default)]
pub(super) struct Scratch {
    /// Smallest recent latency per data centre.
    floors: Vec<f64>,
    latencies: Vec<f64>,
}

impl Scratch {
    fn fill(&mut self, states: &[State]) {
        self.floors.clear();
        for state in measured(states) {
            if self.floors.len() <= state.data_centre {
                self.floors.resize(state.data_centre + 1, f64::INFINITY);
            }
            let floor = &mut self.floors[state.data_centre];
            *floor = floor.min(state.latency.fastest);
        }
        let base = self.base();
        self.latencies.clear();
        for state in measured(states) {
            let floor = self.floors[state.data_centre];
            self.latencies.push(without_distance(state, floor - base));
        }
    }

    /// Smallest recent latency in the own data centre, or in any when the own one has none.
    fn base(&self) -> f64 {
        match self.floors.first() {
            Some(own) if own.is_finite() => *own,
            _ => self.floors.iter().copied().fold(f64::INFINITY, f64::min),
        }
    }

    /// The lower median: when half of the members are slow, the fast half is the standard.
    fn median(&mut self) -> f64 {
        let middle = (self.latencies.len() - 1) / 2;
        *self.latencies.select_nth_unstable_by(middle, f64::total_cmp).1
    }
}

fn measured(states: &[State]) -> impl Iterator<Item = &State> {
    states.iter().filter(|state| state.present && state.latency.ln.is_some())
}

/// Smoothed latency in seconds without the additional distance of the endpoint's data centre.
fn without_distance(state: &State, distance: f64) -> f64 {
    if state.local {
        return state.latency.secs;
    }
    (state.latency.secs - distance.max(0.0)).max(MIN_LATENCY)
}

/// Logarithm of the slowness of `states[index]` against the median of the measured members.
pub(super) fn ln_slowness(states: &[State], index: usize, scratch: &mut Scratch) -> f64 {
    let state = &states[index];
    if !state.present || state.latency.ln.is_none() {
        return 0.0;
    }
    scratch.fill(states);
    let distance = scratch.floors[state.data_centre] - scratch.base();
    (without_distance(state, distance) / scratch.median()).ln()
}

/// Counts an answer towards ejection and ejects when the rules say so.
pub(super) fn judge(states: &mut [State], index: usize, now: Duration, cfg: &BalancerBuilder) {
    let state = &mut states[index];
    if state.is_ejected(now) {
        return;
    }
    if state.latency.ln_slowness <= cfg.eject_slowness.ln() {
        state.ejection.over = 0;
        if now.saturating_sub(state.ejection.until) > cfg.eject_max {
            state.ejection.level = 0;
        }
        return;
    }
    state.ejection.over += 1;
    if state.ejection.over >= cfg.eject_answers && has_room(states, now, cfg) {
        eject(&mut states[index], now, cfg);
    }
}

fn eject(state: &mut State, now: Duration, cfg: &BalancerBuilder) {
    let time = cfg.eject_min.saturating_mul(1 << state.ejection.level.min(20)).min(cfg.eject_max);
    state.ejection.until = now + time;
    state.ejection.level += 1;
    state.ejection.over = 0;
    // It returns unmeasured and with a slow start, so that old answers neither eject it again nor
    // keep it from being tried.
    state.latency.ln = None;
    state.latency.ln_slowness = 0.0;
    state.ramp_from = state.ejection.until;
}

/// Most endpoints that may be ejected at once.
fn limit(states: &[State], cfg: &BalancerBuilder) -> usize {
    let members = states.iter().filter(|s| s.present && s.enabled).count();
    // The small addition keeps 3 * (1 / 3) from being rounded down to 0.
    (members as f64 * cfg.max_ejected_share + 1e-9) as usize
}

fn ejected(states: &[State], now: Duration) -> usize {
    states.iter().filter(|s| s.present && s.enabled && s.is_ejected(now)).count()
}

fn has_room(states: &[State], now: Duration, cfg: &BalancerBuilder) -> bool {
    ejected(states, now) < limit(states, cfg)
}

/// Ends ejections, those that end first anyway first, until no more than the limit remain.
pub(super) fn enforce_limit(states: &mut [State], now: Duration, cfg: &BalancerBuilder) {
    let mut surplus = ejected(states, now).saturating_sub(limit(states, cfg));
    while surplus > 0 {
        let next = states
            .iter_mut()
            .filter(|s| s.present && s.enabled && s.is_ejected(now))
            .min_by_key(|s| s.ejection.until);
        if let Some(state) = next {
            state.ejection.until = now;
            state.ramp_from = now;
        }
        surplus -= 1;
    }
}
