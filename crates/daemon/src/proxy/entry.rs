//! Requests of callers.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{CallHead, KeyHead};
use baobabreel_core::balance::{LoadReport, RoomSearch};
use baobabreel_core::config::{CompiledConfig, Route};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::ServiceName;
use baobabreel_core::idempotency::{
    Attempt as KeyAttempt, Key, Request as KeyedRequest, Route as KeyRoute, unreachable_owner,
};
use baobabreel_core::registry::Incarnate;
use baobabreel_core::retry::{Attempt, Failure, RetryDecision, decide, hedge_after};
use baobabreel_core::routing::{RequestLine, find_route};
use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, Version};

use super::answer::CallError;
use super::balance::{EntryGuard, RouteState};
use super::body::{Guard, ProxyBody};
use super::dispatch::PeerAnswer;
use super::keyed::{self, WholeRequest};
use super::lines::{self, AnsweredBy, CallerLine, FailedAttempt};
use super::replay::CallerRequest;
use super::request_body::RequestBody;
use super::watch::{Callee, Terms};
use super::{dispatch, headers, host};
use crate::context::{Cx, Phase};
use crate::telemetry::{Span, TraceContext};

/// Decision about one request; pins one version of the configuration.
struct Call<'a> {
    cx: &'a Cx,
    config: Arc<CompiledConfig>,
    route: Arc<Route>,
    /// Service that the request goes to; drawn once when the route has several.
    service: ServiceName,
    state: Arc<RouteState>,
    deadline: Duration,
    /// Time by which the answer is of full use.
    target: Option<Duration>,
    /// Identifier of the request, for the lines about it.
    request_id: String,
    marked_as_retry: bool,
    span: &'a Span,
}

/// How one attempt is sent.
#[derive(Debug, Clone, Copy, Default)]
struct Sending {
    /// Whether an earlier attempt was made.
    again: bool,
    /// Whether it is to be refused when no slot is free.
    only_if_free: bool,
}

/// Serves a request of a caller.
pub async fn serve_caller(cx: Cx, req: Request<RequestBody>) -> Response<ProxyBody> {
    let _count = cx.count_request();
    let start = cx.clock.now();
    let share = cx.settings.trace_share;
    let span = Span::start("entry", TraceContext::read(req.headers()), share, start);
    let dialect = &cx.settings.dialect;
    let keyed = if dialect.own_headers { keyed::read_repeat(req.headers()) } else { None };
    let line = CallerLine::new(&cx, &req, start);
    let (route, result) = match serve(&cx, req, &span, start).await {
        Ok((route, res)) => (route, Ok(res)),
        Err(e) => {
            // Without a route it is not known whether the key counts, so it does.
            let e = match keyed {
                Some(attempt) if e.route.is_none() => keyed::before_owner(e, attempt),
                _ => e,
            };
            (e.route.clone().unwrap_or_default(), Err(e))
        }
    };
    let now = cx.clock.now();
    let ended = result.as_ref().map(|_| Outcome::Ran).map_err(|e| e.kind);
    cx.metrics.request(&route, ended, now.saturating_sub(start));
    span.finish(now, &route, ended.map_or_else(ErrorKind::name, Outcome::as_str));
    line.finish(&route, &result);
    result.unwrap_or_else(|e| e.into_response(dialect))
}

async fn serve(
    cx: &Cx,
    req: Request<RequestBody>,
    span: &Span,
    start: Duration,
) -> Result<(String, Response<ProxyBody>), CallError> {
    match cx.phase() {
        Phase::Starting => {
            return Err(CallError::new(ErrorKind::NotReady, "no configuration yet"));
        }
        Phase::Draining => {
            let mut e = CallError::new(ErrorKind::Draining, "the daemon is draining");
            e.close = true;
            return Err(e);
        }
        Phase::Serving | Phase::Closing | Phase::Leaving | Phase::Handover => {}
    }
    let (parts, body) = req.into_parts();
    if parts.method == Method::CONNECT {
        return Err(CallError::new(ErrorKind::BadRequest, "CONNECT is not supported"));
    }
    let config = cx.config.load_full();
    let route = match_route(&config, &parts)
        .cloned()
        .ok_or_else(|| CallError::new(ErrorKind::NoRoute, "no route matches"))?;
    let name = route.name.clone();
    let with_route = |mut e: CallError| {
        e.route = Some(name.clone());
        e
    };
    let call = Call::new(cx, config, route, &parts, span, start).map_err(with_route)?;
    let closing = cx.phase() > Phase::Serving;
    let mut res = call.serve(parts, body).await.map_err(with_route)?;
    if closing && res.version() == Version::HTTP_11 {
        res.headers_mut().insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok((name, res))
}

fn match_route<'a>(config: &'a CompiledConfig, parts: &Parts) -> Option<&'a Arc<Route>> {
    let header = parts.headers.get(HOST).and_then(|value| value.to_str().ok());
    let host = parts.uri.host().or(header.map(without_port)).map(str::to_ascii_lowercase);
    let line = RequestLine {
        host: host.as_deref(),
        method: parts.method.as_str(),
        path: parts.uri.path(),
    };
    find_route(config, line)
}

fn without_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
        _ => host,
    }
}

impl<'a> Call<'a> {
    fn new(
        cx: &'a Cx,
        config: Arc<CompiledConfig>,
        route: Arc<Route>,
        parts: &Parts,
        span: &'a Span,
        start: Duration,
    ) -> Result<Self, CallError> {
        let asked = headers::read_timeout(&parts.headers, &cx.settings.dialect.timeout)
            .map_err(|detail| CallError::new(ErrorKind::BadRequest, detail))?;
        let most = Duration::from_millis(route.spec.timeout_ms);
        let deadline = start + asked.map_or(most, |asked| asked.min(most));
        let own_headers = cx.settings.dialect.own_headers;
        let marked_as_retry = own_headers && parts.headers.contains_key(headers::RETRY);
        let state = cx.balance.route(&route.name);
        let service = route.spec.pick_service(rand::random()).clone();
        let target = route.spec.target_latency.map(|latency| start + latency);
        let request_id = lines::request_id(cx, &parts.headers);
        Ok(Self {
            cx,
            config,
            route,
            service,
            state,
            deadline,
            target,
            request_id,
            marked_as_retry,
            span,
        })
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.cx.clock.now())
    }

    async fn serve(
        &self,
        parts: Parts,
        body: RequestBody,
    ) -> Result<Response<ProxyBody>, CallError> {
        self.cx.balance.on_request(&self.state, &self.service, self.cx.clock.now());
        if self.cx.settings.dialect.own_headers
            && !self.route.spec.is_idempotent()
            && let Some(key) = keyed::read_key(&parts.headers)?
        {
            return self.serve_keyed(key, parts, body).await;
        }
        let mut req = self.read(parts, body, false).await?;
        self.run(&mut req).await
    }

    /// Reads what has to be in memory before the request is sent.
    async fn read(
        &self,
        parts: Parts,
        body: RequestBody,
        keep: bool,
    ) -> Result<CallerRequest, CallError> {
        let of_config = self.config.limits.as_ref().map(|limits| limits.body_bytes);
        let max_body = of_config.unwrap_or(self.cx.settings.limits.body_bytes);
        let mut req = CallerRequest::new(parts, body, max_body, keep, self.remaining()).await?;
        let dialect = &self.cx.settings.dialect;
        if dialect.own_headers {
            headers::write_trace(&mut req.headers, self.span);
        }
        if let (Some(name), Some(own)) = (&dialect.caller_service, &self.cx.settings.backend) {
            headers::write_text(&mut req.headers, name, &own.service);
        }
        Ok(req)
    }

    /// Makes attempts until one is answered or no further one is allowed.
    async fn run(&self, req: &mut CallerRequest) -> Result<Response<ProxyBody>, CallError> {
        let mut tried: Vec<String> = Vec::new();
        let mut earlier: Option<CallError> = None;
        let mut number = 1;
        let mut refusals = 0;
        let mut room = self.search_room(req);
        loop {
            let (service, guard) = match self.next(&tried, &mut room) {
                Ok(chosen) => chosen,
                // That no other one is left says less than the refusal of the one that was asked.
                Err(e) => return Err(earlier.unwrap_or(e)),
            };
            tried.push(guard.name().to_owned());
            let start = self.cx.clock.now();
            let (only_if_free, looks_further) = (room.goes_on(), room.has_begun());
            let target = (service.clone(), guard.shared_name());
            let result = if number == 1 && self.route.spec.hedge {
                self.hedged(req, service, guard, &mut tried).await
            } else {
                let sending = Sending { again: number > 1, only_if_free };
                self.attempt(req.attempt(), &service, guard, sending).await
            };
            if only_if_free && looks_further {
                self.cx.balance.looked_further(&target.0, result.is_ok());
            }
            let e = match result {
                Ok(mut res) => {
                    let daemon = tried.last().cloned().unwrap_or_default();
                    res.extensions_mut().insert(AnsweredBy { daemon, attempts: number });
                    return Ok(res);
                }
                Err(e) => e,
            };
            let failed = FailedAttempt {
                request: &self.request_id,
                to: tried.last().map_or("", String::as_str),
                number,
                start,
                remaining: self.remaining(),
                error: &e,
            };
            lines::attempt_failed(self.cx, &failed);
            if let Some(load) = e.full {
                let report = LoadReport { running: load.running, queued: load.queued };
                room.found_full(target, report, load.slots);
                continue;
            }
            let e = combine(earlier.take(), e);
            if !req.can_repeat() || !is_worth_repeating(&e) || self.remaining().is_zero() {
                return Err(e);
            }
            if is_misdirected(&e) && refusals < self.cx.settings.retry.free_refusals {
                refusals += 1;
                earlier = Some(e);
                continue;
            }
            let attempt = self.attempt_state(number, req);
            let failure = if e.is_not_run() { Failure::NotRun } else { Failure::MayHaveRun };
            if decide(&attempt, failure) != RetryDecision::Retry || !self.try_spend() {
                return Err(e);
            }
            self.cx.metrics.retry(&self.route.name);
            earlier = Some(e);
            number += 1;
        }
    }

    /// Takes a second attempt out of the budgets.
    fn try_spend(&self) -> bool {
        self.cx.balance.try_spend(&self.state, &self.service, self.cx.clock.now())
    }

    fn attempt_state(&self, number: u32, req: &CallerRequest) -> Attempt {
        Attempt {
            idempotent: self.route.spec.is_idempotent(),
            number,
            marked_as_retry: self.marked_as_retry,
            remaining: self.remaining(),
            max_retries: if req.can_repeat() { self.route.spec.retries } else { 0 },
        }
    }

    /// Starts the search for a free slot; a request that cannot be sent again waits where it is sent first.
    fn search_room(&self, req: &CallerRequest) -> RoomSearch<(ServiceName, Arc<str>)> {
        let searches = req.can_repeat() && !self.route.spec.hedge;
        let now = self.cx.clock.now();
        RoomSearch::new(if searches { self.cx.balance.looks(&self.service, now) } else { 0 })
    }

    /// Chooses a backend server to ask for a free slot; after the search, the least loaded one of those that
    /// had none, to wait there.
    fn next(
        &self,
        tried: &[String],
        room: &mut RoomSearch<(ServiceName, Arc<str>)>,
    ) -> Result<(ServiceName, EntryGuard), CallError> {
        let unasked =
            if room.goes_on() || !room.has_begun() { self.choose(tried) } else { no_other() };
        let Err(e) = unasked else { return unasked };
        let (service, name) = room.least_loaded().ok_or(e)?;
        let guard = self.cx.balance.choose_again(&service, name, self.cx.clock);
        guard.map(|guard| (service, guard)).map_or_else(no_other, Ok)
    }

    /// Chooses a backend server of the route's service, or of its fallback.
    fn choose(&self, tried: &[String]) -> Result<(ServiceName, EntryGuard), CallError> {
        dispatch::choose_of(self.cx, &self.service, self.route.spec.fallback.as_ref(), tried)
    }

    /// Sends a second copy to another backend server when the first is slower than usual.
    async fn hedged(
        &self,
        req: &mut CallerRequest,
        service: ServiceName,
        guard: EntryGuard,
        tried: &mut Vec<String>,
    ) -> Result<Response<ProxyBody>, CallError> {
        let delay = hedge_after(&self.attempt_state(1, req), &self.state.latency());
        let first = self.attempt(req.attempt(), &service, guard, Sending::default());
        let Some(delay) = delay.filter(|_| req.can_repeat()) else {
            return first.await;
        };
        let mut first = std::pin::pin!(first);
        match tokio::time::timeout(delay, &mut first).await {
            Ok(result) => return result,
            Err(_) if !self.try_spend() => {
                return first.await;
            }
            Err(_) => {}
        }
        let Ok((service, guard)) = self.choose(tried) else {
            return first.await;
        };
        tried.push(guard.name().to_owned());
        self.cx.metrics.retry(&self.route.name);
        let mut second = std::pin::pin!(self.attempt(
            req.attempt(),
            &service,
            guard,
            Sending { again: true, only_if_free: false },
        ));
        tokio::select! {
            result = &mut first => match result {
                Ok(res) => Ok(res),
                Err(e) => second.await.map_err(|later| combine(Some(e), later)),
            },
            result = &mut second => match result {
                Ok(res) => Ok(res),
                Err(e) => first.await.map_err(|later| combine(Some(e), later)),
            },
        }
    }

    async fn attempt(
        &self,
        req: Request<ProxyBody>,
        service: &ServiceName,
        guard: EntryGuard,
        sending: Sending,
    ) -> Result<Response<ProxyBody>, CallError> {
        let head = self.head(service, sending)?;
        let is_repeatable = self.route.spec.is_idempotent();
        dispatch::attempt(self.cx, &head, req, guard, self.deadline, is_repeatable).await
    }

    fn head(&self, service: &ServiceName, sending: Sending) -> Result<CallHead, CallError> {
        Ok(CallHead {
            route: self.route.name.clone(),
            service: service.clone(),
            class: self.route.spec.class,
            remaining_ms: dispatch::remaining_ms(self.cx, self.deadline)?,
            id: 0,
            retry: sending.again || self.marked_as_retry,
            version: self.config.version,
            key: None,
            target_ms: self.target.map(|target| {
                let left = target.saturating_sub(self.cx.clock.now());
                u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
            }),
            only_if_free: sending.only_if_free,
        })
    }

    /// Serves a request with a key; its body is read as a whole, since it is part of the request's
    /// fingerprint.
    async fn serve_keyed(
        &self,
        key: Key,
        parts: Parts,
        body: RequestBody,
    ) -> Result<Response<ProxyBody>, CallError> {
        let attempt = keyed::read_attempt(&parts.headers);
        let before_owner = |e| keyed::before_owner(e, attempt);
        let req = self.read(parts, body, true).await;
        let req = req.and_then(WholeRequest::new).map_err(before_owner)?;
        let head = self.head(&self.route.spec.service, Sending::default());
        let head = head.map_err(before_owner)?;
        self.ask_owner(&key, attempt, head, req).await
    }

    /// Hands a request with a key to the daemon that owns the key.
    async fn ask_owner(
        &self,
        key: &Key,
        attempt: KeyAttempt,
        mut head: CallHead,
        req: WholeRequest,
    ) -> Result<Response<ProxyBody>, CallError> {
        let request = KeyedRequest {
            service: &self.route.spec.service,
            key,
            fingerprint: req.fingerprint(),
            attempt,
        };
        let key_head = |owner: &Incarnate| KeyHead {
            key: key.as_str().to_owned(),
            fingerprint: request.fingerprint.into(),
            first: attempt == KeyAttempt::First,
            owner: Some((owner.id.clone(), owner.incarnation)),
            fallback: self.route.spec.fallback.clone(),
        };
        let cx = self.cx;
        match cx.keys.route(&request, &cx.members.load()) {
            KeyRoute::Refuse(kind) => {
                Err(CallError::new(kind, "the owner of the key cannot be asked"))
            }
            KeyRoute::Here => {
                let key_head = key_head(cx.keys.me());
                keyed::serve_as_owner(cx, head, key_head, req).await
            }
            KeyRoute::Send { owner, peer_addr } => {
                head.key = Some(key_head(&owner));
                let to = Callee { addr: peer_addr, incarnation: owner.incarnation };
                let deadline = self.deadline;
                let terms = Terms { deadline, is_repeatable: false, on_silence: || {} };
                let sent = dispatch::send_call(cx, to, &head, req.to_request(), &terms);
                let answer = sent.await.map_err(|e| owner_error(e, attempt))?;
                Ok(pass_through(cx, answer, self.deadline))
            }
        }
    }
}

fn no_other<T>() -> Result<T, CallError> {
    Err(CallError::new(ErrorKind::NoBackendServer, "no other backend server is able to serve"))
}

/// Error for a caller whose request could not be handed to the owner of its key.
fn owner_error(mut e: CallError, attempt: KeyAttempt) -> CallError {
    // Nothing was sent, so the owner has not decided; another attempt may have run.
    if matches!(e.kind, ErrorKind::NoBackendServer | ErrorKind::Overloaded) && e.is_local {
        e.kind = unreachable_owner(attempt, false);
    }
    e
}

/// Answer of the owner, which carries its own outcome header.
fn pass_through(cx: &Cx, answer: PeerAnswer, deadline: Duration) -> Response<ProxyBody> {
    let (mut parts, body) = answer.response.into_parts();
    headers::remove_hop_by_hop(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let guard = Guard::Connection(Some(answer.connection));
    Response::from_parts(parts, host::tracked(cx, body, deadline, guard))
}

/// Error after several attempts: a refusal does not tell that an earlier attempt did not run.
fn combine(earlier: Option<CallError>, later: CallError) -> CallError {
    match earlier {
        Some(earlier) if later.is_not_run() && !earlier.is_not_run() => earlier,
        _ => later,
    }
}

/// Whether a request has not reached a backend server because the chosen one is not there any more.
fn is_misdirected(e: &CallError) -> bool {
    matches!(e.kind, ErrorKind::NoBackendServer | ErrorKind::NotReady | ErrorKind::Draining)
}

/// Whether another backend server could answer differently.
fn is_worth_repeating(e: &CallError) -> bool {
    e.kind.answer().retryable || e.kind == ErrorKind::UpstreamLost
}
