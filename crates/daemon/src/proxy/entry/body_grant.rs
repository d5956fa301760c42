//! Grants of large bodies, which are asked for before a body is read.

use std::time::Duration;

use baobabreel_client::wire::{BodyAnswer, BodyQuery, LoadWire, decode, encode};
use baobabreel_core::balance::Failure;
use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::{RouteName, ServiceName};
use baobabreel_core::link::{BodyOffer, TransferId};
use http_body::Body;

use super::Call;
use crate::proxy::balance::CallGuard;
use crate::proxy::call_error::CallError;
use crate::proxy::caller_request::CallerBody;
use crate::proxy::link::{BODY_GRANT_PATH, Links, Reservation, Sending, source};
use crate::proxy::pool::PeerError;
use crate::proxy::request_body::RequestBody;

/// Most host daemons that are asked for one body.
const MAX_HOSTS: usize = 3;

/// Wait for the link that is accepted before other hosts have been asked; a body of 60 KB takes as long over a link of
/// 10 Mbit/s.
const SHORT_WAIT: Duration = Duration::from_millis(60);

/// Time for the answer of a host daemon; covers a round trip between distant data centres and a loaded instance.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// `Retry-After` where no host daemon answers: the time that each of them was given.
const SILENT_RETRY_AFTER: Duration = ANSWER_TIMEOUT;

/// Where and how the body of a request is sent.
#[derive(Debug, Default)]
pub(super) struct BodyGrant {
    /// Backend server that the first attempt goes to; `None` if it is chosen as for small requests.
    pub host: Option<(ServiceName, CallGuard)>,
    /// How the body is sent if the first attempt goes to another daemon.
    pub sending: Option<Sending>,
}

impl BodyGrant {
    /// Sends a body of unknown length as any other if it has turned out to be small.
    pub(super) fn release_small(&mut self, body: &CallerBody) {
        let CallerBody::Buffered(data) = body else { return };
        let is_granted =
            |sending: &Sending| sending.reservation.is_some() || sending.grant.is_some();
        if let Some(sending) = self.sending.take_if(|sending| !is_granted(sending)) {
            sending.record_length(data.len() as u64);
        }
    }
}

/// Host daemon that was asked.
#[derive(Debug)]
struct Host {
    service: ServiceName,
    guard: CallGuard,
}

/// What a host daemon said about a body.
#[derive(Debug)]
enum HostAnswer {
    Granted {
        start: Duration,
        bytes_per_sec: f64,
    },
    Wait(Duration, LoadWire),
    Refused(Duration, LoadWire),
    /// It does not know the message.
    Unsupported,
    /// It has no backend server that is able to serve.
    NotServing,
    /// It did not answer the question.
    Silent,
}

impl Call<'_> {
    /// Finds a host daemon that grants the body, and waits until the body is to start. Nothing of the body is read.
    ///
    /// A body that is small, or whose link has no known rate, needs no grant.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] if no link has room for the body in time, or if no host daemon answers.
    pub(super) async fn grant_body(&self, body: &RequestBody) -> Result<BodyGrant, CallError> {
        let links = &self.cx.links;
        let is_length_known = body.size_hint().exact().is_some();
        let record_length = (!is_length_known).then(|| self.route.name.clone());
        let bytes = links.large_length(&self.route.name, body);
        let Some(bytes) = bytes.filter(|bytes| *bytes <= self.max_body()) else {
            let is_recorded = !is_length_known && !body.is_end_stream();
            let sending = is_recorded.then(|| Sending::ungranted(links, record_length));
            return Ok(BodyGrant { host: None, sending });
        };
        self.grant_bytes(bytes, &[], record_length).await
    }

    /// Finds a host daemon that grants a body again, after attempts at the daemons `tried`. A body that is streamed has
    /// no further attempt.
    ///
    /// # Errors
    ///
    /// See [`Self::grant_body`].
    pub(super) async fn grant_again(
        &self,
        body: &CallerBody,
        tried: &[String],
    ) -> Result<BodyGrant, CallError> {
        match body {
            CallerBody::Buffered(data) if self.cx.links.is_large(data.len() as u64) => {
                self.grant_bytes(data.len() as u64, tried, None).await
            }
            _ => Ok(BodyGrant::default()),
        }
    }

    /// Finds a host daemon that grants `bytes` and is not among those `tried`, and waits until they are to start.
    async fn grant_bytes(
        &self,
        bytes: u64,
        tried: &[String],
        record_length: Option<RouteName>,
    ) -> Result<BodyGrant, CallError> {
        let Ok((service, guard)) = self.choose(tried) else {
            return Ok(BodyGrant::default());
        };
        if guard.name() == self.cx.identity.id {
            self.cx.metrics.record_body("local", bytes, Duration::ZERO);
            return Ok(BodyGrant { host: Some((service, guard)), sending: None });
        }
        let id: TransferId = rand::random();
        let reservation = self.reserve_own_link(id, bytes)?;
        let not_before = reservation.as_ref().map_or(Duration::ZERO, |place| place.start);
        let mut sending = Sending::ungranted(&self.cx.links, record_length);
        sending.reservation = reservation;
        let found = self.find_host(id, bytes, not_before, Host { service, guard }, tried).await;
        let Some((host, answer)) = found.inspect_err(|_| {
            self.cx.metrics.record_body("refused_by_host", bytes, Duration::ZERO);
        })?
        else {
            self.cx.metrics.record_body("not_asked", bytes, Duration::ZERO);
            return Ok(BodyGrant { host: None, sending: Some(sending) });
        };
        let (start, result) = match answer {
            HostAnswer::Granted { start, bytes_per_sec } => {
                (sending.grant, sending.bytes_per_sec) = (Some(id), Some(bytes_per_sec));
                (start, "granted")
            }
            _ => (not_before, "not_asked"),
        };
        let wait = start.saturating_sub(self.cx.clock.now());
        self.cx.metrics.record_body(result, bytes, wait);
        tokio::time::sleep(wait).await;
        // The time spent waiting is not the backend server's.
        let (service, name) = (host.service, host.guard.shared_name());
        let guard = self.cx.balance.choose_again(&service, name, self.cx.clock);
        drop(host.guard);
        let host = guard.map(|guard| (service, guard));
        Ok(BodyGrant { host, sending: Some(sending) })
    }

    /// Time after which the response is of no use.
    fn useful_until(&self) -> Duration {
        self.target.unwrap_or(self.deadline).min(self.deadline)
    }

    /// Takes a place on the link of this instance.
    fn reserve_own_link(
        &self,
        id: TransferId,
        bytes: u64,
    ) -> Result<Option<Reservation>, CallError> {
        let now = self.cx.clock.now();
        let offer = BodyOffer {
            id,
            bytes,
            class: self.class,
            source: source(&self.route.name, self.tenant_name().as_deref()),
            not_before: now,
            arrive_by: self.useful_until(),
            max_wait: None,
        };
        Links::reserve(&self.cx.links, &offer).map_err(|retry_after| {
            self.cx.metrics.record_body("refused_by_own_link", bytes, Duration::ZERO);
            let detail = "the link of the entry daemon has no room for the body in time";
            CallError::new(ErrorKind::Overloaded, detail).with_retry_after(retry_after)
        })
    }

    fn tenant_name(&self) -> Option<String> {
        self.tenant.as_ref().map(|tenant| tenant.tenant.name.clone())
    }

    /// Asks host daemons but those `tried`, beginning with `first`, for a grant with a short wait, and then the one with the shortest
    /// wait for any grant. `None` if none is able to serve.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Overloaded`] if none grants the body and one of them refuses it or is silent. A body that were sent
    /// without a grant would use the link of a silent daemon even if that link is what keeps it from answering.
    async fn find_host(
        &self,
        id: TransferId,
        bytes: u64,
        not_before: Duration,
        first: Host,
        tried: &[String],
    ) -> Result<Option<(Host, HostAnswer)>, CallError> {
        let most = tried.len() + MAX_HOSTS;
        let mut tried = tried.to_vec();
        let mut shortest: Option<(Host, Duration)> = None;
        let mut retry_after: Option<Duration> = None;
        let mut is_silent = false;
        let mut next = Some(first);
        while let Some(mut host) = next.take() {
            tried.push(host.guard.name().to_owned());
            match self.ask_host(&host, id, bytes, not_before, Some(SHORT_WAIT)).await {
                answer @ (HostAnswer::Granted { .. } | HostAnswer::Unsupported) => {
                    return Ok(Some((host, answer)));
                }
                HostAnswer::Wait(wait, load) => {
                    host.guard.record_full(load.into());
                    if shortest.as_ref().is_none_or(|(_, known)| wait < *known) {
                        shortest = Some((host, wait));
                    }
                }
                HostAnswer::Refused(after, load) => {
                    host.guard.record_full(load.into());
                    retry_after = Some(retry_after.map_or(after, |known| known.min(after)));
                }
                HostAnswer::NotServing => host.guard.record_failure(Failure::Refused),
                HostAnswer::Silent => is_silent = true,
            }
            if tried.len() < most {
                let chosen = self.choose(&tried).ok();
                next = chosen.map(|(service, guard)| Host { service, guard });
            }
        }
        if let Some((host, _)) = shortest {
            match self.ask_host(&host, id, bytes, not_before, None).await {
                answer @ (HostAnswer::Granted { .. } | HostAnswer::Unsupported) => {
                    return Ok(Some((host, answer)));
                }
                HostAnswer::Refused(after, _) | HostAnswer::Wait(after, _) => {
                    retry_after = Some(retry_after.map_or(after, |known| known.min(after)));
                }
                HostAnswer::Silent => is_silent = true,
                HostAnswer::NotServing => {}
            }
        }
        let (detail, after) = match retry_after {
            Some(after) => ("no backend server can receive and run the body in time", after),
            None if is_silent => {
                ("no daemon answers whether the body has room", SILENT_RETRY_AFTER)
            }
            None => return Ok(None),
        };
        Err(CallError::new(ErrorKind::Overloaded, detail).with_retry_after(after))
    }

    /// Asks one host daemon.
    async fn ask_host(
        &self,
        host: &Host,
        id: TransferId,
        bytes: u64,
        not_before: Duration,
        max_wait: Option<Duration>,
    ) -> HostAnswer {
        let cx = self.cx;
        if host.guard.name() == cx.identity.id {
            // The body does not leave the instance.
            return HostAnswer::Unsupported;
        }
        let view = cx.view.load_full();
        let Some(member) = view.find(&host.service, host.guard.name()) else {
            return HostAnswer::NotServing;
        };
        let now = cx.clock.now();
        let remaining = self.useful_until().saturating_sub(now);
        let query = BodyQuery {
            id,
            route: self.route.name.clone(),
            service: host.service.clone(),
            bytes,
            class: self.class,
            tenant: self.tenant_name(),
            remaining_ms: millis(remaining),
            not_before_ms: millis(not_before.saturating_sub(now)),
            max_wait_ms: max_wait.map(millis),
        };
        let Ok(data) = encode(&query) else { return HostAnswer::Unsupported };
        cx.metrics.record_control_bytes("out", data.len());
        let timeout = ANSWER_TIMEOUT.min(remaining);
        let answer = match cx.peers.control(member.peer_addr, BODY_GRANT_PATH, data, timeout).await
        {
            Ok(answer) => answer,
            Err(e) if e.is_unknown_message() => return HostAnswer::Unsupported,
            // It knows the message and has no room even for that.
            Err(e @ PeerError::Refused(_)) => {
                tracing::debug!(to = %member.peer_addr, error = %e, "a question about a body was refused");
                return HostAnswer::Silent;
            }
            Err(PeerError::NotSent(_) | PeerError::Lost(_)) => {
                cx.balance.record_unreachable(&host.service, member, cx.clock.now());
                return HostAnswer::Silent;
            }
        };
        cx.metrics.record_control_bytes("in", answer.len());
        cx.balance.record_answer(&member.data_centre);
        match decode(&answer) {
            Ok(BodyAnswer::Granted { start_ms, bytes_per_sec }) => HostAnswer::Granted {
                start: cx.clock.now() + Duration::from_millis(start_ms),
                bytes_per_sec: bytes_per_sec as f64,
            },
            Ok(BodyAnswer::Wait { wait_ms, load }) => {
                HostAnswer::Wait(Duration::from_millis(wait_ms), load)
            }
            Ok(BodyAnswer::Refused { retry_after_ms, load }) => {
                HostAnswer::Refused(Duration::from_millis(retry_after_ms), load)
            }
            Ok(BodyAnswer::NotServing) => HostAnswer::NotServing,
            Err(e) => {
                tracing::warn!(to = %member.peer_addr, error = %e, "malformed answer about a body");
                HostAnswer::Unsupported
            }
        }
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
