//! Requests of callers, at the entry daemon.
//!
//! [`serve_caller`] matches the route and keeps one version of the configuration for the whole request.
//! [`attempts`] sends the request to backend servers until one answers; [`owner`] forwards a request with an
//! idempotency key to the daemon that owns the key.

mod attempts;
mod authenticate;
mod body_grant;
mod owner;
mod told;

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::config::{Class, CompiledConfig, Route};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::ServiceName;
use baobabreel_core::routing::{RequestLine, find_route};
use http::header::HOST;
use http::request::Parts;
use http::{HeaderValue, Method, Request, Response, Version};

pub use self::told::ToldCallers;

use self::authenticate::{Authenticated, authenticate, class_of};
use super::balance::RouteState;
use super::body::ProxyBody;
use super::call_error::CallError;
use super::caller_request::CallerRequest;
use super::lines::{self, CallerLogLine};
use super::link::Links;
use super::request_body::RequestBody;
use super::sends::Sends;
use super::{headers, keyed, quota};
use crate::context::{Cx, Phase};
use crate::telemetry::{Span, TraceContext};

/// Number of requests that a client sent on the same connection before a request without waiting for their responses;
/// an extension of the request.
#[derive(Debug, Clone, Copy)]
pub struct RequestsAhead(pub u32);

/// Address of the caller on whose connection a request came; an extension of the request.
#[derive(Debug, Clone, Copy)]
pub struct CallerAddress(pub IpAddr);

/// Whether the body of a request comes over the link of the instance; an extension of the request.
#[derive(Debug, Clone, Copy)]
pub struct UsesLink(pub bool);

/// State of one request while it is served, with the version of the configuration that applies to it.
struct Call<'a> {
    cx: &'a Cx,
    config: Arc<CompiledConfig>,
    route: Arc<Route>,
    /// Tenant of the request; `None` if its route needs no API key.
    tenant: Option<Authenticated>,
    /// Class of the request.
    class: Class,
    /// Service that the request goes to; picked at random once if the route splits its traffic.
    service: ServiceName,
    state: Arc<RouteState>,
    deadline: Duration,
    /// Time by which the response should arrive, by the target latency of the route.
    target: Option<Duration>,
    /// Identifier of the request, for its log lines.
    request_id: String,
    marked_as_retry: bool,
    /// Requests that its client sent ahead of it on its connection.
    ahead: u32,
    /// Address of its caller, if it is known.
    caller: Option<CallerAddress>,
    sends: Sends,
    /// Random number that decides whether the request goes to the canary of a roll-out.
    draw: u64,
    span: &'a Span,
}

/// Serves a request of a caller, which the listener counts as in flight.
pub async fn serve_caller(cx: Cx, req: Request<RequestBody>) -> Response<ProxyBody> {
    let start = cx.clock.now();
    let share = cx.settings.trace_share;
    let span = Span::start("entry", TraceContext::read(req.headers()), share, start);
    let dialect = &cx.settings.dialect;
    let keyed =
        if dialect.own_headers { keyed::read_attempt_if_keyed(req.headers()) } else { None };
    let line = CallerLogLine::new(&cx, &req, start);
    let (route, result) = match serve(&cx, req, &span, start).await {
        Ok((route, res)) => (route, Ok(res)),
        Err(e) => {
            // Keys are ignored on idempotent routes. Without a route it is not known whether the key
            // applies, so it is assumed to.
            let e = match keyed {
                Some(attempt) if e.route.is_none() => keyed::error_before_owner(e, attempt),
                _ => e,
            };
            (e.route.clone().unwrap_or_default(), Err(e))
        }
    };
    let now = cx.clock.now();
    let ended = result.as_ref().map(|_| Outcome::Ran).map_err(|e| e.kind);
    cx.metrics.record_request(&route, ended, now.saturating_sub(start));
    span.finish(now, &route, ended.map_or_else(ErrorKind::name, Outcome::as_str));
    line.finish(&route, &result);
    result.unwrap_or_else(|e| e.into_response(dialect))
}

/// Matches the route and serves the request; the name of the route is returned or set in the error.
async fn serve(
    cx: &Cx,
    req: Request<RequestBody>,
    span: &Span,
    start: Duration,
) -> Result<(String, Response<ProxyBody>), CallError> {
    match cx.phase() {
        Phase::Draining => return Err(draining()),
        // Also when it is told to stop, as without a configuration no route matches.
        _ if !cx.is_configured() => {
            return Err(CallError::new(ErrorKind::NotReady, "no configuration yet"));
        }
        Phase::Starting | Phase::Serving | Phase::Closing | Phase::Leaving | Phase::Handover => {}
    }
    let (parts, body) = req.into_parts();
    if parts.method == Method::CONNECT {
        return Err(CallError::new(ErrorKind::BadRequest, "CONNECT is not supported"));
    }
    let config = cx.config.load_full();
    let route = match_route(&config, &parts).cloned().ok_or_else(|| no_route(cx))?;
    let name = route.name.clone();
    let with_route = |mut e: CallError| {
        e.route = Some(name.clone());
        e
    };
    let call = Call::new(cx, config, route, &parts, span, start).map_err(with_route)?;
    if !cx.admits_request(call.deadline) {
        return Err(with_route(draining()));
    }
    let closing = cx.phase() > Phase::Serving;
    let mut res = call.serve_until_drain_end(parts, body).await.map_err(with_route)?;
    if closing && res.version() == Version::HTTP_11 {
        res.headers_mut().insert(http::header::CONNECTION, HeaderValue::from_static("close"));
    }
    Ok((name, res))
}

/// Error for a request that is not taken because the daemon shuts down.
fn draining() -> CallError {
    let mut e = CallError::new(ErrorKind::Draining, "the daemon is draining");
    e.close = true;
    e
}

/// Error for a request that matches no route.
fn no_route(cx: &Cx) -> CallError {
    if cx.documents.is_unconfirmed() {
        CallError::new(ErrorKind::NotReady, "no route matches in a configuration that may be old")
    } else {
        CallError::new(ErrorKind::NoRoute, "no route matches")
    }
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

/// Strips the port from the value of a `Host` header.
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
        let tenant = authenticate(cx, &config, &route, &parts.headers)?;
        let requested = headers::read_timeout(&parts.headers, &cx.settings.dialect.timeout)
            .map_err(|detail| CallError::new(ErrorKind::BadRequest, detail))?;
        let max_timeout = Duration::from_millis(route.spec.timeout_ms);
        let deadline =
            start + requested.map_or(max_timeout, |requested| requested.min(max_timeout));
        let own_headers = cx.settings.dialect.own_headers;
        let marked_as_retry = own_headers && parts.headers.contains_key(headers::RETRY);
        let state = cx.balance.route(&route.name);
        let service = route.spec.pick_service(rand::random()).clone();
        let target = route.spec.target_latency.map(|latency| start + latency);
        let request_id = lines::request_id(cx, &parts.headers);
        let class = class_of(&route, tenant.as_ref());
        let caller = parts.extensions.get::<CallerAddress>().copied();
        let ahead = parts.extensions.get::<RequestsAhead>().map_or(0, |ahead| ahead.0);
        Ok(Self {
            cx,
            config,
            route,
            tenant,
            class,
            service,
            state,
            deadline,
            target,
            request_id,
            marked_as_retry,
            ahead,
            caller,
            sends: Sends::default(),
            draw: rand::random(),
            span,
        })
    }

    /// Time until the deadline.
    fn remaining(&self) -> Duration {
        self.deadline.saturating_sub(self.cx.clock.now())
    }

    /// Serves the request, or returns an error at the end of the drain.
    async fn serve_until_drain_end(
        &self,
        parts: Parts,
        body: RequestBody,
    ) -> Result<Response<ProxyBody>, CallError> {
        tokio::select! {
            // First, as the slot of a request that ends here must not start another one.
            biased;
            () = self.cx.drain_end.reached() => {
                let kind = self.cx.drain_end.answer(self.sends.may_have_run());
                let mut e = CallError::new(kind, "the daemon stopped before there was a response");
                e.close = true;
                Err(e)
            }
            served = self.serve(parts, body) => served,
        }
    }

    /// Serves the request, through the owner of its key if it has one that applies.
    async fn serve(
        &self,
        parts: Parts,
        body: RequestBody,
    ) -> Result<Response<ProxyBody>, CallError> {
        let tenant = self.tenant.as_ref().map(|found| &*found.tenant);
        let spent = quota::spend(self.cx, tenant).await?;
        let served = self.serve_within_quota(parts, body).await;
        if let (Some(spent), Err(e)) = (spent, &served)
            && e.is_not_run()
        {
            spent.give_back(self.cx);
        }
        served
    }

    /// Serves the request after its tenant's quota has allowed it.
    async fn serve_within_quota(
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
        // Only with a target and with tenants does `Retry-After` name a place that is kept for the request.
        let has_place = self.target.is_some() && self.config.tenants.is_some();
        let told = parts.extensions.get::<ToldCallers>().filter(|_| has_place).cloned();
        let mut grant = self.grant_body(&body).await?;
        let body = match parts.extensions.get::<UsesLink>() {
            Some(UsesLink(false)) => body,
            _ => Links::receive(&self.cx.links, None, body, &mut None),
        };
        let mut req = self.prepare(parts, body, false).await?;
        grant.release_small(&req.body);
        let told = told.zip(req.digest());
        if let Some((told, digest)) = &told {
            told.check(*digest, self.cx.clock.now())?;
        }
        let result = self.run(&mut req, grant).await;
        if let Some((told, digest)) = &told {
            told.record(*digest, &result, self.cx.clock.now());
        }
        result
    }

    /// Largest body that the request may have.
    fn max_body(&self) -> u64 {
        let configured = self.config.limits.as_ref().map(|limits| limits.body_bytes);
        configured.unwrap_or(self.cx.settings.limits.body_bytes)
    }

    /// Prepares the request to be sent; its body is buffered if it is small or `keep_body` is set.
    async fn prepare(
        &self,
        parts: Parts,
        body: RequestBody,
        keep_body: bool,
    ) -> Result<CallerRequest, CallError> {
        let (max_body, timeout) = (self.max_body(), self.remaining());
        let mut req = CallerRequest::new(parts, body, max_body, keep_body, timeout).await?;
        let dialect = &self.cx.settings.dialect;
        if dialect.own_headers {
            headers::write_trace(&mut req.headers, self.span);
        }
        if let (Some(name), Some(own)) = (&dialect.caller_service, &self.cx.settings.backend) {
            headers::write_text(&mut req.headers, name, &own.service);
        }
        let tenant = self.tenant.as_ref();
        authenticate::write_headers(self.cx, &self.config, tenant, &mut req.headers);
        authenticate::renew_lease(self.cx, &self.config, tenant, &mut req.headers)?;
        let own_service = self.cx.settings.backend.as_ref().map_or("", |own| &own.service);
        req.compute_digest(own_service);
        Ok(req)
    }
}
