//! Connection whose first bytes were read to detect its protocol.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::telemetry::{Meter, Metered};

/// Connection that yields the bytes already read before the rest of its stream.
#[derive(Debug)]
pub struct PrefixedStream {
    prefix: BytesMut,
    stream: Metered<TcpStream>,
}

impl PrefixedStream {
    /// Puts `prefix` in front of the input from `stream`, and counts the bytes of both if there is a meter.
    pub fn new(prefix: BytesMut, stream: TcpStream, meter: Option<Meter>) -> Self {
        if let Some(meter) = &meter {
            meter.record_received(prefix.len());
        }
        Self { prefix, stream: Metered::new(stream, meter) }
    }
}

impl AsyncRead for PrefixedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.prefix.is_empty() {
            return Pin::new(&mut self.stream).poll_read(cx, buf);
        }
        let taken = self.prefix.len().min(buf.remaining());
        buf.put_slice(&self.prefix[..taken]);
        self.prefix.advance(taken);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for PrefixedStream {
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
}
