//! Requests of callers.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{AnswerHead, CallHead};
use baobabreel_core::balance::{Failure as EndpointFailure, LoadReport};
use baobabreel_core::config::{CompiledConfig, Route};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::ServiceName;
use baobabreel_core::retry::{Attempt, Failure, RetryDecision, decide, hedge_after};
use baobabreel_core::routing::{RequestLine, find_route};
use http::header::{HOST, RETRY_AFTER};
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, Version};
use hyper::body::Incoming;

use super::answer::CallError;
use super::balance::{EntryGuard, RouteState};
use super::body::{Guard, ProxyBody};
use super::headers;
use super::host::{self, CALL_PREFIX};
use super::pool::{PeerError, peer_uri};
use super::replay::CallerRequest;
use crate::context::{Cx, Phase, is_able};
use crate::telemetry::{Span, TraceContext};

/// Decision about one request; pins one version of the configuration.
struct Call<'a> {
    cx: &'a Cx,
    config: Arc<CompiledConfig>,
    route: Route,
    state: Arc<RouteState>,
    deadline: Duration,
    marked_as_retry: bool,
    span: &'a Span,
}

/// Serves a request of a caller.
pub async fn serve_caller(cx: Cx, req: Request<Incoming>) -> Response<ProxyBody> {
    let start = cx.clock.now();
    let share = cx.settings.trace_share;
    let span = Span::start("entry", TraceContext::read(req.headers()), share, start);
    let (route, result) = match serve(&cx, req, &span, start).await {
        Ok((route, res)) => (route, Ok(res)),
        Err(e) => (e.route.clone().unwrap_or_default(), Err(e)),
    };
    let now = cx.clock.now();
    let ended = result.as_ref().map(|_| Outcome::Ran).map_err(|e| e.kind);
    cx.metrics.request(&route, ended, now.saturating_sub(start));
    span.finish(now, &route, ended.map_or_else(ErrorKind::name, Outcome::as_str));
    result.unwrap_or_else(CallError::into_response)
}

async fn serve(
    cx: &Cx,
    req: Request<Incoming>,
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
        Phase::Serving | Phase::Leaving => {}
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
    let closing = cx.phase() == Phase::Leaving;
    let mut res = call.serve(parts, body).await.map_err(with_route)?;
    if closing && res.version() == Version::HTTP_11 {
        res.headers_mut().insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok((name, res))
}

fn match_route<'a>(config: &'a CompiledConfig, parts: &Parts) -> Option<&'a Route> {
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
        route: Route,
        parts: &Parts,
        span: &'a Span,
        start: Duration,
    ) -> Result<Self, CallError> {
        let asked = headers::read_timeout(&parts.headers)
            .map_err(|detail| CallError::new(ErrorKind::BadRequest, detail))?;
        let most = Duration::from_millis(route.spec.timeout_ms);
        let deadline = start + asked.map_or(most, |asked| asked.min(most));
        let marked_as_retry = parts.headers.contains_key(headers::RETRY);
        let state = cx.balance.route(&route.name);
        Ok(Self { cx, config, route, state, deadline, marked_as_retry, span })
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.cx.clock.now())
    }

    async fn serve(
        &self,
        parts: Parts,
        body: Incoming,
    ) -> Result<Response<ProxyBody>, CallError> {
        let max_body = self.cx.settings.limits.body_bytes;
        let timeout = self.remaining();
        let mut req = CallerRequest::new(parts, body, max_body, false, timeout).await?;
        headers::write_trace(&mut req.headers, self.span);
        self.cx.balance.on_request(&self.state, self.cx.clock.now());
        self.run(&mut req).await
    }

    /// Makes attempts until one is answered or no further one is allowed.
    async fn run(&self, req: &mut CallerRequest) -> Result<Response<ProxyBody>, CallError> {
        let mut tried: Vec<String> = Vec::new();
        let mut number = 1;
        loop {
            let (service, guard) = self.choose(&tried)?;
            tried.push(guard.name().to_owned());
            let result = if number == 1 && self.route.spec.hedge {
                self.hedged(req, service, guard, &mut tried).await
            } else {
                self.attempt(req.attempt(), &service, guard, number > 1).await
            };
            let e = match result {
                Ok(res) => return Ok(res),
                Err(e) => e,
            };
            let attempt = self.attempt_state(number, req);
            let failure = if e.is_not_run() { Failure::NotRun } else { Failure::MayHaveRun };
            if decide(&attempt, failure) != RetryDecision::Retry
                || !req.can_repeat()
                || !is_worth_repeating(&e)
                || !self.cx.balance.try_spend(&self.state, self.cx.clock.now())
            {
                return Err(e);
            }
            self.cx.metrics.retry(&self.route.name);
            number += 1;
        }
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

    /// Chooses a backend server of the route's service, or of its fallback.
    fn choose(&self, tried: &[String]) -> Result<(ServiceName, EntryGuard), CallError> {
        let exclude: Vec<&str> = tried.iter().map(String::as_str).collect();
        let spec = &self.route.spec;
        for service in std::iter::once(&spec.service).chain(spec.fallback.as_ref()) {
            let own_is_free = self.cx.host.is_free(service) && self.own_is_able(service);
            let clock = self.cx.clock;
            if let Some(guard) = self.cx.balance.choose(service, own_is_free, &exclude, clock) {
                return Ok((service.clone(), guard));
            }
        }
        let detail = format!("no backend server of service {} is able to serve", spec.service);
        Err(CallError::new(ErrorKind::NoBackendServer, detail))
    }

    fn own_is_able(&self, service: &str) -> bool {
        let view = self.cx.view.load();
        let own = view.find(service, &self.cx.identity.id);
        own.is_some_and(|own| is_able(&self.config, service, own))
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
        let first = self.attempt(req.attempt(), &service, guard, false);
        let Some(delay) = delay.filter(|_| req.can_repeat()) else { return first.await };
        let mut first = std::pin::pin!(first);
        match tokio::time::timeout(delay, &mut first).await {
            Ok(result) => return result,
            Err(_) if !self.cx.balance.try_spend(&self.state, self.cx.clock.now()) => {
                return first.await;
            }
            Err(_) => {}
        }
        let Ok((service, guard)) = self.choose(tried) else { return first.await };
        tried.push(guard.name().to_owned());
        self.cx.metrics.retry(&self.route.name);
        let mut second = std::pin::pin!(self.attempt(req.attempt(), &service, guard, true));
        tokio::select! {
            result = &mut first => match result {
                Ok(res) => Ok(res),
                Err(_) => second.await,
            },
            result = &mut second => match result {
                Ok(res) => Ok(res),
                Err(_) => first.await,
            },
        }
    }

    /// Makes one attempt at the chosen backend server.
    async fn attempt(
        &self,
        req: Request<ProxyBody>,
        service: &ServiceName,
        mut guard: EntryGuard,
        again: bool,
    ) -> Result<Response<ProxyBody>, CallError> {
        let remaining = self.remaining();
        if remaining.is_zero() {
            let detail = "the deadline passed before the request was sent";
            return Err(CallError::new(ErrorKind::DeadlineUnreachable, detail));
        }
        let head = CallHead {
            route: self.route.name.clone(),
            service: service.clone(),
            class: self.route.spec.class,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX).max(1),
            retry: again || self.marked_as_retry,
            version: self.config.version,
            key: None,
        };
        let sent = if guard.name() == self.cx.identity.id {
            self.send_here(&head, req, &mut guard).await
        } else {
            self.send_to_peer(&head, req, &mut guard).await
        };
        let (mut res, host_guard) = match sent {
            Ok(answered) => answered,
            Err(e) => {
                guard.failed(endpoint_failure(&e));
                return Err(e);
            }
        };
        let outcome = HeaderValue::from_static(Outcome::Ran.as_str());
        res.headers_mut().insert(headers::OUTCOME, outcome);
        let (parts, body) = res.into_parts();
        let guard = match host_guard {
            Some(host) => Guard::Both(host, guard),
            None => Guard::Entry(guard),
        };
        let body = host::tracked(self.cx, body, self.deadline, guard);
        Ok(Response::from_parts(parts, body))
    }

    async fn send_here(
        &self,
        head: &CallHead,
        req: Request<ProxyBody>,
        guard: &mut EntryGuard,
    ) -> Result<(Response<Incoming>, Option<host::HostGuard>), CallError> {
        let admitted = host::run(self.cx, head, req).await?;
        let load = self.cx.host.load();
        let report = LoadReport { running: load.running, queued: load.queued };
        self.state.observe(guard.answered(Some(report)));
        let mut res = admitted.response;
        headers::remove_hop_by_hop(res.headers_mut());
        Ok((res, Some(admitted.guard)))
    }

    async fn send_to_peer(
        &self,
        head: &CallHead,
        mut req: Request<ProxyBody>,
        guard: &mut EntryGuard,
    ) -> Result<(Response<Incoming>, Option<host::HostGuard>), CallError> {
        let view = self.cx.view.load();
        let Some(addr) = view.find(&head.service, guard.name()).map(|member| member.peer_addr)
        else {
            return Err(CallError::new(ErrorKind::NoBackendServer, "the member is gone"));
        };
        drop(view);
        let path = req.uri().path_and_query().map_or("/", |path| path.as_str());
        *req.uri_mut() = peer_uri(addr, &format!("{CALL_PREFIX}{path}"));
        *req.version_mut() = Version::HTTP_2;
        req.headers_mut().remove(HOST);
        req.headers_mut().insert(headers::CALL, HeaderValue::from(head));
        let exchange = self.cx.peers.send(addr, req);
        let mut res = match tokio::time::timeout(self.remaining(), exchange).await {
            Ok(Ok(res)) => res,
            Ok(Err(PeerError::NotSent(detail))) => {
                return Err(CallError::new(ErrorKind::NoBackendServer, detail));
            }
            Ok(Err(e)) => return Err(CallError::new(ErrorKind::UpstreamLost, e.to_string())),
            Err(_) => {
                return Err(CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed"));
            }
        };
        let answer = res.headers_mut().remove(headers::ANSWER);
        let answer = answer
            .ok_or_else(|| "the answer has no head".to_owned())
            .and_then(|value| AnswerHead::try_from(&value).map_err(|e| e.to_string()))
            .map_err(|detail| CallError::new(ErrorKind::UpstreamLost, detail))?;
        if let Some(kind) = answer.error {
            let e = CallError::new(kind, format!("refused by {}", guard.name()));
            return Err(match read_retry_after(&res) {
                Some(after) => e.with_retry_after(after),
                None => e,
            });
        }
        let report = LoadReport { running: answer.load.running, queued: answer.load.queued };
        self.state.observe(guard.answered(Some(report)));
        Ok((res, None))
    }
}

fn read_retry_after(res: &Response<Incoming>) -> Option<Duration> {
    let text = res.headers().get(RETRY_AFTER)?.to_str().ok()?;
    text.parse().ok().map(Duration::from_secs)
}

fn endpoint_failure(e: &CallError) -> EndpointFailure {
    match e.kind {
        ErrorKind::NoBackendServer | ErrorKind::NotReady | ErrorKind::Draining => {
            EndpointFailure::Refused
        }
        ErrorKind::Overloaded | ErrorKind::DeadlineUnreachable => EndpointFailure::Overloaded,
        _ => EndpointFailure::Lost,
    }
}

/// Whether another backend server could answer differently.
fn is_worth_repeating(e: &CallError) -> bool {
    e.kind.answer().retryable || e.kind == ErrorKind::UpstreamLost
}
