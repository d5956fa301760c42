//! Sleeps shorter than a millisecond.
//!
//! tokio's timer rounds up to whole milliseconds. The latencies and run times that the stand-ins
//! emulate are of that size themselves, so one thread waits for the last part of each sleep.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::{Condvar, LazyLock, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::serve::lock;

/// Part of a sleep that the thread waits for; the part before it is left to tokio.
const FINE_PART: Duration = Duration::from_millis(3);
/// Wait of the thread while nothing sleeps.
const IDLE_WAIT: Duration = Duration::from_secs(3_600);

#[derive(Debug)]
struct Sleeper {
    at: Instant,
    wake: oneshot::Sender<()>,
}

impl PartialEq for Sleeper {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Sleeper {}

impl PartialOrd for Sleeper {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Sleeper {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.cmp(&other.at)
    }
}

#[derive(Debug, Default)]
struct Timer {
    sleepers: Mutex<BinaryHeap<Reverse<Sleeper>>>,
    earlier: Condvar,
}

static TIMER: LazyLock<&'static Timer> = LazyLock::new(|| {
    let timer = &*Box::leak(Box::<Timer>::default());
    std::thread::Builder::new()
        .name("fine-timer".to_owned())
        .spawn(|| timer.run())
        .expect("failed to start the timer thread");
    timer
});

impl Timer {
    fn run(&self) {
        let mut sleepers = lock(&self.sleepers);
        loop {
            let now = Instant::now();
            while sleepers.peek().is_some_and(|Reverse(next)| next.at <= now) {
                if let Some(Reverse(sleeper)) = sleepers.pop() {
                    // A sleeper that has gone away needs no wake-up.
                    let _ = sleeper.wake.send(());
                }
            }
            let wait = sleepers.peek().map_or(IDLE_WAIT, |Reverse(next)| next.at - now);
            let waited = self.earlier.wait_timeout(sleepers, wait);
            sleepers = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }

    fn add(&self, sleeper: Sleeper) {
        let at = sleeper.at;
        let mut sleepers = lock(&self.sleepers);
        let earlier = sleepers.peek().is_none_or(|Reverse(next)| at < next.at);
        sleepers.push(Reverse(sleeper));
        if earlier {
            self.earlier.notify_one();
        }
    }
}

/// Sleeps until `at`, to about a tenth of a millisecond on an idle machine.
pub(crate) async fn sleep_until(at: Instant) {
    let now = Instant::now();
    if at > now + FINE_PART {
        tokio::time::sleep(at - now - FINE_PART).await;
    }
    if at <= Instant::now() {
        return;
    }
    let (wake, woken) = oneshot::channel();
    TIMER.add(Sleeper { at, wake });
    // The timer thread never ends, so the sender is only dropped after it has been used.
    drop(woken.await);
}

/// Sleeps for `time`; zero does not yield.
pub(crate) async fn sleep(time: Duration) {
    if !time.is_zero() {
        sleep_until(Instant::now() + time).await;
    }
}
