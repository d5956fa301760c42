//! Delay of short messages on a link.

use std::time::Duration;

/// Part by which the usual time grows in a second, so that one message that was quick by chance does not count for good.
const GROWTH_PER_SEC: f64 = 0.01;

/// Delay where messages were lost and none was answered.
const LOST_DELAY: Duration = Duration::from_millis(200);

/// How much longer short messages take than usual. The quickest one of a time counts: a slow peer delays its own
/// messages, a full link of this instance all of them.
#[derive(Debug, Default)]
pub struct MessageDelay {
    usual: Option<Duration>,
}

impl MessageDelay {
    /// Delay of the messages that ended in the last `elapsed`, by the time of the quickest answer and the number of those
    /// that got none; `None` if there were no messages.
    pub fn observe(
        &mut self,
        elapsed: Duration,
        quickest: Option<Duration>,
        lost: u32,
    ) -> Option<Duration> {
        let Some(quickest) = quickest else { return (lost > 0).then_some(LOST_DELAY) };
        let growth = 1.0 + GROWTH_PER_SEC * elapsed.as_secs_f64();
        let usual = self.usual.map_or(quickest, |usual| usual.mul_f64(growth).min(quickest));
        self.usual = Some(usual);
        Some(quickest - usual)
    }
}
