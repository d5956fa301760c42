//! Reads requests and dispatches each one as soon as its head is whole.

use bytes::BytesMut;
use http::{Method, Request, Version};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::chunks::{ChunkDecoder, Piece, take_at_most};
use super::head::{self, Framing, Head};
use super::writer::{Answer, Pending};
use super::{HeadFault, Service};
use crate::proxy::{BodySender, RequestBody, body_pipe};

/// Bytes that the buffer grows by.
const READ_BYTES: usize = 8 * 1024;

/// Why no further request is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The caller closed the connection, or it broke.
    Gone,
    /// No further request is wanted, or none came in time.
    Finished,
}

/// Reader of one connection.
#[derive(Debug)]
pub(super) struct Reader<S> {
    read: OwnedReadHalf,
    buf: BytesMut,
    service: S,
    /// Ends reading after the current request.
    last: CancellationToken,
    stop: CancellationToken,
}

impl<S: Service> Reader<S> {
    pub(super) fn new(
        read: OwnedReadHalf,
        buf: BytesMut,
        service: S,
        last: CancellationToken,
        stop: CancellationToken,
    ) -> Self {
        Self { read, buf, service, last, stop }
    }

    /// Reads until the caller is gone. Once no further request is wanted, `answers` is closed and the
    /// connection is only watched.
    pub(super) async fn run(mut self, answers: mpsc::Sender<Pending>) {
        if self.read_requests(answers).await == End::Finished {
            self.watch().await;
        }
    }

    async fn read_requests(&mut self, answers: mpsc::Sender<Pending>) -> End {
        loop {
            let head = match self.next_head(&answers).await {
                Ok(Ok(head)) => head,
                Ok(Err(end)) => return end,
                Err(fault) => {
                    let answer = Answer::Made(Box::new(self.service.refuse(fault)));
                    let refusal = Pending::new(answer, &Method::GET, Version::HTTP_11, true);
                    // The writer has ended when it does not take the refusal.
                    return answers.send(refusal).await.map_or(End::Gone, |()| End::Finished);
                }
            };
            match self.dispatch(head, &answers).await {
                Ok(true) => {}
                Ok(false) => return End::Finished,
                Err(end) => return end,
            }
        }
    }

    /// Dispatches a request and reads its body; returns whether another one may follow.
    async fn dispatch(&mut self, head: Head, answers: &mpsc::Sender<Pending>) -> Result<bool, End> {
        let Head { request, framing, keep_alive, expects_continue } = head;
        let closing = self.service.is_closing() || self.stop.is_cancelled();
        let may_follow = keep_alive && !closing;
        let (method, version) = (request.method().clone(), request.version());
        let (body, rest) = self.body(framing);
        if expects_continue && rest.is_some() {
            let go_on = Pending::new(Answer::Continue, &method, version, false);
            answers.send(go_on).await.ok().ok_or(End::Gone)?;
        }
        let (parts, ()) = request.into_parts();
        let task = tokio::spawn(self.service.call(Request::from_parts(parts, body)));
        let answer = Answer::Task(task.into());
        let pending = Pending::new(answer, &method, version, !may_follow);
        answers.send(pending).await.ok().ok_or(End::Gone)?;
        if let Some((mut sender, framing)) = rest {
            self.read_body(&mut sender, framing).await?;
            sender.finish().await;
        }
        Ok(may_follow)
    }

    /// Body of a request, and how to read what has not come yet.
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

    async fn read_body(&mut self, sender: &mut BodySender, framing: Framing) -> Result<(), End> {
        match framing {
            Framing::Length(length) => self.read_length(sender, length).await,
            Framing::Chunked => self.read_chunks(sender).await,
        }
    }

    async fn read_length(&mut self, sender: &mut BodySender, mut left: u64) -> Result<(), End> {
        while left > 0 {
            if self.buf.is_empty() {
                self.fill().await?;
            }
            let data = take_at_most(&mut self.buf, left);
            left -= data.len() as u64;
            sender.send(data).await;
        }
        Ok(())
    }

    async fn read_chunks(&mut self, sender: &mut BodySender) -> Result<(), End> {
        let mut decoder = ChunkDecoder::default();
        loop {
            // A body that cannot be read leaves no place at which the next request could begin.
            match decoder.next(&mut self.buf).ok().ok_or(End::Finished)? {
                Piece::Data(data) => sender.send(data).await,
                Piece::End => return Ok(()),
                Piece::Missing => self.fill().await?,
            }
        }
    }

    /// Waits for the head of the next request.
    async fn next_head(
        &mut self,
        answers: &mpsc::Sender<Pending>,
    ) -> Result<Result<Head, End>, HeadFault> {
        let limits = self.service.limits();
        let mut begun = None;
        loop {
            if self.last.is_cancelled() {
                return Ok(Err(End::Finished));
            }
            if !self.buf.is_empty() {
                if let Some(head) = head::take(&mut self.buf)? {
                    return Ok(Ok(head));
                }
                if self.buf.len() > limits.bytes {
                    return Err(HeadFault::TooLarge);
                }
                begun.get_or_insert_with(Instant::now);
            }
            let until = match begun {
                Some(begun) => begun + limits.timeout,
                // An answer may take longer than a connection may be idle.
                None if answers.capacity() < answers.max_capacity() => {
                    Instant::now() + limits.idle * 4
                }
                None => Instant::now() + limits.idle,
            };
            tokio::select! {
                filled = fill(&mut self.read, &mut self.buf) => {
                    if let Err(end) = filled {
                        return Ok(Err(end));
                    }
                }
                () = self.last.cancelled() => return Ok(Err(End::Finished)),
                () = self.stop.cancelled(), if begun.is_none() => return Ok(Err(End::Finished)),
                () = tokio::time::sleep_until(until) => {
                    return if begun.is_some() { Err(HeadFault::TooSlow) } else { Ok(Err(End::Finished)) };
                }
            }
        }
    }

    async fn fill(&mut self) -> Result<(), End> {
        fill(&mut self.read, &mut self.buf).await
    }

    /// Reads over what comes until the caller closes the connection.
    async fn watch(&mut self) {
        loop {
            self.buf.clear();
            if self.fill().await.is_err() {
                return;
            }
        }
    }
}

async fn fill(read: &mut OwnedReadHalf, buf: &mut BytesMut) -> Result<(), End> {
    buf.reserve(READ_BYTES);
    match read.read_buf(buf).await {
        Ok(0) => Err(End::Gone),
        Ok(_) => Ok(()),
        Err(e) => {
            tracing::trace!(error = %e, "connection of a caller broke");
            Err(End::Gone)
        }
    }
}
