//! Request bodies between daemons, when the receiver refuses the call before it has read the body.
//!
//! Input that arrives at a closed socket is answered with a reset, which can overtake the refusal; the sender would
//! then not know that nothing ran. So the receiver reads on for a short time, and the sender stops.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::runtime::Handle;
use tokio_util::sync::{CancellationToken, WaitForCancellationFutureOwned};

use super::body::{BodyError, ProxyBody, poll_incoming};
use super::request_body::RequestBody;
use crate::buffers::Turn;

/// Time for the sender to receive the refusal and to stop; covers two round trips between the most distant regions.
const DISCARD_TIME: Duration = Duration::from_secs(1);

/// Body that arrives from another daemon. If it is dropped before its end, it is read and discarded for a short time.
#[derive(Debug)]
pub struct ReceivedBody {
    /// `None` once it has ended.
    body: Option<Incoming>,
    /// Turn of a long body, which holds a buffer.
    turn: Option<Turn>,
}

impl From<Incoming> for ReceivedBody {
    fn from(body: Incoming) -> Self {
        Self { body: Some(body), turn: None }
    }
}

impl ReceivedBody {
    /// Sets the turn that a long body has waited for.
    pub fn set_turn(&mut self, turn: Turn) {
        self.turn = Some(turn);
    }

    /// Takes the turn out, for a body that stays in memory after its end.
    pub fn take_turn(&mut self) -> Option<Turn> {
        self.turn.take()
    }

    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Some(body) = &mut self.body else { return Poll::Ready(None) };
        let polled = poll_incoming(body, cx);
        if let Some(turn) = &self.turn {
            match &polled {
                Poll::Pending => turn.wait(),
                Poll::Ready(Some(Ok(frame))) => {
                    turn.record_progress(frame.data_ref().map_or(0, Bytes::len));
                }
                Poll::Ready(_) => {}
            }
        }
        if matches!(polled, Poll::Ready(None | Some(Err(_)))) {
            self.body = None;
        }
        polled
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.body.as_ref().is_none_or(Body::is_end_stream)
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.body.as_ref().map_or_else(|| SizeHint::with_exact(0), Body::size_hint)
    }
}

impl Drop for ReceivedBody {
    fn drop(&mut self) {
        let Some(mut body) = self.body.take().filter(|body| !body.is_end_stream()) else { return };
        let Ok(runtime) = Handle::try_current() else { return };
        runtime.spawn(async move {
            let discard = async { while let Some(Ok(_)) = body.frame().await {} };
            if tokio::time::timeout(DISCARD_TIME, discard).await.is_err() {
                tracing::debug!("a daemon still sends the body of a call that has ended");
            }
        });
    }
}

/// Body that is sent to another daemon until it is cancelled.
#[derive(Debug)]
pub struct Cancellable {
    inner: RequestBody,
    cancelled: Pin<Box<WaitForCancellationFutureOwned>>,
}

impl Cancellable {
    /// Makes a streamed body end with an error, which closes its connection, once `token` is cancelled.
    pub fn wrap(body: ProxyBody, token: &CancellationToken) -> ProxyBody {
        match body {
            ProxyBody::Stream { inner, left } => {
                let cancelled = Box::pin(token.clone().cancelled_owned());
                let inner = RequestBody::Cancellable(Box::new(Self { inner, cancelled }));
                ProxyBody::Stream { inner, left }
            }
            other => other,
        }
    }

    pub(super) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if self.cancelled.as_mut().poll(cx).is_ready() {
            return Poll::Ready(Some(Err(BodyError::Broken)));
        }
        Pin::new(&mut self.inner).poll_frame(cx)
    }

    pub(super) fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    pub(super) fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
