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

use crate::callers::HeldRequest;
use crate::context::{Cx, RequestCount};
use crate::http1;
use crate::proxy::{BodyError, ProxyBody, log_undelivered, request_id};

/// Most bytes that the library takes at once, which it buffers for a caller that does not read.
const MAX_FRAME_BYTES: usize = 16 * 1024;

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
    pub fn attach(
        mut self,
        res: Response<ProxyBody>,
        held: Option<HeldRequest>,
    ) -> Response<TrackedBody> {
        self.stage = Stage::Writing;
        res.map(|inner| TrackedBody {
            inner,
            rest: Bytes::new(),
            delivery: Some(self),
            held,
            handed_over: 0,
        })
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
    /// What is left of the last frame of `inner`.
    rest: Bytes,
    delivery: Option<Delivery>,
    /// What the request and its response hold; released with the body.
    held: Option<HeldRequest>,
    /// Bytes that were handed over last, and that the caller may not have taken yet.
    handed_over: usize,
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
        let taken = std::mem::take(&mut self.handed_over);
        if let Some(held) = &self.held {
            held.connection().record_progress(taken);
        }
        if self.rest.is_empty() {
            let polled = Pin::new(&mut self.inner).poll_frame(cx);
            match std::task::ready!(polled) {
                Some(Ok(frame)) => match frame.into_data() {
                    Ok(data) => self.rest = data,
                    Err(frame) => return Poll::Ready(Some(Ok(frame))),
                },
                Some(Err(e)) => return Poll::Ready(Some(Err(e))),
                None => {
                    self.end();
                    return Poll::Ready(None);
                }
            }
        }
        let length = self.rest.len().min(MAX_FRAME_BYTES);
        self.handed_over = length;
        if let Some(held) = &self.held {
            held.connection().wait();
        }
        Poll::Ready(Some(Ok(Frame::data(self.rest.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty() && self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        if self.rest.is_empty() { self.inner.size_hint() } else { SizeHint::default() }
    }
}

impl Drop for TrackedBody {
    fn drop(&mut self) {
        // A body that says that it has ended is not polled for its end.
        if self.is_end_stream() {
            self.end();
        }
    }
}
