//! Delivery of responses to callers.
//!
//! A [`Delivery`] begins when a request is dispatched and ends when the kernel has the whole response. One that ends
//! before is logged and counted, so that an operator can tell a request that was cut while it ran from a response that
//! was ready and not sent.

use std::time::Duration;

use http::Request;

use crate::context::Cx;
use crate::http1;
use crate::proxy::lines::{self, request_id};

/// How far the response to one request has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// The request is in progress, or its response waits behind an earlier one.
    Pending,
    /// The response is ready and being written.
    Writing,
    /// The kernel has the whole response.
    Written,
}

impl Stage {
    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Pending => "pending",
            Self::Writing => "writing",
            Self::Written => "written",
        }
    }
}

/// Delivery of one response.
#[derive(Debug)]
pub struct Delivery {
    cx: Cx,
    request: String,
    start: Duration,
    stage: Stage,
}

impl Delivery {
    /// Begins the delivery of the response to `req`.
    pub fn begin<B>(cx: &Cx, req: &Request<B>) -> Self {
        let request = request_id(cx, req.headers());
        Self { cx: cx.clone(), request, start: cx.clock.now(), stage: Stage::Pending }
    }
}

impl http1::Delivery for Delivery {
    fn ready(&mut self) {
        self.stage = Stage::Writing;
    }

    fn written(mut self) {
        self.stage = Stage::Written;
    }
}

impl Drop for Delivery {
    fn drop(&mut self) {
        if self.stage == Stage::Written {
            return;
        }
        self.cx.metrics.record_undelivered(self.stage.name());
        lines::log_undelivered(&self.cx, &self.request, self.stage.name(), self.start);
    }
}
