//! Delivery of responses to callers.
//!
//! A [`Delivery`] begins when a request is dispatched and ends when the kernel has the whole response; over HTTP/2,
//! when the library has taken its last frame, as it does not tell when that is written. Until then the request counts
//! as in flight, so that a daemon that shuts down does not end before. A delivery that fails is logged and counted, so
//! that an operator can tell a request that was cut while it ran from a response that was ready and not sent.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response};
use http_body::{Body, Frame, SizeHint};

use crate::context::{Cx, RequestCount};
use crate::http1;
use crate::proxy::{BodyError, ProxyBody, log_undelivered, request_id};

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
    _count: RequestCount,
}

impl Delivery {
    /// Begins the delivery of the response to `req`.
    pub fn begin<B>(cx: &Cx, req: &Request<B>) -> Self {
        Self {
            cx: Arc::clone(cx),
            request: request_id(cx, req.headers()),
            start: cx.clock.now(),
            stage: Stage::Pending,
            _count: cx.count_request(),
        }
    }

    /// Attaches the delivery to a response whose end only its body sees.
    pub fn attach(mut self, res: Response<ProxyBody>) -> Response<TrackedBody> {
        self.stage = Stage::Writing;
        res.map(|inner| TrackedBody { inner, delivery: Some(self) })
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
        log_undelivered(&self.cx, &self.request, self.stage.name(), self.start);
    }
}

/// Body of a response that ends its delivery when its last frame was taken.
#[derive(Debug)]
pub struct TrackedBody {
    inner: ProxyBody,
    delivery: Option<Delivery>,
}

impl TrackedBody {
    fn end(&mut self) {
        if let Some(delivery) = self.delivery.take() {
            http1::Delivery::written(delivery);
        }
    }
}

impl Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.inner).poll_frame(cx);
        if matches!(polled, Poll::Ready(None)) {
            self.end();
        }
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // A body that says that it has ended is not polled for its end.
        if self.inner.is_end_stream() {
            self.end();
        }
    }
}
