//! Reads requests and dispatches each one as soon as its head is complete.

use std::io;
use std::sync::Arc;

use baobabreel_core::link::LARGE_BODY_BYTES;
use bytes::BytesMut;
use futures_util::FutureExt;
use http::{Method, Request, StatusCode, Version};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::{Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::body_rest::BodyRest;
use super::chunks::{ChunkDecoder, Decoded, take_at_most};
use super::head::{self, Framing, Head};
use super::writer::{PendingResponse, ResponseSource};
use super::{Delivery, HeadError, MAX_DISCARDED_BYTES, Service};
use crate::callers::{BUFFER_BYTES, CallerConnection};
use crate::proxy::{BodySender, RequestBody, RequestsAhead, body_pipe, held_section_bytes};

/// Free space in the buffer before each read, in bytes.
const MIN_BUFFER_SPACE_BYTES: usize = 8 * 1024;

/// Why reading requests ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ReadEnd {
    /// The caller closed the connection, or reading from it failed.
    Disconnected,
    /// The connection is to be closed, or no further request came in time.
    Finished,
}

/// Reader of one connection.
#[derive(Debug)]
pub(super) struct Reader<S> {
    read: OwnedReadHalf,
    buf: BytesMut,
    service: S,
    /// Cancelled by the writer when it is about to close the connection.
    no_more_requests: CancellationToken,
    /// Told of input that arrives after the last request.
    late_input: Arc<Notify>,
    connection: Arc<CallerConnection>,
    /// Size of `buf` that counts towards what the connection holds.
    counted_buffer: usize,
    /// Requests that were sent before the last one without waiting for their responses; see [`requests_ahead`]. `None`
    /// before the first.
    ahead: Option<u32>,
}

impl<S: Service> Reader<S> {
    pub(super) fn new(
        read: OwnedReadHalf,
        buf: BytesMut,
        service: S,
        no_more_requests: CancellationToken,
        late_input: Arc<Notify>,
        connection: Arc<CallerConnection>,
    ) -> Self {
        Self {
            read,
            buf,
            service,
            no_more_requests,
            late_input,
            connection,
            counted_buffer: 0,
            ahead: None,
        }
    }

    /// Reads until the caller disconnects. After the last request, `answers` is closed and the rest of the
    /// input is discarded.
    pub(super) async fn run(mut self, answers: mpsc::Sender<PendingResponse<S::Delivery>>) {
        if self.read_requests(answers).await == ReadEnd::Finished {
            self.wait_for_disconnect().await;
        }
    }

    async fn read_requests(
        &mut self,
        answers: mpsc::Sender<PendingResponse<S::Delivery>>,
    ) -> ReadEnd {
        loop {
            let head = match self.next_head(&answers).await {
                Ok(Ok(head)) => head,
                Ok(Err(end)) => return end,
                Err(head_error) => {
                    let pending = self.refusal(head_error, &Method::GET, Version::HTTP_11);
                    // Sending fails only if the writer has ended.
                    return answers
                        .send(pending)
                        .await
                        .map_or(ReadEnd::Disconnected, |()| ReadEnd::Finished);
                }
            };
            match self.dispatch(head, &answers).await {
                Ok(true) => {}
                Ok(false) => return ReadEnd::Finished,
                Err(end) => return end,
            }
        }
    }

    /// Response to a request that is not passed on; the connection is closed after it.
    fn refusal(
        &self,
        head_error: HeadError,
        method: &Method,
        version: Version,
    ) -> PendingResponse<S::Delivery> {
        let res = self.service.error_response(head_error);
        let source = ResponseSource::Immediate(Box::new(res));
        PendingResponse::new(source, method, version, true)
    }

    /// Dispatches a request and reads its body; returns whether another request may follow.
    async fn dispatch(
        &mut self,
        head: Head,
        answers: &mpsc::Sender<PendingResponse<S::Delivery>>,
    ) -> Result<bool, ReadEnd> {
        let Head { request, framing, keep_alive, expects_continue } = head;
        let closing = self.service.is_closing() || self.connection.stop.is_cancelled();
        let may_follow = keep_alive && !closing;
        let (method, version) = (request.method().clone(), request.version());
        let (body, unread) = self.body(framing);
        if expects_continue && unread.is_some() {
            let continue_pending =
                PendingResponse::new(ResponseSource::Continue, &method, version, false);
            answers.send(continue_pending).await.ok().ok_or(ReadEnd::Finished)?;
        }
        // Before the request is passed on: the writer may close the connection while none is waiting.
        let place = answers.reserve().await.ok().ok_or(ReadEnd::Finished)?;
        let (rest, unread_body) =
            unread.as_ref().map(|(sender, framing)| BodyRest::new(sender, *framing)).unzip();
        let held_body = held_body_bytes(framing);
        let Some(pending) = self.start(request.map(|()| body), held_body, !may_follow) else {
            // The rest of the request is not read.
            place.send(self.refusal(HeadError::NoRoom, &method, version));
            return Ok(false);
        };
        place.send(pending.with_unread_body(unread_body));
        if let (Some((mut sender, framing)), Some(mut rest)) = (unread, rest) {
            self.read_body(&mut sender, framing, &mut rest).await?;
            sender.finish().await;
        }
        Ok(may_follow)
    }

    /// Starts the task that handles a request; `None` if there is no room for it. The future of the task is large, so
    /// it must not become a part of that of the connection.
    fn start(
        &self,
        mut req: Request<RequestBody>,
        held_body: usize,
        close: bool,
    ) -> Option<PendingResponse<S::Delivery>> {
        let (method, version) = (req.method().clone(), req.version());
        req.extensions_mut().insert(RequestsAhead(self.ahead.unwrap_or_default()));
        let held_head = held_section_bytes(req.uri(), req.headers());
        let delivery = self.service.begin_delivery(&req);
        let call = self.service.call(req);
        let Some(mut held) = self.connection.admit(size_of_val(&call) + held_head + held_body)
        else {
            delivery.written();
            return None;
        };
        let call = call.map(move |res| {
            let is_refusal = res.status() == StatusCode::SERVICE_UNAVAILABLE;
            held.respond(res.body().held_bytes(), is_refusal);
            (res, held)
        });
        let source = ResponseSource::Task(tokio::spawn(call).into());
        Some(PendingResponse::new(source, &method, version, close).tracked_by(delivery))
    }

    /// Returns the body of a request; if it is not completely in the buffer, also the sender and
    /// the framing to read the rest with.
    fn body(&mut self, framing: Framing) -> (RequestBody, Option<(BodySender, Framing)>) {
        if let Framing::Length(length) = framing {
            let whole = usize::try_from(length).ok().filter(|length| *length <= self.buf.len());
            if let Some(length) = whole {
                return (RequestBody::whole(self.buf.split_to(length).freeze()), None);
            }
        }
        let length = match framing {
            Framing::Length(length) => Some(length),
            Framing::Chunked => None,
        };
        let (sender, body) = body_pipe(length);
        (body, Some((sender, framing)))
    }

    async fn read_body(
        &mut self,
        sender: &mut BodySender,
        framing: Framing,
        rest: &mut BodyRest,
    ) -> Result<(), ReadEnd> {
        match framing {
            Framing::Length(length) => self.read_length(sender, length, rest).await,
            Framing::Chunked => self.read_chunks(sender, rest).await,
        }
    }

    async fn read_length(
        &mut self,
        sender: &mut BodySender,
        mut remaining: u64,
        rest: &mut BodyRest,
    ) -> Result<(), ReadEnd> {
        if remaining > LARGE_BODY_BYTES {
            // A large body is not read before a backend server has been found for it.
            sender.wait_until_wanted().await;
        }
        while remaining > 0 {
            if remaining > MAX_DISCARDED_BYTES && sender.is_abandoned() {
                return Err(ReadEnd::Finished);
            }
            if self.buf.is_empty() {
                self.fill_body(sender, rest).await?;
            }
            let data = take_at_most(&mut self.buf, remaining);
            remaining -= data.len() as u64;
            rest.set_left(remaining);
            sender.send(data).await;
        }
        Ok(())
    }

    async fn read_chunks(
        &mut self,
        sender: &mut BodySender,
        rest: &mut BodyRest,
    ) -> Result<(), ReadEnd> {
        let mut decoder = ChunkDecoder::default();
        let mut discarded = 0;
        loop {
            if discarded > MAX_DISCARDED_BYTES {
                return Err(ReadEnd::Finished);
            }
            // After an invalid body the start of the next request is unknown.
            match decoder.next(&mut self.buf).ok().ok_or(ReadEnd::Finished)? {
                Decoded::Data(data) if sender.is_abandoned() => discarded += data.len() as u64,
                Decoded::Data(data) => sender.send(data).await,
                Decoded::End => return Ok(()),
                Decoded::NeedsInput => self.fill_body(sender, rest).await?,
            }
        }
    }

    /// Reads more of a body. The rest of one that nobody needs any more has as long as an idle connection, and the
    /// connection may be closed in favour of others.
    async fn fill_body(&mut self, sender: &BodySender, rest: &mut BodyRest) -> Result<(), ReadEnd> {
        let idle = self.service.limits().idle;
        let stop = self.connection.stop.clone();
        tokio::select! {
            biased;
            filled = fill_waited(&mut self.read, &mut self.buf, &self.connection) => filled,
            () = rest.given_up(sender, idle, &stop) => Err(ReadEnd::Finished),
        }
    }

    /// Reads the head of the next request. The outer error is one to report to the caller; the inner one
    /// ends reading without a response.
    async fn next_head(
        &mut self,
        answers: &mpsc::Sender<PendingResponse<S::Delivery>>,
    ) -> Result<Result<Head, ReadEnd>, HeadError> {
        let limits = self.service.limits();
        let mut started = None;
        self.connection.wait_to_read().await;
        // A caller that waits for its responses sends nothing before the last one has been written.
        let mut is_ahead = true;
        if self.buf.is_empty() {
            match self.fill().now_or_never() {
                Some(Ok(())) => {}
                Some(Err(end)) => return Ok(Err(end)),
                None => is_ahead = false,
            }
        }
        if let Some(ahead) = self.ahead.filter(|_| is_ahead) {
            self.connection.wait_for_turn(ahead).await;
        }
        loop {
            let has_room = self.count_buffer();
            if self.no_more_requests.is_cancelled() {
                return Ok(Err(ReadEnd::Finished));
            }
            if !self.buf.is_empty() {
                if let Some(head) = head::take_head(&mut self.buf)? {
                    self.ahead = Some(requests_ahead(self.ahead, is_ahead));
                    return Ok(Ok(head));
                }
                if self.buf.len() > limits.bytes {
                    return Err(HeadError::TooLarge);
                }
                if !has_room {
                    return Err(HeadError::NoRoom);
                }
                started.get_or_insert_with(Instant::now);
            }
            let deadline = match started {
                Some(started) => started + limits.timeout,
                // A response is pending, and it may take longer than the idle timeout.
                None if answers.capacity() < answers.max_capacity() => {
                    Instant::now() + limits.idle * 4
                }
                None => Instant::now() + limits.idle,
            };
            let (read, buf, connection) = (&mut self.read, &mut self.buf, &self.connection);
            let filling = async {
                match started {
                    Some(_) => fill_waited(read, buf, connection).await,
                    None => fill(read, buf, connection).await,
                }
            };
            tokio::select! {
                // A request that has arrived is read before the connection closes.
                biased;
                filled = filling => {
                    if let Err(end) = filled {
                        return Ok(Err(end));
                    }
                    is_ahead |= started.is_none() && self.connection.requests() > 0;
                }
                () = self.no_more_requests.cancelled() => return Ok(Err(ReadEnd::Finished)),
                () = self.connection.stop.cancelled(), if started.is_none() => return Ok(Err(ReadEnd::Finished)),
                () = tokio::time::sleep_until(deadline) => {
                    return if started.is_some() { Err(HeadError::TooSlow) } else { Ok(Err(ReadEnd::Finished)) };
                }
            }
        }
    }

    /// Counts the read buffer beyond the size that every connection has; returns whether there is room for more.
    fn count_buffer(&mut self) -> bool {
        let size = self.buf.capacity().saturating_sub(MIN_BUFFER_SPACE_BYTES);
        let counted = std::mem::replace(&mut self.counted_buffer, size);
        counted == size || self.connection.resize_buffer(counted, size)
    }

    async fn fill(&mut self) -> Result<(), ReadEnd> {
        fill(&mut self.read, &mut self.buf, &self.connection).await
    }

    /// Discards input until the caller closes the connection.
    async fn wait_for_disconnect(&mut self) {
        loop {
            self.buf.clear();
            if self.fill().await.is_err() {
                return;
            }
            self.late_input.notify_one();
        }
    }
}

/// Number of requests that the caller has sent ahead of the next one; `last` is that of the request before it.
///
/// A caller that does not wait can look as if it did, when all that it sent has just been read. So the number falls by
/// halves only.
fn requests_ahead(last: Option<u32>, is_ahead: bool) -> u32 {
    match last {
        None => 0,
        Some(last) if is_ahead => last.saturating_add(1),
        Some(last) => last / 2,
    }
}

/// Most bytes of a body that are in memory at once.
fn held_body_bytes(framing: Framing) -> usize {
    let most = match framing {
        Framing::Length(length) => length.min(BUFFER_BYTES),
        Framing::Chunked => BUFFER_BYTES,
    };
    usize::try_from(most).unwrap_or(usize::MAX)
}

/// Reads once from the connection and appends to `buf`, which takes no memory while a connection without a request
/// waits.
async fn fill(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    connection: &CallerConnection,
) -> Result<(), ReadEnd> {
    if buf.is_empty() {
        *buf = BytesMut::new();
    }
    loop {
        if let Err(e) = read.readable().await {
            return read_result(Err(e), connection);
        }
        buf.reserve(MIN_BUFFER_SPACE_BYTES);
        match read.try_read_buf(buf) {
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            read => return read_result(read, connection),
        }
    }
}

/// Reads more of a request that has begun, so that its caller is waited for.
async fn fill_waited(
    read: &mut OwnedReadHalf,
    buf: &mut BytesMut,
    connection: &CallerConnection,
) -> Result<(), ReadEnd> {
    buf.reserve(MIN_BUFFER_SPACE_BYTES);
    read_result(connection.await_caller(read.read_buf(buf)).await, connection)
}

fn read_result(read: io::Result<usize>, connection: &CallerConnection) -> Result<(), ReadEnd> {
    match read {
        Ok(0) => Err(ReadEnd::Disconnected),
        Ok(bytes) => {
            if let Some(meter) = connection.meter() {
                meter.record_received(bytes);
            }
            Ok(())
        }
        Err(e) => {
            tracing::trace!(error = %e, "failed to read from a caller connection");
            Err(ReadEnd::Disconnected)
        }
    }
}
