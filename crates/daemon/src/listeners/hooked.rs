//! Connection whose reads are counted, or held back for a moment.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

use super::prefixed::PrefixedStream;
use crate::callers::CallerConnection;

/// Time until the next look whether a connection may be read again.
const PAUSE: Duration = Duration::from_millis(5);

/// Sees the reads of a connection.
pub trait ReadHook: Unpin {
    /// Most bytes of a single read. The library doubles its buffer, up to the size of the longest head, while reads
    /// fill it.
    const MAX_READ_BYTES: usize = usize::MAX;

    /// Ready once the connection may be read.
    fn poll_ready(&mut self, _cx: &mut Context<'_>) -> Poll<()> {
        Poll::Ready(())
    }

    /// Records that the client is waited for.
    fn pending(&mut self) {}

    /// Records that the client sent so many bytes.
    fn received(&mut self, _bytes: usize) {}
}

/// Connection with a hook on its reads.
#[derive(Debug)]
pub struct HookedStream<H> {
    stream: PrefixedStream,
    hook: H,
}

impl<H> HookedStream<H> {
    /// Wraps the stream of a connection.
    pub fn new(stream: PrefixedStream, hook: H) -> Self {
        Self { stream, hook }
    }
}

/// Holds a connection back while something is so, and looks at it now and then.
#[derive(Debug, Default)]
pub struct Pauses {
    pause: Option<Pin<Box<Sleep>>>,
}

impl Pauses {
    /// Ready once `is_held` returns false.
    pub fn poll_while(&mut self, cx: &mut Context<'_>, is_held: impl Fn() -> bool) -> Poll<()> {
        while is_held() {
            let pause = self.pause.get_or_insert_with(|| Box::pin(tokio::time::sleep(PAUSE)));
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        Poll::Ready(())
    }
}

/// Receives nothing over HTTP/2 for a moment while many requests wait on all connections of callers. The library takes
/// all streams that arrive at once, before the first of them is served.
#[derive(Debug)]
pub struct Gate {
    connection: Arc<CallerConnection>,
    pauses: Pauses,
}

impl Gate {
    /// Gate of a connection.
    pub fn new(connection: Arc<CallerConnection>) -> Self {
        Self { connection, pauses: Pauses::default() }
    }
}

impl ReadHook for Gate {
    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        self.pauses.poll_while(cx, || self.connection.are_many_waiting())
    }
}

impl<H: ReadHook> AsyncRead for HookedStream<H> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        ready!(self.hook.poll_ready(cx));
        let before = buf.filled().len();
        let stream = Pin::new(&mut self.stream);
        let polled = if buf.remaining() > H::MAX_READ_BYTES {
            let mut part = ReadBuf::new(buf.initialize_unfilled_to(H::MAX_READ_BYTES));
            let polled = stream.poll_read(cx, &mut part);
            let read = part.filled().len();
            buf.advance(read);
            polled
        } else {
            stream.poll_read(cx, buf)
        };
        match &polled {
            Poll::Pending => self.hook.pending(),
            Poll::Ready(_) => self.hook.received(buf.filled().len() - before),
        }
        polled
    }
}

impl<H: ReadHook> AsyncWrite for HookedStream<H> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
