//! Estimate of the time until a request would start.

use super::queue::Waiting;
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

    /// Seconds until `lanes` busy slots have taken the work in `ahead` and one more is free, with
    /// `running` as the classes that hold them. A run time that is not known counts as 0, so that
    /// nothing is refused on a guess.
    pub fn wait_secs<'a>(
        &self,
        running: impl Iterator<Item = Class>,
        ahead: impl Iterator<Item = &'a Waiting>,
        lanes: u32,
    ) -> f64 {
        let (count, total) = running
            .fold((0_u32, 0.0), |(count, total), class| (count + 1, total + self.secs(class)));
        let residual = if count == 0 { 0.0 } else { total / f64::from(count) };
        let queued: f64 = ahead.map(|item| self.secs(item.class)).sum();
        (residual + queued) / f64::from(lanes.max(1))
    }
}
