//! Bodies that are sent to other daemons.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};

use baobabreel_core::id::RouteName;
use baobabreel_core::link::Pacer;
use bytes::Bytes;
use http::{HeaderValue, Request};
use http_body::{Body, Frame, SizeHint};
use tokio::time::Sleep;

use super::{Links, Reservation};
use crate::proxy::body::{BodyError, ProxyBody};
use crate::proxy::headers;
use crate::proxy::request_body::RequestBody;
use crate::sync::lock;

/// Largest piece that is sent at once, in bytes: 6.6 ms of a link of 10 Mbit/s, the time for which a short call may
/// wait behind it.
const PIECE_BYTES: usize = 8 * 1024;

/// How a body is sent to another daemon.
#[derive(Debug)]
pub struct Sending {
    /// State of this instance's link.
    pub links: Arc<Links>,
    /// Place in the outgoing direction, if it was reserved.
    pub reservation: Option<Reservation>,
    /// Identifier of the grant of the other daemon, if there is one.
    pub grant: Option<u64>,
    /// Rate that the other daemon allows.
    pub bytes_per_sec: Option<f64>,
    /// Route of a request whose body has no known length, to record the length.
    pub record_length: Option<RouteName>,
}

impl Sending {
    /// A body that has no grant, paced by the link of this instance only.
    #[must_use]
    pub fn ungranted(links: &Arc<Links>, record_length: Option<RouteName>) -> Self {
        let links = Arc::clone(links);
        Self { links, reservation: None, grant: None, bytes_per_sec: None, record_length }
    }

    /// Records the length of the body if it was not known before.
    pub fn record_length(&self, bytes: u64) {
        if let Some(route) = &self.record_length {
            self.links.record_length(route, bytes);
        }
    }

    /// Adds the grant to a request, and makes its body be sent at the granted rate.
    #[must_use]
    pub fn apply(self, mut req: Request<ProxyBody>) -> Request<ProxyBody> {
        let Some(budgets) = &self.links.budgets else { return req };
        if let Some(grant) = self.grant {
            req.headers_mut().insert(headers::BODY_GRANT, HeaderValue::from(grant));
        }
        let own = lock(&budgets.outbound).bytes_per_sec();
        let rate = self.bytes_per_sec.unwrap_or(own).min(own);
        if let Some(reservation) = &self.reservation {
            // The place may have expired while the host had the body wait.
            let length = req.body().size_hint().lower();
            lock(&budgets.outbound).begin(reservation.id, length);
        }
        req.map(|body| {
            body.map_source(|inner| {
                RequestBody::Paced(Box::new(Paced {
                    inner,
                    sending: self,
                    pacer: Pacer::new(rate),
                    wait: None,
                    next: None,
                    rest: Bytes::new(),
                    passed: 0,
                }))
            })
        })
    }
}

/// Body whose bytes are spread at a rate.
#[derive(Debug)]
pub struct Paced {
    inner: RequestBody,
    sending: Sending,
    pacer: Pacer,
    wait: Option<Pin<Box<Sleep>>>,
    /// Piece that is sent after `wait`.
    next: Option<Bytes>,
    /// Bytes that follow `next` and have been read.
    rest: Bytes,
    /// Bytes sent so far.
    passed: u64,
}

impl Paced {
    pub(in crate::proxy) fn poll(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        loop {
            if let Some(wait) = &mut self.wait {
                ready!(wait.as_mut().poll(cx));
                self.wait = None;
            }
            if let Some(piece) = self.next.take() {
                self.record_passed(piece.len());
                return Poll::Ready(Some(Ok(Frame::data(piece))));
            }
            if self.rest.is_empty() {
                match ready!(Pin::new(&mut self.inner).poll_frame(cx)) {
                    Some(Ok(frame)) => match frame.into_data() {
                        Ok(data) => self.rest = data,
                        Err(other) => return Poll::Ready(Some(Ok(other))),
                    },
                    Some(Err(e)) => return Poll::Ready(Some(Err(e))),
                    None => {
                        self.sending.record_length(self.passed);
                        return Poll::Ready(None);
                    }
                }
                continue;
            }
            let piece = self.rest.split_to(PIECE_BYTES.min(self.rest.len()));
            self.schedule(piece);
        }
    }

    /// Sets the time at which a piece is sent.
    fn schedule(&mut self, piece: Bytes) {
        let links = &self.sending.links;
        let now = links.clock.now();
        let own = self.pacer.reserve(piece.len(), now);
        let shared = links
            .budgets
            .as_ref()
            .map_or(now, |budgets| lock(&budgets.pacer).reserve(piece.len(), now));
        let wait = own.max(shared).saturating_sub(now);
        self.wait = (!wait.is_zero()).then(|| Box::pin(tokio::time::sleep(wait)));
        self.next = Some(piece);
    }

    fn record_passed(&mut self, bytes: usize) {
        self.passed += bytes as u64;
        let Some(budgets) = &self.sending.links.budgets else { return };
        budgets.sent.fetch_add(bytes as u64, Ordering::Relaxed);
        if let Some(reservation) = &self.sending.reservation {
            lock(&budgets.outbound).arrived(reservation.id, bytes as u64);
        }
    }

    pub(in crate::proxy) fn is_end_stream(&self) -> bool {
        self.next.is_none() && self.rest.is_empty() && self.inner.is_end_stream()
    }

    pub(in crate::proxy) fn size_hint(&self) -> SizeHint {
        let held = self.next.as_ref().map_or(0, Bytes::len) + self.rest.len();
        match self.inner.size_hint().exact() {
            Some(left) => SizeHint::with_exact(left + held as u64),
            None => SizeHint::default(),
        }
    }
}
