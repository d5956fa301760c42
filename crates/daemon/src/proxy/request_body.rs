//! Bodies of requests, whichever protocol they come over.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use tokio::sync::mpsc;

use super::body::{BodyError, poll_incoming};

/// Pieces of a body that are kept for a slow receiver.
const PIPE_PIECES: usize = 4;

/// Piece of a body; one that ends without [`Piece::End`] is not whole.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// Body of a request.
#[derive(Debug)]
pub enum RequestBody {
    /// Read by hyper.
    Hyper(Incoming),
    /// In memory; none once it was taken.
    Whole(Option<Bytes>),
    /// Passed on as it comes.
    Pipe {
        /// Pieces of the body.
        pieces: mpsc::Receiver<Piece>,
        /// Bytes that have not come, when their number is known.
        left: Option<u64>,
        /// Whether the last piece was taken.
        ended: bool,
    },
}

impl RequestBody {
    /// Body with these bytes.
    #[must_use]
    pub fn whole(data: Bytes) -> Self {
        Self::Whole(Some(data).filter(|data| !data.is_empty()))
    }
}

/// Sender of the pieces of a body.
#[derive(Debug)]
pub struct BodySender {
    pieces: mpsc::Sender<Piece>,
}

/// Makes a body of `length` bytes, if that is known, whose pieces are sent later.
#[must_use]
pub fn body_pipe(length: Option<u64>) -> (BodySender, RequestBody) {
    let (tx, rx) = mpsc::channel(PIPE_PIECES);
    (BodySender { pieces: tx }, RequestBody::Pipe { pieces: rx, left: length, ended: false })
}

impl BodySender {
    /// Sends a piece; it is dropped when the receiver wants no more.
    pub async fn send(&mut self, data: Bytes) {
        if self.pieces.send(Piece::Data(data)).await.is_err() {
            tracing::trace!("rest of a body read over");
        }
    }

    /// Ends the body; without this it counts as broken off.
    pub async fn finish(self) {
        if self.pieces.send(Piece::End).await.is_err() {
            tracing::trace!("rest of a body read over");
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
            Self::Pipe { pieces, left, ended } => {
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
            Self::Pipe { left: None, .. } => SizeHint::default(),
        }
    }
}
