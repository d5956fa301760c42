//! Request bodies that are still being read while their responses are made: what the reader and the writer of a
//! connection tell each other about them.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::MAX_DISCARDED_BYTES;
use super::head::Framing;
use crate::proxy::{BodySender, BodyWatch};

#[derive(Debug)]
struct Shared {
    /// Bytes that have not been read; 0 if the length is not known.
    left: AtomicU64,
    /// Cancelled when the response has been written.
    answered: CancellationToken,
}

/// Body that had not been read when its request was dispatched, for the writer.
#[derive(Debug)]
pub(super) struct UnreadBody {
    watch: BodyWatch,
    shared: Arc<Shared>,
}

impl UnreadBody {
    /// Whether more of it is left than is discarded for a further request.
    pub(super) fn ends_connection(&self) -> bool {
        self.shared.left.load(Ordering::Acquire) > MAX_DISCARDED_BYTES && self.watch.is_abandoned()
    }

    /// Records that the response has been written.
    pub(super) fn record_answered(&self) {
        self.shared.answered.cancel();
    }
}

/// Rest of the body, for the reader.
#[derive(Debug)]
pub(super) struct BodyRest {
    shared: Arc<Shared>,
    /// When it was seen that nobody needs it any more.
    unneeded_since: Option<Instant>,
}

impl BodyRest {
    /// Rest of a body of which nothing has been read, for the reader and the writer.
    pub(super) fn new(sender: &BodySender, framing: Framing) -> (Self, UnreadBody) {
        let left = match framing {
            Framing::Length(length) => length,
            Framing::Chunked => 0,
        };
        let answered = CancellationToken::new();
        let shared = Arc::new(Shared { left: AtomicU64::new(left), answered });
        let unread = UnreadBody { watch: sender.watch(), shared: Arc::clone(&shared) };
        (Self { shared, unneeded_since: None }, unread)
    }

    /// Records how many bytes have not been read.
    pub(super) fn set_left(&self, left: u64) {
        self.shared.left.store(left, Ordering::Release);
    }

    /// Waits until the body is not to be read any further: nobody has needed it for `idle`, or nobody needs it and
    /// `stop` is cancelled.
    pub(super) async fn given_up(
        &mut self,
        sender: &BodySender,
        idle: Duration,
        stop: &CancellationToken,
    ) {
        if self.unneeded_since.is_none() {
            tokio::select! {
                () = sender.abandoned() => {}
                () = self.shared.answered.cancelled() => {}
            }
        }
        let since = *self.unneeded_since.get_or_insert_with(Instant::now);
        tokio::select! {
            () = tokio::time::sleep_until(since + idle) => {}
            () = stop.cancelled() => {}
        }
    }
}
