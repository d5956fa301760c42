//! Estimate of the time until a queued request starts.

use super::routes::SmoothedRunTime;
use crate::config::Class;

/// Smoothed run times per class.
#[derive(Debug, Default)]
pub(super) struct ClassRunTimes {
    by_class: [SmoothedRunTime; 4],
}

impl ClassRunTimes {
    pub fn get_mut(&mut self, class: Class) -> &mut SmoothedRunTime {
        &mut self.by_class[class as usize]
    }

    /// Smoothed run time in seconds; 0 before the first observation.
    pub fn secs(&self, class: Class) -> f64 {
        self.by_class[class as usize].secs()
    }
}

/// Estimated seconds until a request gets one of `slots` busy slots after the requests before it.
///
/// `running` and `ahead` are the expected run times in seconds of the requests that hold the slots and
/// of those that start earlier. A run time that is not known counts as 0, so that no request is refused
/// on a guess.
pub(super) fn wait_secs(
    running: impl Iterator<Item = f64>,
    ahead: impl Iterator<Item = f64>,
    slots: u32,
) -> f64 {
    let (count, total) =
        running.fold((0_u32, 0.0), |(count, total), secs| (count + 1, total + secs));
    let residual = if count == 0 { 0.0 } else { total / f64::from(count) };
    let queued: f64 = ahead.sum();
    (residual + queued) / f64::from(slots.max(1))
}
