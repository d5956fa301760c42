//! Slots that are taken back from clients that lag, while other requests wait for one.

use std::time::Duration;

use super::local::LocalBackend;
use crate::callers::{CallerLimit, record};
use crate::context::Cx;
use crate::sync::lock;

/// Time between two looks at the clients while requests wait for a slot.
const INTERVAL: Duration = Duration::from_millis(25);

/// Takes slots back for as long as the daemon runs.
pub async fn take_back_slots(cx: Cx) {
    loop {
        cx.host.contended.notified().await;
        loop {
            let count = cx.host.take_back_lagging(cx.clock.now());
            record(&cx, CallerLimit::TakenBack, count);
            if cx.host.load().queued == 0 {
                break;
            }
            tokio::time::sleep(INTERVAL).await;
        }
    }
}

impl LocalBackend {
    /// Takes back the slots that core chooses, and starts the requests that waited for them; returns the number.
    fn take_back_lagging(&self, now: Duration) -> usize {
        let mut admitter = lock(&self.admitter);
        let lags: Vec<_> = admitter.places.iter().map(|(id, place)| (*id, place.lag())).collect();
        let chosen = admitter.admission.choose_lagging(lags.into_iter());
        for id in &chosen {
            // The next request needs the connection.
            if let Some(place) = admitter.places.remove(id) {
                place.take_back();
            }
            let actions = admitter.admission.cancel(*id, now);
            admitter.apply(actions);
        }
        chosen.len()
    }
}
