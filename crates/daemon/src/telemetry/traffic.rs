//! Bytes on the link of the instance, by what they are for.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What bytes on the link are for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Flow {
    /// Requests and responses of callers on other instances.
    Callers,
    /// Calls between daemons.
    Calls,
    /// Control messages between daemons.
    Control,
    /// Messages to and from the store of the platform.
    Store,
}

/// Number of variants of [`Flow`].
const FLOW_COUNT: usize = Flow::Store as usize + 1;

impl Flow {
    /// All variants, in their order.
    pub const ALL: [Self; FLOW_COUNT] = [Self::Callers, Self::Calls, Self::Control, Self::Store];

    /// Name in logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Calls => "calls",
            Self::Control => "control",
            Self::Store => "store",
        }
    }
}

/// Bytes of each flow in one direction.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub struct Volume([u64; FLOW_COUNT]);

impl Volume {
    /// Bytes of one flow.
    #[must_use]
    pub fn of(&self, flow: Flow) -> u64 {
        self.0[flow as usize]
    }

    /// Bytes of all flows.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    /// What came since an earlier count.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self(std::array::from_fn(|i| self.0[i].saturating_sub(earlier.0[i])))
    }
}

/// Counters of one direction.
type Counters = [AtomicU64; FLOW_COUNT];

fn read(counters: &Counters) -> Volume {
    Volume(std::array::from_fn(|i| counters[i].load(Ordering::Relaxed)))
}

/// Bytes on the link in both directions, without the headers of packets.
#[derive(Debug, Default)]
pub struct Traffic {
    received: Counters,
    sent: Counters,
}

impl Traffic {
    /// Counts bytes that came in.
    pub fn record_received(&self, flow: Flow, bytes: usize) {
        self.received[flow as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes that went out.
    pub fn record_sent(&self, flow: Flow, bytes: usize) {
        self.sent[flow as usize].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Bytes received so far.
    #[must_use]
    pub fn received(&self) -> Volume {
        read(&self.received)
    }

    /// Bytes sent so far.
    #[must_use]
    pub fn sent(&self) -> Volume {
        read(&self.sent)
    }
}

/// Counts the bytes of one flow.
#[derive(Debug, Clone)]
pub struct Meter {
    traffic: Arc<Traffic>,
    flow: Flow,
}

impl Meter {
    /// Meter of `flow`.
    #[must_use]
    pub fn new(traffic: &Arc<Traffic>, flow: Flow) -> Self {
        Self { traffic: Arc::clone(traffic), flow }
    }

    /// Counts bytes that came in.
    pub fn record_received(&self, bytes: usize) {
        self.traffic.record_received(self.flow, bytes);
    }

    /// Counts bytes that went out.
    pub fn record_sent(&self, bytes: usize) {
        self.traffic.record_sent(self.flow, bytes);
    }
}

/// Connection whose bytes are counted if it has a meter.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Option<Meter>,
}

impl<S> Metered<S> {
    /// Wraps a connection.
    pub fn new(stream: S, meter: Option<Meter>) -> Self {
        Self { stream, meter }
    }

    fn record_sent(&self, written: &Poll<io::Result<usize>>) {
        if let (Some(meter), Poll::Ready(Ok(bytes))) = (&self.meter, written) {
            meter.record_sent(*bytes);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Some(meter) = &self.meter {
            meter.record_received(buf.filled().len() - before);
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Metered<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_sent(&written);
        written
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
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_sent(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
