//! Whether a request may have run, known while attempts at it are still in progress.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use http::Request;

/// Number of times that a request was sent without being refused as not run.
#[derive(Debug, Clone, Default)]
pub struct Sends(Arc<AtomicUsize>);

impl Sends {
    /// Begins an attempt, of which nothing has been sent yet.
    #[must_use]
    pub fn begin(&self) -> SendMark {
        SendMark { sends: self.clone(), is_sent: Arc::default() }
    }

    /// Records that the request may have run before it came to this daemon.
    pub fn record_earlier(&self) {
        self.0.fetch_add(1, Ordering::AcqRel);
    }

    /// Whether the request may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        self.0.load(Ordering::Acquire) > 0
    }
}

/// Mark of one attempt; goes along as an extension of its request.
#[derive(Debug, Clone)]
pub struct SendMark {
    sends: Sends,
    is_sent: Arc<AtomicBool>,
}

impl SendMark {
    /// Mark of a request; one that has none gets one.
    #[must_use]
    pub fn of<B>(req: &mut Request<B>) -> Self {
        req.extensions_mut().get_or_insert_with(|| Sends::default().begin()).clone()
    }

    /// Records that the request is sent from now on.
    pub fn set(&self) {
        if !self.is_sent.swap(true, Ordering::AcqRel) {
            self.sends.0.fetch_add(1, Ordering::AcqRel);
        }
    }

    /// Whether the request may have been sent.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.is_sent.load(Ordering::Acquire)
    }

    /// Records that this attempt certainly did not run.
    pub fn clear(&self) {
        if self.is_sent.swap(false, Ordering::AcqRel) {
            self.sends.0.fetch_sub(1, Ordering::AcqRel);
        }
    }
}
