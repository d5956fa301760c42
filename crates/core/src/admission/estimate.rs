//! Expected waits and run times of requests.

use std::time::Duration;

use super::cost::Precedence;
use super::queue::PendingRequest;
use super::routes::SmoothedRunTime;
use super::state::{Admission, RunningRequest};
use super::wait::wait_secs;
use crate::config::Class;

/// Fraction of the time to spare before its target that a request may be expected to wait under
/// overload. The rest is a margin, since run times and waits vary.
const TARGET_WAIT_FRACTION: f64 = 0.6;

/// Fraction of its run time that a request may wait under overload even if that exceeds the limit.
const RUN_TIME_WAIT_FRACTION: f64 = 0.25;

/// Under overload a request may wait longer than the limit if its wait and run time together stay
/// within this time. A short check may therefore wait longer than a command that runs long, as its
/// answer is still quick.
const TARGET_RESPONSE_TIME: Duration = Duration::from_millis(80);

impl Admission {
    /// Limit of the estimated wait of a request under overload. With a target, it leaves time to answer
    /// before the target; without one, it depends on the class alone.
    pub(super) fn max_wait(&self, item: &PendingRequest, now: Duration) -> Duration {
        match item.target {
            Some(target) => {
                let spare = target.saturating_sub(now + self.run_time(item));
                match item.precedence {
                    // An answer after its target costs less than the loss of the request that waits for it.
                    Precedence::Nested => spare,
                    _ => spare.mul_f64(TARGET_WAIT_FRACTION),
                }
            }
            None => self.max_class_wait(item.class),
        }
    }

    /// Limit of the estimated wait under overload for a class, by its smoothed run time.
    pub(super) fn max_class_wait(&self, class: Class) -> Duration {
        let secs = self.run_times.secs(class);
        let part =
            Duration::try_from_secs_f64(secs * RUN_TIME_WAIT_FRACTION).unwrap_or(Duration::MAX);
        let run_time = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        self.cfg.target_wait.max(part).max(TARGET_RESPONSE_TIME.saturating_sub(run_time))
    }

    /// Estimated time until `item` would start if it were queued now.
    pub(super) fn estimated_wait(&self, item: &PendingRequest, now: Duration) -> Duration {
        let modelled = self.modelled_wait(item, now);
        // The model leaves out requests that arrive later and start earlier. The measured waits of
        // requests that recently left the queue include them.
        let has_same_route = self.queue.all().iter().any(|other| other.route == item.route);
        // A request with a higher precedence than usual is not overtaken as those measured ones were.
        if item.target.is_none() || !has_same_route || item.precedence < Precedence::Usual {
            return modelled;
        }
        let observed = Duration::try_from_secs_f64(self.routes.wait_secs(item.route));
        modelled.max(observed.unwrap_or_default())
    }

    /// Estimated time until `item` would start if no other request arrived.
    pub(super) fn modelled_wait(&self, item: &PendingRequest, now: Duration) -> Duration {
        let ahead = self.queue.ahead_of(item);
        let running = self.running.iter().map(|running| self.running_secs(running));
        let queued = ahead.iter().map(|other| self.waiting_secs(other));
        let mut secs = wait_secs(running, queued, self.cfg.slots);
        if item.bulk {
            let running = self.running.iter().filter(|running| running.bulk);
            let bulk_secs = wait_secs(
                running.map(|running| self.running_secs(running)),
                ahead.iter().filter(|other| other.bulk).map(|other| self.waiting_secs(other)),
                self.bulk_slots(),
            );
            secs = secs.max(bulk_secs);
        }
        let slot_wait = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        slot_wait.max(self.paced_wait(ahead.len(), now))
    }

    /// Time until the rate limit allows the start of a request with `ahead` others before it.
    pub(super) fn paced_wait(&self, ahead: usize, now: Duration) -> Duration {
        self.pace.as_ref().map_or(Duration::ZERO, |pace| pace.wait(ahead, now))
    }

    /// Estimated time until all queued requests have started.
    pub(super) fn drain_time(&self, now: Duration) -> Duration {
        let running = self.running.iter().map(|running| self.running_secs(running));
        let waiting = self.queue.all().iter().map(|item| self.waiting_secs(item));
        let secs = wait_secs(running, waiting, self.cfg.slots);
        let slot_wait = Duration::try_from_secs_f64(secs).unwrap_or(Duration::MAX);
        slot_wait.max(self.paced_wait(self.queue.len(), now))
    }

    pub(super) fn running_secs(&self, running: &RunningRequest) -> f64 {
        self.expected_secs(running.class, running.route, running.has_target)
    }

    pub(super) fn waiting_secs(&self, item: &PendingRequest) -> f64 {
        self.expected_secs(item.class, item.route, item.target.is_some())
    }

    /// Expected run time in seconds. For a request with a target it is that of the route, if known,
    /// since short and long requests can then have the same class; otherwise it is that of the class.
    pub(super) fn expected_secs(&self, class: Class, route: usize, has_target: bool) -> f64 {
        let route_run_time = if has_target { self.routes.run_time(route) } else { None };
        route_run_time.map_or_else(|| self.run_times.secs(class), SmoothedRunTime::secs)
    }

    pub(super) fn run_time(&self, item: &PendingRequest) -> Duration {
        Duration::try_from_secs_f64(self.waiting_secs(item)).unwrap_or_default()
    }
}
