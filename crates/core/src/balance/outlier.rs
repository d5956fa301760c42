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
    latency.answered_at = now;
}

/// Logarithm of the slowness of `states[index]` against the median of the measured members.
pub(super) fn ln_slowness(states: &[State], index: usize, scratch: &mut Vec<f64>) -> f64 {
    let base = floor(states, |state| state.local)
        .or_else(|| floor(states, |_| true))
        .unwrap_or(0.0);
    scratch.clear();
    scratch.extend(
        states
            .iter()
            .filter(|state| state.present)
            .filter_map(|state| without_distance(states, state, base)),
    );
    let Some(own) = without_distance(states, &states[index], base) else {
        return 0.0;
    };
    if scratch.is_empty() {
        return 0.0;
    }
    // The lower median: when half of the members are slow, the fast half is the standard.
    let middle = (scratch.len() - 1) / 2;
    let (_, median, _) = scratch.select_nth_unstable_by(middle, f64::total_cmp);
    (own / *median).ln()
}

/// Smallest recent latency among the endpoints that `of` selects.
fn floor(states: &[State], of: impl Fn(&State) -> bool) -> Option<f64> {
    states
        .iter()
        .filter(|state| state.present && state.latency.ln.is_some() && of(state))
        .map(|state| state.latency.fastest)
        .min_by(f64::total_cmp)
}

/// Smoothed latency in seconds without the additional distance of the endpoint's data centre.
fn without_distance(states: &[State], state: &State, base: f64) -> Option<f64> {
    let secs = state.latency.ln?.exp();
    if state.local {
        return Some(secs);
    }
    let floor = floor(states, |other| other.data_centre == state.data_centre).unwrap_or(base);
    Some((secs - (floor - base).max(0.0)).max(MIN_LATENCY))
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
    let time = cfg
        .eject_min
        .saturating_mul(1 << state.ejection.level.min(20))
        .min(cfg.eject_max);
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
    states
        .iter()
        .filter(|s| s.present && s.enabled && s.is_ejected(now))
        .count()
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
