//! Estimate of the time until a request would start.

use super::routes::RunTime;
use crate::config::Class;

/// Smoothed run times per class.
#[derive(Debug, Default)]
pub(super) struct RunTimes {
    by_class: [RunTime; 4],
}

impl RunTimes {
    pub fn of(&mut self, class: Class) -> &mut RunTime {
        &mut self.by_class[class as usize]
    }

    pub fn secs(&self, class: Class) -> f64 {
        self.by_class[class as usize].secs()
    }
}

/// Seconds until `lanes` busy slots have taken the work `ahead` and one more is free, with `running`
/// as the run times of the requests that hold them. A run time that is not known counts as 0, so that
/// nothing is refused on a guess.
pub(super) fn wait_secs(
    running: impl Iterator<Item = f64>,
    ahead: impl Iterator<Item = f64>,
    lanes: u32,
) -> f64 {
    let (count, total) =
        running.fold((0_u32, 0.0), |(count, total), secs| (count + 1, total + secs));
    let residual = if count == 0 { 0.0 } else { total / f64::from(count) };
    let queued: f64 = ahead.sum();
    (residual + queued) / f64::from(lanes.max(1))
}
