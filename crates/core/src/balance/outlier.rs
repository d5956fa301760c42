//! Detection and ejection of slow endpoints.
//!
//! A measured latency includes the network. An endpoint in a distant data centre is not slow, so the
//! network distance, estimated from the smallest recent latencies, is subtracted before endpoints are
//! compared.

use std::time::Duration;

use super::builder::BalancerBuilder;
use super::endpoint::EndpointState;

/// Weight of a new answer in the smoothed latency.
const SMOOTHING: f64 = 0.125;
/// Factor by which the smallest latency grows per answer, so that it follows a lasting increase.
const FASTEST_GROWTH: f64 = 1.001;
/// Shortest latency in seconds; shorter ones count as this, because their ratios are noise.
const MIN_LATENCY: f64 = 0.000_1;

/// Adds a measured latency to the smoothed latency of `state`.
pub(super) fn record_latency(state: &mut EndpointState, latency: Duration, now: Duration) {
    // A call that was sent before the ejection ended says nothing about the time after it.
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
    /// Smallest recent latency in seconds, by index of the data centre.
    fastest_by_data_centre: Vec<f64>,
    latencies: Vec<f64>,
}

impl Scratch {
    fn fill(&mut self, states: &[EndpointState]) {
        self.fastest_by_data_centre.clear();
        for state in measured(states) {
            if self.fastest_by_data_centre.len() <= state.data_centre {
                self.fastest_by_data_centre.resize(state.data_centre + 1, f64::INFINITY);
            }
            let fastest_in_data_centre = &mut self.fastest_by_data_centre[state.data_centre];
            *fastest_in_data_centre = fastest_in_data_centre.min(state.latency.fastest);
        }
        let base = self.base();
        self.latencies.clear();
        for state in measured(states) {
            let fastest_in_data_centre = self.fastest_by_data_centre[state.data_centre];
            self.latencies.push(latency_without_distance(state, fastest_in_data_centre - base));
        }
    }

    /// Smallest recent latency in the own data centre, or in all when the own one has no measurement.
    fn base(&self) -> f64 {
        match self.fastest_by_data_centre.first() {
            Some(own) if own.is_finite() => *own,
            _ => self.fastest_by_data_centre.iter().copied().fold(f64::INFINITY, f64::min),
        }
    }

    /// The lower median, so that the fast half is the reference when half of the endpoints are slow.
    fn median(&mut self) -> f64 {
        let middle = (self.latencies.len() - 1) / 2;
        *self.latencies.select_nth_unstable_by(middle, f64::total_cmp).1
    }
}

fn measured(states: &[EndpointState]) -> impl Iterator<Item = &EndpointState> {
    states.iter().filter(|state| state.present && state.latency.ln.is_some())
}

/// Smoothed latency in seconds without the additional network distance to the endpoint's data centre.
fn latency_without_distance(state: &EndpointState, distance: f64) -> f64 {
    if state.local {
        return state.latency.secs;
    }
    (state.latency.secs - distance.max(0.0)).max(MIN_LATENCY)
}

/// Logarithm of the slowness of `states[index]`: its latency divided by the median of the measured
/// endpoints, both without distance.
pub(super) fn ln_slowness(states: &[EndpointState], index: usize, scratch: &mut Scratch) -> f64 {
    let state = &states[index];
    if !state.present || state.latency.ln.is_none() {
        return 0.0;
    }
    scratch.fill(states);
    let distance = scratch.fastest_by_data_centre[state.data_centre] - scratch.base();
    (latency_without_distance(state, distance) / scratch.median()).ln()
}

/// Counts an answer as slow or not, and ejects the endpoint after enough slow ones in a row if the
/// limit permits.
pub(super) fn update_ejection(
    states: &mut [EndpointState],
    index: usize,
    now: Duration,
    cfg: &BalancerBuilder,
) {
    let state = &mut states[index];
    if state.is_ejected(now) {
        return;
    }
    if state.latency.ln_slowness <= cfg.eject_slowness.ln() {
        state.ejection.slow_answers = 0;
        if now.saturating_sub(state.ejection.until) > cfg.eject_max {
            state.ejection.level = 0;
        }
        return;
    }
    state.ejection.slow_answers += 1;
    if state.ejection.slow_answers >= cfg.eject_after_answers && may_eject_more(states, now, cfg) {
        eject(&mut states[index], now, cfg);
    }
}

fn eject(state: &mut EndpointState, now: Duration, cfg: &BalancerBuilder) {
    let time = cfg.eject_min.saturating_mul(1 << state.ejection.level.min(20)).min(cfg.eject_max);
    state.ejection.until = now + time;
    state.ejection.level += 1;
    state.ejection.slow_answers = 0;
    // After the ejection the endpoint has no measured latency and begins with a slow start, so that
    // old answers neither eject it again nor keep it from being chosen.
    state.latency.ln = None;
    state.latency.ln_slowness = 0.0;
    state.slow_start_at = state.ejection.until;
}

/// Most endpoints that may be ejected at once.
fn max_ejected(states: &[EndpointState], cfg: &BalancerBuilder) -> usize {
    let members = states.iter().filter(|s| s.present && s.enabled).count();
    // The small addition keeps 3 * (1 / 3) from being rounded down to 0.
    (members as f64 * cfg.max_ejected_share + 1e-9) as usize
}

fn ejected_count(states: &[EndpointState], now: Duration) -> usize {
    states.iter().filter(|s| s.present && s.enabled && s.is_ejected(now)).count()
}

fn may_eject_more(states: &[EndpointState], now: Duration, cfg: &BalancerBuilder) -> bool {
    ejected_count(states, now) < max_ejected(states, cfg)
}

/// Ends the ejections over the limit, beginning with those that would end first.
pub(super) fn enforce_limit(states: &mut [EndpointState], now: Duration, cfg: &BalancerBuilder) {
    let mut surplus = ejected_count(states, now).saturating_sub(max_ejected(states, cfg));
    while surplus > 0 {
        let next = states
            .iter_mut()
            .filter(|s| s.present && s.enabled && s.is_ejected(now))
            .min_by_key(|s| s.ejection.until);
        if let Some(state) = next {
            state.ejection.until = now;
            state.slow_start_at = now;
        }
        surplus -= 1;
    }
}
