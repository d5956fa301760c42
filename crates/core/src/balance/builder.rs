//! Settings of a balancer.

use std::time::Duration;

use super::balancer::Balancer;
use crate::id::DataCentre;

/// Settings of a [`Balancer`]; starts with the defaults.
#[derive(Debug, Clone)]
pub struct BalancerBuilder {
    pub(super) data_centre: DataCentre,
    pub(super) slow_start: Duration,
    pub(super) eject_slowness: f64,
    pub(super) eject_after_answers: u32,
    pub(super) eject_min: Duration,
    pub(super) eject_max: Duration,
    pub(super) max_ejected_share: f64,
    pub(super) report_half_life: Duration,
    pub(super) spill_load: f64,
    pub(super) spill_ratio: f64,
    pub(super) round_robin: bool,
}

impl Default for BalancerBuilder {
    fn default() -> Self {
        Self {
            data_centre: DataCentre::new(),
            slow_start: Duration::from_secs(5),
            eject_slowness: 2.5,
            eject_after_answers: 8,
            eject_min: Duration::from_secs(1),
            eject_max: Duration::from_secs(30),
            max_ejected_share: 1.0 / 3.0,
            report_half_life: Duration::from_millis(500),
            spill_load: 0.8,
            spill_ratio: 0.5,
            round_robin: false,
        }
    }
}

impl BalancerBuilder {
    /// Own data centre; its backend servers are preferred.
    #[must_use]
    pub fn data_centre(mut self, name: impl Into<DataCentre>) -> Self {
        self.data_centre = name.into();
        self
    }

    /// Time in which the share of a new backend server rises to the full one; zero turns this off.
    #[must_use]
    pub fn slow_start(mut self, time: Duration) -> Self {
        self.slow_start = time;
        self
    }

    /// Slowness above which an answer counts as slow, and how many slow answers in a row eject.
    #[must_use]
    pub fn eject_after(mut self, slowness: f64, answers: u32) -> Self {
        self.eject_slowness = slowness;
        self.eject_after_answers = answers;
        self
    }

    /// Duration of the first ejection, and the limit to which it doubles.
    #[must_use]
    pub fn eject_time(mut self, min: Duration, max: Duration) -> Self {
        self.eject_min = min;
        self.eject_max = max.max(min);
        self
    }

    /// Largest share of the backend servers that may be ejected at once, 0 to 1.
    #[must_use]
    pub fn max_ejected_share(mut self, share: f64) -> Self {
        self.max_ejected_share = share;
        self
    }

    /// Time in which the weight of a load report halves.
    #[must_use]
    pub fn report_half_life(mut self, time: Duration) -> Self {
        self.report_half_life = time;
        self
    }

    /// Sends calls to other data centres when even the least loaded backend server of the own one has
    /// more than `load`; only those with at most `ratio` of its load are used.
    #[must_use]
    pub fn spill(mut self, load: f64, ratio: f64) -> Self {
        self.spill_load = load;
        self.spill_ratio = ratio;
        self
    }

    /// Whether usable endpoints are chosen in turn, regardless of data centre, load and latency. This
    /// is the baseline for measurements.
    #[must_use]
    pub fn round_robin(mut self, on: bool) -> Self {
        self.round_robin = on;
        self
    }

    /// Builds a balancer without endpoints.
    #[must_use]
    pub fn build(self) -> Balancer {
        Balancer::new(self)
    }
}
