//! State of one endpoint as seen by this daemon.

use std::sync::Arc;
use std::time::Duration;

use super::builder::BalancerBuilder;
use crate::id::{BackendServerName, DataCentre};

/// Reports older than this are ignored.
const REPORT_MAX_AGE: Duration = Duration::from_secs(2);
/// First time for which a refused connection makes an endpoint unusable; it doubles.
const REFUSED_MIN: Duration = Duration::from_millis(50);
/// Longest such time. Short, because the membership protocol removes dead members within seconds.
const REFUSED_MAX: Duration = Duration::from_secs(1);
/// Lost responses in a row that count as a refused connection. A single one may be one connection.
const LOST_LIMIT: u32 = 3;
/// Share that a new endpoint gets at once; with none it would never be measured.
const RAMP_START: f64 = 0.1;
/// Time in which remembered slowness halves (in logarithm) without new answers. Without it an
/// endpoint that recovered would not be tried again, because it gets no calls that could show it.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_secs(2);
/// Lower bound of the slowness in the score; an endpoint that fails fast must not attract all calls.
const MIN_SLOWNESS: f64 = 0.5;

/// A backend server that is able to serve, as membership and configuration describe it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Name, unique in the service.
    pub name: BackendServerName,
    /// Data centre of the backend server.
    pub data_centre: DataCentre,
    /// Slots of the backend server; 0 counts as 1.
    pub slots: u32,
    /// Whether the records permit new calls.
    pub enabled: bool,
}

/// Load of a backend server as the daemon beside it reports it.
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
    /// The host daemon refused the request for lack of room.
    Overloaded,
    /// The connection broke or the deadline passed after dispatch.
    Lost,
}

/// Observations about an endpoint.
#[derive(Debug)]
pub(super) struct State {
    pub name: Arc<str>,
    /// Index in the balancer's list of data centres.
    pub data_centre: usize,
    pub local: bool,
    pub slots: f64,
    pub present: bool,
    pub enabled: bool,
    /// When the endpoint became absent.
    pub absent_since: Duration,
    /// Calls of this daemon without a response yet.
    pub outstanding: u32,
    /// Start of the slow start.
    pub ramp_from: Duration,
    reported: f64,
    reported_at: Option<Duration>,
    unusable_until: Duration,
    refused_in_row: u32,
    lost_in_row: u32,
    pub latency: Latency,
    pub ejection: Ejection,
}

/// Smoothed latency.
#[derive(Debug, Default)]
pub(super) struct Latency {
    /// Smoothed natural logarithm of the latency in seconds. The logarithm keeps one long job from
    /// making its endpoint look slow.
    pub ln: Option<f64>,
    /// The smoothed latency in seconds, while `ln` is known.
    pub secs: f64,
    pub answered_at: Duration,
    /// Smallest recent latency in seconds, a measure of the distance.
    pub fastest: f64,
    /// Logarithm of the slowness at the last answer.
    pub ln_slowness: f64,
}

/// Ejection of a slow endpoint.
#[derive(Debug, Default)]
pub(super) struct Ejection {
    pub until: Duration,
    /// Number of ejections without a long healthy time between.
    pub level: u32,
    /// Answers in a row over the threshold.
    pub over: u32,
}

impl State {
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
            ramp_from: now,
            reported: 0.0,
            reported_at: None,
            unusable_until: Duration::ZERO,
            refused_in_row: 0,
            lost_in_row: 0,
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

    /// Requests reported at the backend server, discounted by age.
    fn discounted_report(&self, now: Duration, half_life: Duration) -> f64 {
        let Some(at) = self.reported_at else {
            return 0.0;
        };
        let age = now.saturating_sub(at);
        if self.reported == 0.0 || age > REPORT_MAX_AGE {
            return 0.0;
        }
        self.reported * halved(age, half_life)
    }

    /// Known load in slots' worth; the own calls are part of a current report.
    pub fn load(&self, now: Duration, cfg: &BalancerBuilder) -> f64 {
        let reported = self.discounted_report(now, cfg.report_half_life);
        reported.max(f64::from(self.outstanding)) / self.slots
    }

    /// Part of the full share during slow start, up to 1.
    pub fn ramp(&self, now: Duration, slow_start: Duration) -> f64 {
        let age = now.saturating_sub(self.ramp_from);
        if age >= slow_start {
            return 1.0;
        }
        (age.as_secs_f64() / slow_start.as_secs_f64()).max(RAMP_START)
    }

    /// Slowness for the score, discounted by the age of the last answer.
    pub fn slowness(&self, now: Duration) -> f64 {
        let ln = self.latency.ln_slowness;
        if ln == 0.0 {
            return 1.0;
        }
        let age = now.saturating_sub(self.latency.answered_at);
        (ln * halved(age, SLOWNESS_HALF_LIFE)).exp().max(MIN_SLOWNESS)
    }

    /// Score; lower is better. The call to be sent counts too, as otherwise the score of an idle
    /// endpoint would be zero however slow it is.
    pub fn score(&self, now: Duration, cfg: &BalancerBuilder) -> f64 {
        let calls = f64::from(self.outstanding) + self.discounted_report(now, cfg.report_half_life);
        let effective = self.slots * self.ramp(now, cfg.slow_start);
        (calls / effective + 1.0 / self.slots) * self.slowness(now)
    }

    pub fn report(&mut self, report: LoadReport, now: Duration) {
        self.reported = f64::from(report.running) + f64::from(report.queued);
        self.reported_at = Some(now);
    }

    /// Ends the runs of failures.
    pub fn succeeded(&mut self) {
        self.refused_in_row = 0;
        self.lost_in_row = 0;
    }

    pub fn failed(&mut self, failure: Failure, now: Duration, half_life: Duration) {
        match failure {
            Failure::Refused => self.back_off(now),
            Failure::Overloaded => self.count_as_full(now, half_life),
            Failure::Lost => {
                self.count_as_full(now, half_life);
                self.lost_in_row += 1;
                if self.lost_in_row >= LOST_LIMIT {
                    self.back_off(now);
                }
            }
        }
    }

    pub fn back_off(&mut self, now: Duration) {
        // Calls that were refused together count once.
        if now < self.unusable_until {
            return;
        }
        let time = REFUSED_MIN.saturating_mul(1 << self.refused_in_row.min(10));
        self.unusable_until = now + time.min(REFUSED_MAX);
        self.refused_in_row += 1;
    }

    /// Treats the endpoint as one with all slots taken and as many requests queued.
    fn count_as_full(&mut self, now: Duration, half_life: Duration) {
        self.reported = self.discounted_report(now, half_life).max(2.0 * self.slots);
        self.reported_at = Some(now);
    }
}

/// `0.5^(age / half_life)`.
fn halved(age: Duration, half_life: Duration) -> f64 {
    if half_life.is_zero() {
        return if age.is_zero() { 1.0 } else { 0.0 };
    }
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
