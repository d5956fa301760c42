//! Runs of requests at the local backend server, as evidence whether a request crashes backend servers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use baobabreel_core::quarantine::RequestDigest;

use super::local::Backend;
use crate::context::Cx;
use crate::proxy::quarantine::RunPermit;

/// Time after a caller has left in which the backend server may still end under its request. Most backend servers
/// stop the run as soon as they notice.
const ABANDONED_TIME: Duration = Duration::from_millis(200);

/// Request that was sent to the backend server. One of which neither the end nor the loss is recorded was abandoned
/// by its caller, or did not end in time.
pub(super) struct Run {
    cx: Cx,
    backend: Arc<Backend>,
    digest: RequestDigest,
    /// Held until the run is over, so that a trial is alone.
    _permit: Option<RunPermit>,
    sent_at: Instant,
    is_over: bool,
}

impl Run {
    pub(super) fn new(
        cx: &Cx,
        backend: &Arc<Backend>,
        digest: RequestDigest,
        permit: Option<RunPermit>,
    ) -> Self {
        let (cx, backend) = (Arc::clone(cx), Arc::clone(backend));
        Self { cx, backend, digest, _permit: permit, sent_at: Instant::now(), is_over: false }
    }

    /// Records that the response was received to its end.
    pub(super) fn survived(mut self) {
        self.is_over = true;
        self.cx.quarantine.record_survival(self.digest);
    }

    /// Ends the run without evidence.
    pub(super) fn dismiss(mut self) {
        self.is_over = true;
    }

    /// Records that the connection was lost. This is evidence only if the backend server has ended, since connections
    /// also break for other reasons.
    pub(super) fn lost(mut self) {
        self.is_over = true;
        let (cx, backend) = (Arc::clone(&self.cx), Arc::clone(&self.backend));
        let (digest, sent_at) = (self.digest, self.sent_at);
        tokio::spawn(async move {
            if let Some(crash) = backend.pool.find_end(sent_at).await {
                cx.quarantine.record_crash(digest, crash, cx.clock.now());
            }
        });
    }
}

impl Drop for Run {
    fn drop(&mut self) {
        if self.is_over {
            return;
        }
        let (cx, backend) = (Arc::clone(&self.cx), Arc::clone(&self.backend));
        let (digest, sent_at) = (self.digest, self.sent_at);
        tokio::spawn(async move {
            tokio::time::sleep(ABANDONED_TIME).await;
            if let Some(crash) = backend.pool.find_end_at_low_cost(sent_at).await {
                cx.quarantine.record_crash(digest, crash, cx.clock.now());
            }
        });
    }
}
