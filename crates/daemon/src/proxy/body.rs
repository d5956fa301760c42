//! Body type of the request path.
//!
//! An enum instead of a boxed trait object, so that the request path needs no dynamic dispatch.

use std::collections::VecDeque;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;

use super::balance::CallGuard;
use super::host::SlotGuard;
use super::place::Place;
use super::pool::HeldConnection;
use super::request_body::RequestBody;
use crate::buffers::SHORT_BODY_BYTES;

/// Most bytes that are read ahead of a response over HTTP/1.1, and so the largest head of a response. By default the
/// library reads up to 400 KB ahead, more than a small instance has for many unread responses.
pub const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Memory of a response that is passed on as it arrives: what the library has read, the part that it has handed over,
/// and the part that is being written.
pub const STREAMED_BYTES: u64 = 3 * MAX_READ_AHEAD_BYTES as u64;

/// Why a body could not be passed on.
#[derive(Debug)]
pub enum BodyError {
    /// Reading from the connection failed.
    Source(hyper::Error),
    /// The body is longer than allowed.
    TooLarge,
    /// The body is shorter than its announced length.
    Short,
    /// The body did not end before the deadline.
    DeadlinePassed,
    /// The connection ended in the middle of the body, or the body is malformed.
    Broken,
    /// The client read it too slowly while others waited for its place.
    TakenBack,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Source(_) => f.write_str("failed to read a body"),
            Self::TooLarge => f.write_str("failed to read a body: too large"),
            Self::Short => f.write_str("failed to read a body: shorter than announced"),
            Self::DeadlinePassed => f.write_str("failed to read a body: the deadline passed"),
            Self::Broken => f.write_str("failed to read a body: it broke off or is malformed"),
            Self::TakenBack => f.write_str("failed to pass a body on: its client did not read it"),
        }
    }
}

impl std::error::Error for BodyError {
    fn source(&self) -> Option<&(dyn std::error::Error + 'static)> {
        match self {
            Self::Source(e) => Some(e),
            _ => None,
        }
    }
}

/// Resources that are released at the end of a response.
#[derive(Debug)]
pub enum Guard {
    /// Slot at the host daemon.
    Host(SlotGuard),
    /// Outstanding call at the entry daemon.
    Entry(CallGuard),
    /// Connection to the daemon that sent the response.
    Connection(Option<HeldConnection>),
    /// Both, when the entry daemon is the host daemon.
    Both(SlotGuard, CallGuard),
}

impl Guard {
    /// Records that the response was received to its end.
    pub fn complete(&mut self) {
        match self {
            Self::Host(host) | Self::Both(host, _) => host.complete(),
            Self::Entry(entry) => entry.complete(),
            Self::Connection(connection) => {
                if let Some(connection) = connection.take() {
                    connection.release();
                }
            }
        }
    }

    /// Place of the request, while it holds one.
    fn place(&self) -> Option<&Place> {
        match self {
            Self::Host(host) | Self::Both(host, _) => Some(host.place()),
            Self::Entry(entry) => entry.place(),
            Self::Connection(connection) => connection.as_ref().map(HeldConnection::place),
        }
    }

    /// Records that the response broke off. The daemon beside the backend server ends one whose client lags.
    fn record_broken_response(&mut self) {
        if self.place().is_some_and(Place::is_lagging) {
            return;
        }
        if let Self::Entry(entry) | Self::Both(_, entry) = self {
            entry.record_bad_response();
        }
    }
}

/// Body of a request or a response.
#[derive(Debug)]
pub enum ProxyBody {
    /// No bytes.
    Empty,
    /// Bytes in memory.
    Full(Bytes),
    /// Bytes that are passed on as they arrive, up to a limit.
    Stream {
        /// Source of the bytes.
        inner: RequestBody,
        /// Bytes that are still allowed.
        left: u64,
    },
    /// Body of a response, with the resources that are released at its end.
    Tracked(Box<Tracked>),
    /// Body whose first bytes have already been read.
    Buffered {
        /// Bytes that have been read.
        first: VecDeque<Bytes>,
        /// Bytes that follow.
        rest: Box<ProxyBody>,
    },
}

/// Body of a response, with the resources that are released at its end.
#[derive(Debug)]
pub struct Tracked {
    /// Source of the bytes.
    pub inner: Incoming,
    /// Bytes still expected, if the length is known.
    pub expected: Option<u64>,
    /// Bytes that were handed over last, and that the client may not have taken yet.
    pub handed_over: usize,
    /// Elapses when the response is aborted.
    pub deadline: Pin<Box<tokio::time::Sleep>>,
    /// Resources to release.
    pub guard: Guard,
}

impl Tracked {
    /// Records that the client is to take so many bytes before it asks for more.
    pub fn hand_over(&mut self, bytes: usize) {
        self.handed_over = bytes;
        if let Some(place) = self.guard.place() {
            place.wait();
        }
    }

    fn poll_taken_back(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.guard.place().map_or(Poll::Pending, |place| place.poll_taken_back(cx))
    }

    /// Why the body is aborted now, while the client does not ask for more.
    fn poll_abort(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
        if self.poll_taken_back(cx).is_ready() {
            return Poll::Ready(BodyError::TakenBack);
        }
        self.deadline.as_mut().poll(cx).map(|()| BodyError::DeadlinePassed)
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(place) = self.guard.place() {
            place.record_progress(std::mem::take(&mut self.handed_over));
        }
        if self.deadline.as_mut().poll(cx).is_ready() {
            self.guard.record_broken_response();
            return Poll::Ready(Some(Err(BodyError::DeadlinePassed)));
        }
        if self.poll_taken_back(cx).is_ready() {
            return Poll::Ready(Some(Err(BodyError::TakenBack)));
        }
        let polled = poll_incoming(&mut self.inner, cx);
        match &polled {
            Poll::Ready(Some(Err(_))) => self.guard.record_broken_response(),
            Poll::Ready(Some(Ok(frame))) => {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                if let Some(expected) = &mut self.expected {
                    *expected = expected.saturating_sub(bytes as u64);
                }
                if self.inner.is_end_stream() {
                    self.guard.complete();
                } else {
                    self.hand_over(bytes);
                }
            }
            Poll::Ready(None) if self.expected.is_some_and(|left| left > 0) => {
                self.guard.record_broken_response();
                return Poll::Ready(Some(Err(BodyError::Short)));
            }
            Poll::Ready(None) => self.guard.complete(),
            _ => {}
        }
        polled
    }
}

impl ProxyBody {
    /// Body with these bytes.
    #[must_use]
    pub fn full(data: impl Into<Bytes>) -> Self {
        let data = data.into();
        if data.is_empty() { Self::Empty } else { Self::Full(data) }
    }

    /// Replaces the source of a request body.
    #[must_use]
    pub fn map_source(self, map: impl FnOnce(RequestBody) -> RequestBody) -> Self {
        match self {
            Self::Full(data) => {
                let left = data.len() as u64;
                Self::Stream { inner: map(RequestBody::whole(data)), left }
            }
            Self::Stream { inner, left } => Self::Stream { inner: map(inner), left },
            other => other,
        }
    }

    /// Memory that the body holds; for one that is received from a connection, the most that is buffered.
    #[must_use]
    pub fn held_bytes(&self) -> u64 {
        match self {
            Self::Empty => 0,
            Self::Full(data) => data.len() as u64,
            Self::Stream { .. } | Self::Tracked(_) => STREAMED_BYTES,
            Self::Buffered { first, rest } => {
                first.iter().map(|data| data.len() as u64).sum::<u64>() + rest.held_bytes()
            }
        }
    }

    /// Whether the body is long or of unknown length, and still arrives.
    #[must_use]
    pub fn is_long(&self) -> bool {
        let is_short = |bytes| bytes <= SHORT_BODY_BYTES;
        matches!(self, Self::Tracked(_)) && !self.size_hint().upper().is_some_and(is_short)
    }

    /// Records that the response waits for its turn, and not for its client.
    pub fn await_turn(&self) {
        if let Self::Tracked(tracked) = self
            && let Some(place) = tracked.guard.place()
        {
            place.record_progress(0);
        }
    }

    /// Why the body is aborted now. One that has been received to its end is not, nor is one
    /// without a deadline.
    pub fn poll_abort(&mut self, cx: &mut Context<'_>) -> Poll<BodyError> {
        match self {
            Self::Tracked(tracked) if !tracked.inner.is_end_stream() => tracked.poll_abort(cx),
            Self::Buffered { rest, .. } => rest.poll_abort(cx),
            Self::Empty | Self::Full(_) | Self::Stream { .. } | Self::Tracked(_) => Poll::Pending,
        }
    }
}

/// Polls a body that hyper reads from a connection.
pub(super) fn poll_incoming(
    inner: &mut Incoming,
    cx: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    Pin::new(inner).poll_frame(cx).map(|frame| frame.map(|frame| frame.map_err(BodyError::Source)))
}

impl Body for ProxyBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Empty => Poll::Ready(None),
            full @ Self::Full(_) => match std::mem::replace(full, Self::Empty) {
                Self::Full(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
                _ => Poll::Ready(None),
            },
            Self::Stream { inner, left } => {
                let polled = Pin::new(inner).poll_frame(cx);
                if let Poll::Ready(Some(Ok(frame))) = &polled {
                    let bytes = frame.data_ref().map_or(0, |data| data.len() as u64);
                    match left.checked_sub(bytes) {
                        Some(rest) => *left = rest,
                        None => return Poll::Ready(Some(Err(BodyError::TooLarge))),
                    }
                }
                polled
            }
            Self::Tracked(tracked) => tracked.poll(cx),
            Self::Buffered { first, rest } => match first.pop_front() {
                Some(data) => Poll::Ready(Some(Ok(Frame::data(data)))),
                None => Pin::new(rest.as_mut()).poll_frame(cx),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Empty => true,
            Self::Full(_) => false,
            Self::Stream { inner, .. } => inner.is_end_stream(),
            Self::Tracked(tracked) => tracked.inner.is_end_stream(),
            Self::Buffered { first, rest } => first.is_empty() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Empty => SizeHint::with_exact(0),
            Self::Full(data) => SizeHint::with_exact(data.len() as u64),
            Self::Stream { inner, .. } => inner.size_hint(),
            Self::Tracked(tracked) => tracked.inner.size_hint(),
            Self::Buffered { .. } => SizeHint::default(),
        }
    }
}
