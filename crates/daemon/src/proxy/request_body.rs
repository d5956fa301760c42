//! Request bodies, independent of the protocol that they arrive over.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::body::{BodyError, poll_incoming};
use super::link::{Arrival, Paced};
use super::peer_body::{Cancellable, ReceivedBody};
use super::place::Place;
use crate::buffers::Turn;

/// Most pieces of a body that are buffered for a slow receiver.
const PIPE_CAPACITY: usize = 4;

/// Piece of a body. A body whose pieces stop without [`Piece::End`] is incomplete.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Read by hyper.
    Hyper(Incoming),
    /// In memory; `None` if empty or already read.
    Whole(Option<Bytes>),
    /// Its first bytes were read before.
    Begun {
        /// Bytes that were read; `None` once they are passed on.
        first: Option<Bytes>,
        /// Bytes that follow.
        rest: Box<RequestBody>,
    },
    /// Received from another daemon.
    Peer(ReceivedBody),
    /// Sent to another daemon.
    Cancellable(Box<Cancellable>),
    /// Sent at the rate that a daemon has granted.
    Paced(Box<Paced>),
    /// Received over the link of this instance.
    Arriving {
        /// Source of the bytes.
        inner: Box<RequestBody>,
        /// Counts the bytes.
        arrival: Arrival,
    },
    /// Sent on while it arrives, which shows how far its client lags.
    Watched {
        /// Source of the bytes.
        inner: Box<RequestBody>,
        /// Place of the request.
        place: Arc<Place>,
    },
    /// Received piece by piece from a [`BodySender`].
    Pipe {
        /// Pieces of the body.
        pieces: mpsc::Receiver<Piece>,
        /// Bytes still expected, if the length is known.
        left: Option<u64>,
        /// Whether the body has ended.
        ended: bool,
        /// Tells the sender that the body is read; used at the first poll.
        begun: Option<oneshot::Sender<()>>,
    },
}

impl RequestBody {
    /// Body with these bytes.
    #[must_use]
    pub fn whole(data: Bytes) -> Self {
        Self::Whole(Some(data).filter(|data| !data.is_empty()))
    }

    /// Reads the body, but at most `limit` bytes and some more, and for at most `time`. Returns the rest of a body
    /// that has not ended by then.
    ///
    /// # Errors
    ///
    /// The body breaks off.
    pub async fn read_start(
        mut self,
        limit: usize,
        time: Duration,
    ) -> Result<(Bytes, Option<Self>), BodyError> {
        let end = Instant::now() + time;
        let mut first = BytesMut::new();
        while first.len() <= limit {
            match tokio::time::timeout_at(end, self.frame()).await {
                Ok(None) => return Ok((first.freeze(), None)),
                Ok(Some(frame)) => {
                    if let Ok(data) = frame?.into_data() {
                        first.extend_from_slice(&data);
                    }
                }
                Err(_) => break,
            }
        }
        Ok((first.freeze(), Some(self)))
    }

    /// Takes out the turn of a body from another daemon that stays in memory after its end.
    pub fn take_turn(&mut self) -> Option<Turn> {
        match self {
            Self::Peer(body) => body.take_turn(),
            _ => None,
        }
    }

    /// Body whose first bytes were read before.
    #[must_use]
    pub fn begun(first: Bytes, rest: Self) -> Self {
        Self::Begun { first: Some(first).filter(|first| !first.is_empty()), rest: Box::new(rest) }
    }
}

/// Sender of the pieces of a body.
#[derive(Debug)]
pub struct BodySender {
    pieces: mpsc::Sender<Piece>,
    begun: Option<oneshot::Receiver<()>>,
}

/// Tells whether a body is still wanted, without keeping it open.
#[derive(Debug)]
pub struct BodyWatch(mpsc::WeakSender<Piece>);

impl BodyWatch {
    /// Whether the receiver dropped the body before its end was sent.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.0.upgrade().is_some_and(|pieces| pieces.is_closed())
    }
}

/// Creates a body that receives its pieces from the returned sender; `length` in bytes, if known.
#[must_use]
pub fn body_pipe(length: Option<u64>) -> (BodySender, RequestBody) {
    let (tx, rx) = mpsc::channel(PIPE_CAPACITY);
    let (begun_tx, begun_rx) = oneshot::channel();
    let sender = BodySender { pieces: tx, begun: Some(begun_rx) };
    let body = RequestBody::Pipe { pieces: rx, left: length, ended: false, begun: Some(begun_tx) };
    (sender, body)
}

impl BodySender {
    /// Waits until the receiver begins to read the body or has dropped it.
    pub async fn wait_until_wanted(&mut self) {
        if let Some(begun) = self.begun.take() {
            // Without a receiver the pieces are dropped.
            drop(begun.await);
        }
    }

    /// Whether the receiver has dropped the body.
    #[must_use]
    pub fn is_abandoned(&self) -> bool {
        self.pieces.is_closed()
    }

    /// Waits until the receiver has dropped the body.
    pub async fn abandoned(&self) {
        self.pieces.closed().await;
    }

    /// Observer of the body.
    #[must_use]
    pub fn watch(&self) -> BodyWatch {
        BodyWatch(self.pieces.downgrade())
    }

    /// Sends a piece; it is dropped if the body has been dropped.
    pub async fn send(&mut self, data: Bytes) {
        if self.pieces.send(Piece::Data(data)).await.is_err() {
            tracing::trace!("body piece skipped: the receiver is gone");
        }
    }

    /// Ends the body; without this it counts as incomplete.
    pub async fn finish(self) {
        if self.pieces.send(Piece::End).await.is_err() {
            tracing::trace!("body piece skipped: the receiver is gone");
        }
    }
}

impl Body for RequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Hyper(body) => poll_incoming(body, cx),
            Self::Whole(data) => Poll::Ready(data.take().map(|data| Ok(Frame::data(data)))),
            Self::Begun { first, rest } => match first.take() {
                Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
                None => Pin::new(rest.as_mut()).poll_frame(cx),
            },
            Self::Peer(body) => body.poll(cx),
            Self::Cancellable(body) => body.poll(cx),
            Self::Paced(paced) => paced.poll(cx),
            Self::Arriving { inner, arrival } => {
                let polled = Pin::new(inner.as_mut()).poll_frame(cx);
                match &polled {
                    Poll::Ready(Some(Ok(frame))) => {
                        arrival.record(frame.data_ref().map_or(0, Bytes::len));
                        if inner.is_end_stream() {
                            arrival.end();
                        }
                    }
                    Poll::Ready(None) => arrival.end(),
                    _ => {}
                }
                polled
            }
            Self::Watched { inner, place } => {
                let polled = Pin::new(inner.as_mut()).poll_frame(cx);
                match &polled {
                    Poll::Pending => place.wait(),
                    Poll::Ready(Some(Ok(frame))) => {
                        place.record_progress(frame.data_ref().map_or(0, Bytes::len));
                    }
                    Poll::Ready(Some(Err(_))) => place.record_broken_body(),
                    Poll::Ready(None) => place.record_progress(0),
                }
                polled
            }
            Self::Pipe { pieces, left, ended, begun } => {
                if let Some(begun) = begun.take()
                    && begun.send(()).is_err()
                {
                    tracing::trace!("the sender of the body does not wait for its start");
                }
                if *ended {
                    return Poll::Ready(None);
                }
                match std::task::ready!(pieces.poll_recv(cx)) {
                    Some(Piece::Data(data)) => {
                        if let Some(left) = left {
                            *left = left.saturating_sub(data.len() as u64);
                        }
                        Poll::Ready(Some(Ok(Frame::data(data))))
                    }
                    Some(Piece::End) => {
                        *ended = true;
                        Poll::Ready(None)
                    }
                    None => {
                        *ended = true;
                        Poll::Ready(Some(Err(BodyError::Broken)))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Hyper(body) => body.is_end_stream(),
            Self::Whole(data) => data.is_none(),
            Self::Begun { first, rest } => first.is_none() && rest.is_end_stream(),
            Self::Peer(body) => body.is_end_stream(),
            Self::Cancellable(body) => body.is_end_stream(),
            Self::Paced(paced) => paced.is_end_stream(),
            Self::Arriving { inner, .. } | Self::Watched { inner, .. } => inner.is_end_stream(),
            Self::Pipe { ended, .. } => *ended,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Hyper(body) => body.size_hint(),
            Self::Whole(data) => {
                SizeHint::with_exact(data.as_ref().map_or(0, |data| data.len() as u64))
            }
            Self::Pipe { left: Some(left), .. } => SizeHint::with_exact(*left),
            Self::Peer(body) => body.size_hint(),
            Self::Cancellable(body) => body.size_hint(),
            Self::Paced(paced) => paced.size_hint(),
            Self::Arriving { inner, .. } | Self::Watched { inner, .. } => inner.size_hint(),
            Self::Begun { .. } | Self::Pipe { left: None, .. } => SizeHint::default(),
        }
    }
}
