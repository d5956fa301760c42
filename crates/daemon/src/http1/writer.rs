//! Writes responses in the order of their requests.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderValue, Method, Response, StatusCode, Version};
use http_body::{Body, Frame};
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::Delivery;
use super::body_rest::UnreadBody;
use super::head::has_option;
use crate::callers::{CallerConnection, HeldRequest};
use crate::proxy::{BodyError, ProxyBody};

/// Longest time for one write; a caller that reads too slowly is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);

/// Buffered response bytes that trigger a write; the head and the start of the body share one.
const MAX_BUFFERED_BYTES: usize = 16 * 1024;

/// Request task that is aborted when the response is no longer needed.
#[derive(Debug)]
pub(super) struct AbortOnDrop(JoinHandle<HeldResponse>);

/// Response, and what it and its request hold.
type HeldResponse = (Response<ProxyBody>, HeldRequest);

impl From<JoinHandle<HeldResponse>> for AbortOnDrop {
    fn from(task: JoinHandle<HeldResponse>) -> Self {
        Self(task)
    }
}

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Where a response comes from.
#[derive(Debug)]
pub(super) enum ResponseSource {
    /// Task that handles the request.
    Task(AbortOnDrop),
    /// Response that is known already.
    Immediate(Box<Response<ProxyBody>>),
    /// `100 Continue`: the caller may send the body.
    Continue,
}

/// Response to be written after those before it.
#[derive(Debug)]
pub(super) struct PendingResponse<D> {
    source: ResponseSource,
    /// Observer of its delivery; `None` if it is not about a whole request.
    delivery: Option<D>,
    /// Whether the request method is `HEAD`.
    is_head: bool,
    version: Version,
    /// Whether the connection is closed after the response.
    close: bool,
    unread_body: Option<UnreadBody>,
}

impl<D> PendingResponse<D> {
    pub(super) fn new(
        source: ResponseSource,
        method: &Method,
        version: Version,
        close: bool,
    ) -> Self {
        let is_head = *method == Method::HEAD;
        Self { source, delivery: None, is_head, version, close, unread_body: None }
    }

    /// Sets the request body that had not been read.
    pub(super) fn with_unread_body(self, unread_body: Option<UnreadBody>) -> Self {
        Self { unread_body, ..self }
    }

    /// Sets the observer of its delivery.
    pub(super) fn tracked_by(self, delivery: D) -> Self {
        Self { delivery: Some(delivery), ..self }
    }
}

/// How the end of a response body is marked.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// The response has no body.
    None,
    /// `Content-Length`.
    Length,
    /// Chunked transfer coding.
    Chunked,
    /// The end of the connection, for HTTP/1.0.
    Close,
}

/// Writer of one connection.
#[derive(Debug)]
pub(super) struct Writer {
    write: OwnedWriteHalf,
    /// Cancelled to stop the reader before the connection is closed.
    no_more_requests: CancellationToken,
    /// When the kernel last took bytes.
    last_write: Option<Instant>,
    connection: Arc<CallerConnection>,
}

impl Writer {
    pub(super) fn new(
        write: OwnedWriteHalf,
        no_more_requests: CancellationToken,
        connection: Arc<CallerConnection>,
    ) -> Self {
        Self { write, no_more_requests, last_write: None, connection }
    }

    /// Writes responses until the last one.
    pub(super) async fn run<D: Delivery>(
        &mut self,
        mut answers: mpsc::Receiver<PendingResponse<D>>,
    ) -> io::Result<()> {
        let mut closing = false;
        while let Some(mut pending) = answers.recv().await {
            let (res, held) = match pending.source {
                ResponseSource::Immediate(res) => (*res, None),
                ResponseSource::Continue => {
                    self.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
                    continue;
                }
                ResponseSource::Task(mut task) => {
                    let (res, held) = (&mut task.0).await.map_err(io::Error::other)?;
                    (res, Some(held))
                }
            };
            if let Some(delivery) = &mut pending.delivery {
                delivery.ready();
            }
            closing |= pending.close || has_option(res.headers(), "close");
            closing |= pending.unread_body.as_ref().is_some_and(UnreadBody::ends_connection);
            if closing {
                self.no_more_requests.cancel();
            }
            // Requests that have been passed on get their responses before the connection is closed.
            let close = (closing || answers.is_closed()) && answers.is_empty();
            let closed = self.write_response(res, pending.is_head, pending.version, close).await?;
            drop(held);
            if let Some(delivery) = pending.delivery {
                delivery.written();
            }
            if let Some(unread) = pending.unread_body {
                unread.record_answered();
            }
            if closed {
                break;
            }
        }
        Ok(())
    }

    /// Ends the daemon's side of the connection; returns when the kernel last took bytes for the caller.
    pub(super) async fn finish(mut self) -> Option<Instant> {
        if let Err(e) = self.write.shutdown().await {
            tracing::trace!(error = %e, "the caller has closed the connection");
        }
        self.last_write
    }

    /// Writes one response; returns whether the connection is to be closed after it.
    async fn write_response(
        &mut self,
        res: Response<ProxyBody>,
        is_head: bool,
        version: Version,
        close: bool,
    ) -> io::Result<bool> {
        let (mut parts, mut body) = res.into_parts();
        let framing = framing(&parts, &body, is_head, version);
        let close = close || framing == Framing::Close;
        parts.headers.remove(CONNECTION);
        if close {
            parts.headers.insert(CONNECTION, HeaderValue::from_static("close"));
        } else if version == Version::HTTP_10 {
            parts.headers.insert(CONNECTION, HeaderValue::from_static("keep-alive"));
        }
        match framing {
            Framing::Chunked => {
                parts.headers.remove(CONTENT_LENGTH);
                parts.headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
            }
            Framing::Length => {
                if let Some(length) = body.size_hint().exact() {
                    parts.headers.insert(CONTENT_LENGTH, HeaderValue::from(length));
                }
            }
            Framing::None | Framing::Close => {}
        }
        let mut buf = write_head(&parts, version);
        if framing == Framing::None {
            self.write(&buf).await?;
            return Ok(close);
        }
        loop {
            // The head is written on its own only if the first part of the body is not available yet.
            let frame = match poll_available_frame(&mut body).await {
                Some(frame) => frame,
                None => {
                    if !buf.is_empty() {
                        self.write_part(&buf, &mut body).await?;
                        buf.clear();
                    }
                    std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await
                }
            };
            match frame {
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    append_data(&mut buf, &data, framing);
                    if buf.len() >= MAX_BUFFERED_BYTES {
                        self.write_part(&buf, &mut body).await?;
                        buf.clear();
                    }
                }
                // Without its end marker the caller sees that the response is incomplete.
                Some(Err(e)) => {
                    // The caller may be slow to read, and what the body holds is of no more use.
                    drop(body);
                    self.write(&buf).await?;
                    return Err(io::Error::other(e));
                }
                None => break,
            }
        }
        if framing == Framing::Chunked {
            buf.extend_from_slice(b"0\r\n\r\n");
        }
        if !buf.is_empty() {
            self.write(&buf).await?;
        }
        Ok(close)
    }

    /// Writes what has been read of `body`, unless the body is aborted before the caller takes it.
    async fn write_part(&mut self, data: &[u8], body: &mut ProxyBody) -> io::Result<()> {
        tokio::select! {
            biased;
            written = self.write(data) => written,
            e = std::future::poll_fn(|cx| body.poll_abort(cx)) => Err(io::Error::other(e)),
        }
    }

    /// Writes everything; the caller is waited for while it takes nothing.
    async fn write_all(&mut self, mut data: &[u8]) -> io::Result<()> {
        while !data.is_empty() {
            let written = self.connection.await_caller(self.write.write(data)).await?;
            if written == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero));
            }
            if let Some(meter) = self.connection.meter() {
                meter.record_sent(written);
            }
            data = &data[written..];
        }
        Ok(())
    }

    async fn write(&mut self, data: &[u8]) -> io::Result<()> {
        match tokio::time::timeout(WRITE_TIMEOUT, self.write_all(data)).await {
            Ok(written) => {
                self.last_write = Some(Instant::now());
                written
            }
            Err(_) => Err(io::Error::from(io::ErrorKind::TimedOut)),
        }
    }
}

type PolledFrame = Option<Result<Frame<Bytes>, BodyError>>;

/// Returns the next frame if it is available without waiting.
async fn poll_available_frame(body: &mut ProxyBody) -> Option<PolledFrame> {
    std::future::poll_fn(|cx| match Pin::new(&mut *body).poll_frame(cx) {
        Poll::Ready(frame) => Poll::Ready(Some(frame)),
        Poll::Pending => Poll::Ready(None),
    })
    .await
}

/// Determines the framing of a response body.
fn framing(
    parts: &http::response::Parts,
    body: &ProxyBody,
    is_head: bool,
    version: Version,
) -> Framing {
    let bodiless = [StatusCode::NO_CONTENT, StatusCode::NOT_MODIFIED].contains(&parts.status);
    if is_head || bodiless || parts.status.is_informational() {
        Framing::None
    } else if body.size_hint().exact().is_some() {
        Framing::Length
    } else if version == Version::HTTP_11 {
        Framing::Chunked
    } else {
        Framing::Close
    }
}

fn write_head(parts: &http::response::Parts, version: Version) -> BytesMut {
    let mut buf = BytesMut::with_capacity(512);
    let protocol: &[u8] = if version == Version::HTTP_10 { b"HTTP/1.0 " } else { b"HTTP/1.1 " };
    buf.extend_from_slice(protocol);
    buf.extend_from_slice(parts.status.as_str().as_bytes());
    buf.extend_from_slice(b" ");
    buf.extend_from_slice(parts.status.canonical_reason().unwrap_or("Unknown").as_bytes());
    buf.extend_from_slice(b"\r\n");
    for (name, value) in &parts.headers {
        buf.extend_from_slice(name.as_str().as_bytes());
        buf.extend_from_slice(b": ");
        buf.extend_from_slice(value.as_bytes());
        buf.extend_from_slice(b"\r\n");
    }
    buf.extend_from_slice(b"\r\n");
    buf
}

/// Appends body data to `buf`, as one chunk if the body is chunked.
fn append_data(buf: &mut BytesMut, data: &[u8], framing: Framing) {
    if data.is_empty() {
        return;
    }
    if framing == Framing::Chunked {
        buf.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        buf.extend_from_slice(data);
        buf.extend_from_slice(b"\r\n");
    } else {
        buf.extend_from_slice(data);
    }
}
