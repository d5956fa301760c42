//! State of one endpoint as seen by this daemon.

use std::sync::Arc;
use std::time::Duration;

use super::builder::BalancerBuilder;
use crate::id::{BackendServerName, DataCentre};

/// Load reports older than this are ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// How long an endpoint is unusable after its first refused connection; doubles with each further one.
const BACKOFF_MIN: Duration = Duration::from_millis(50);
/// Longest back-off. Short, because the membership protocol removes dead members within seconds.
const BACKOFF_MAX: Duration = Duration::from_secs(1);
/// Lost responses in a row that count as a refused connection. A single loss may concern only one
/// connection.
const MAX_CONSECUTIVE_LOSSES: u32 = 3;
/// Share with which an endpoint begins its slow start; without calls it would never be measured.
const MIN_SLOW_START_SHARE: f64 = 0.1;
/// Time in which the logarithm of the slowness halves without new answers. Without this decay a
/// recovered endpoint would never be tried again, because it gets no calls that could show it.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Lower bound of the slowness in the score, so that an endpoint that fails fast does not attract all
/// calls.
const MIN_SLOWNESS: f64 = 0.5;

/// A backend server that can serve calls, as membership and configuration describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Name, unique in the service.
    pub name: BackendServerName,
    /// Data centre of the backend server.
    pub data_centre: DataCentre,
    /// Number of requests that the backend server runs at once; 0 counts as 1.
    pub slots: u32,
    /// Whether the configuration permits new calls.
    pub enabled: bool,
}

/// Load of a backend server as reported by its host daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadReport {
    /// Requests that hold a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
}

/// How a call ended without a usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Failure {
    /// The connection was refused, so the request did not run.
    Refused,
    /// The host daemon refused the request because it was overloaded.
    Overloaded,
    /// The connection broke or the deadline passed after the call was sent.
    Lost,
}

/// What this daemon has observed about an endpoint.
#[derive(Debug)]
pub(super) struct EndpointState {
    pub name: Arc<str>,
    /// Index in the balancer's list of data centres.
    pub data_centre: usize,
    pub local: bool,
    pub slots: f64,
    pub present: bool,
    pub enabled: bool,
    /// When the endpoint became absent.
    pub absent_since: Duration,
    /// Calls that this daemon sent and that have no response yet.
    pub outstanding: u32,
    /// When the slow start began or will begin.
    pub slow_start_at: Duration,
    reported_load: f64,
    reported_at: Option<Duration>,
    unusable_until: Duration,
    /// Until when the data centre of the endpoint counts as unreachable.
    pub avoided_until: Duration,
    consecutive_refusals: u32,
    consecutive_losses: u32,
    pub latency: Latency,
    pub ejection: Ejection,
}

/// Smoothed latency of an endpoint.
#[derive(Debug, Default)]
pub(super) struct Latency {
    /// Smoothed natural logarithm of the latency in seconds. The logarithm keeps one long request
    /// from making its endpoint look slow.
    pub ln: Option<f64>,
    /// The smoothed latency in seconds; valid while `ln` is known.
    pub secs: f64,
    pub answered_at: Duration,
    /// Smallest recent latency in seconds, a measure of the network distance.
    pub fastest: f64,
    /// Logarithm of the slowness at the last answer; 0 for the median.
    pub ln_slowness: f64,
}

/// Ejection state of an endpoint.
#[derive(Debug, Default)]
pub(super) struct Ejection {
    pub until: Duration,
    /// Number of ejections without a long healthy time between them; each doubles the next one.
    pub level: u32,
    /// Answers in a row with a slowness over the threshold.
    pub slow_answers: u32,
}

impl EndpointState {
    pub fn new(endpoint: &Endpoint, data_centre: usize, now: Duration) -> Self {
        Self {
            name: endpoint.name.as_str().into(),
            data_centre,
            local: data_centre == 0,
            slots: f64::from(endpoint.slots.max(1)),
            present: true,
            enabled: endpoint.enabled,
            absent_since: now,
            outstanding: 0,
            slow_start_at: now,
            reported_load: 0.0,
            reported_at: None,
            unusable_until: Duration::ZERO,
            avoided_until: Duration::ZERO,
            consecutive_refusals: 0,
            consecutive_losses: 0,
            latency: Latency::default(),
            ejection: Ejection::default(),
        }
    }

    /// Whether the endpoint may be chosen if it is not ejected.
    pub fn is_usable(&self, now: Duration) -> bool {
        self.present && self.enabled && now >= self.unusable_until
    }

    pub fn is_ejected(&self, now: Duration) -> bool {
        now < self.ejection.until
    }

    /// Requests in the last load report, decayed by its age.
    fn decayed_report(&self, now: Duration, half_life: Duration) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_sub(at);
        if self.reported_load == 0.0 || age > REPORT_MAX_AGE {
            return 0.0;
        }
        self.reported_load * decay_factor(age, half_life)
    }

    /// Known load, as requests per slot. The larger of report and own calls, not their sum, because a
    /// current report contains the own calls.
    pub fn load(&self, now: Duration, cfg: &BalancerBuilder) -> f64 {
        let reported = self.decayed_report(now, cfg.report_half_life);
        reported.max(f64::from(self.outstanding)) / self.slots
    }

    /// Share of its full weight that the endpoint gets during slow start, up to 1.
    pub fn slow_start_share(&self, now: Duration, slow_start: Duration) -> f64 {
        let age = now.saturating_sub(self.slow_start_at);
        if age >= slow_start {
            return 1.0;
        }
        (age.as_secs_f64() / slow_start.as_secs_f64()).max(MIN_SLOW_START_SHARE)
    }

    /// Slowness for the score, decayed towards 1 by the age of the last answer.
    pub fn slowness(&self, now: Duration) -> f64 {
        let ln = self.latency.ln_slowness;
        if ln == 0.0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.latency.answered_at);
        (ln * decay_factor(age, SLOWNESS_HALF_LIFE)).exp().max(MIN_SLOWNESS)
    }

    /// Score; lower is better. It includes the call to be sent, since the score of an idle endpoint
    /// would otherwise be zero however slow it is.
    pub fn score(&self, now: Duration, cfg: &BalancerBuilder) -> f64 {
        let calls = f64::from(self.outstanding) + self.decayed_report(now, cfg.report_half_life);
        let effective = self.slots * self.slow_start_share(now, cfg.slow_start);
        (calls / effective + 1.0 / self.slots) * self.slowness(now)
    }

    pub fn report(&mut self, report: LoadReport, now: Duration) {
        self.reported_load = f64::from(report.running) + f64::from(report.queued);
        self.reported_at = Some(now);
    }

    /// Resets the counts of consecutive failures.
    pub fn succeeded(&mut self) {
        self.consecutive_refusals = 0;
        self.consecutive_losses = 0;
    }

    pub fn failed(&mut self, failure: Failure, now: Duration, half_life: Duration) {
        match failure {
            Failure::Refused => self.back_off(now),
            Failure::Overloaded => self.count_as_full(now, half_life),
            Failure::Lost => {
                self.count_as_full(now, half_life);
                self.consecutive_losses += 1;
                if self.consecutive_losses >= MAX_CONSECUTIVE_LOSSES {
                    self.back_off(now);
                }
            }
        }
    }

    pub fn back_off(&mut self, now: Duration) {
        // Calls that are refused during one back-off count once.
        if now < self.unusable_until {
            return;
        }
        let time = BACKOFF_MIN.saturating_mul(1 << self.consecutive_refusals.min(10));
        self.unusable_until = now + time.min(BACKOFF_MAX);
        self.consecutive_refusals += 1;
    }

    /// Assumes that all slots are taken and at least as many requests are queued.
    fn count_as_full(&mut self, now: Duration, half_life: Duration) {
        self.reported_load = self.decayed_report(now, half_life).max(2.0 * self.slots);
        self.reported_at = Some(now);
    }
}

/// `0.5^(age / half_life)`.
fn decay_factor(age: Duration, half_life: Duration) -> f64 {
    if half_life.is_zero() {
        return if age.is_zero() { 1.0 } else { 0.0 };
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
