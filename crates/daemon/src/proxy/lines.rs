//! Log lines about single requests, so that operators can trace a failed request by its identifier.

use std::time::Duration;

use baobabreel_core::condition::{ConditionChange, RateLimit};
use baobabreel_core::config::Version;
use baobabreel_core::error::{ErrorKind, Outcome};
use http::{HeaderMap, Request, Response};

use super::call_error::CallError;
use super::host::BackendInfo;
use crate::context::Cx;
use crate::telemetry::LogLineKind;

/// Host daemon of a response; an extension of the response, for its log line.
#[derive(Debug, Clone)]
pub struct AnsweredBy {
    /// Identifier of the daemon.
    pub daemon: String,
    /// Number of attempts made.
    pub attempts: u32,
}

/// Identifier of a request, empty when it has none.
#[must_use]
pub fn request_id(cx: &Cx, headers: &HeaderMap) -> String {
    let value = headers.get(&cx.settings.dialect.request_id);
    value.and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

/// Log line about a request of a caller; written when it ends or the caller disconnects.
pub struct CallerLogLine<'a> {
    cx: &'a Cx,
    id: String,
    path: String,
    start: Duration,
    ended: bool,
}

impl std::fmt::Debug for CallerLogLine<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerLine").field("id", &self.id).finish_non_exhaustive()
    }
}

impl<'a> CallerLogLine<'a> {
    /// Starts the log line of a request.
    pub fn new<B>(cx: &'a Cx, req: &Request<B>, start: Duration) -> Self {
        let id = request_id(cx, req.headers());
        let path = req.uri().path().to_owned();
        Self { cx, id, path, start, ended: false }
    }

    /// Writes the log line of a request that got a response, from a backend server or the daemon itself.
    pub fn finish<B>(mut self, route: &str, result: &Result<Response<B>, CallError>) {
        self.ended = true;
        let kind = match result {
            Ok(res) if res.status().is_server_error() => LogLineKind::Failed,
            Ok(_) => LogLineKind::Answered,
            Err(e) if e.is_not_run() => LogLineKind::Refused,
            Err(_) => LogLineKind::Failed,
        };
        let now = self.cx.clock.now();
        let Some(left_out) = self.cx.log_limiter.take(kind, now) else { return };
        let (outcome, detail) = match result {
            Ok(_) => (Outcome::Ran.as_str(), ""),
            Err(e) => (ErrorKind::name(e.kind), e.detail.as_str()),
        };
        let by = result.as_ref().ok().and_then(|res| res.extensions().get::<AnsweredBy>());
        tracing::info!(
            request = self.id,
            path = self.path,
            route,
            config = %self.version(),
            status = result.as_ref().map_or_else(
                |e| e.kind.answer().status,
                |res| res.status().as_u16(),
            ),
            outcome,
            detail,
            through = by.map(|by| by.daemon.as_str()),
            attempts = by.map(|by| by.attempts),
            took_ms = millis(now, self.start),
            left_out,
            "request ended"
        );
    }

    /// Version of the current configuration.
    fn version(&self) -> Version {
        self.cx.config.load().version
    }
}

impl Drop for CallerLogLine<'_> {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let now = self.cx.clock.now();
        if let Some(left_out) = self.cx.log_limiter.take(LogLineKind::Failed, now) {
            tracing::info!(
                request = self.id,
                path = self.path,
                took_ms = millis(now, self.start),
                left_out,
                "caller left"
            );
        }
    }
}

/// Writes the log line of a response that did not reach its caller. `stage` tells how far it had come.
pub fn log_undelivered(cx: &Cx, request: &str, stage: &str, start: Duration) {
    let now = cx.clock.now();
    let Some(left_out) = cx.log_limiter.take(LogLineKind::Undelivered, now) else { return };
    tracing::info!(
        request,
        stage,
        phase = ?cx.phase(),
        took_ms = millis(now, start),
        left_out,
        "response not delivered"
    );
}

/// Failed attempt at a backend server.
#[derive(Debug)]
pub struct FailedAttempt<'a> {
    /// Identifier of the request.
    pub request: &'a str,
    /// Host daemon that the attempt was sent to.
    pub to: &'a str,
    /// Number of the attempt, from 1.
    pub number: u32,
    /// Start of the attempt.
    pub start: Duration,
    /// Time until the deadline.
    pub remaining: Duration,
    /// Why it failed.
    pub error: &'a CallError,
}

/// Writes the log line of a failed attempt.
pub fn log_failed_attempt(cx: &Cx, attempt: &FailedAttempt<'_>) {
    let now = cx.clock.now();
    let kind =
        if attempt.error.full_load.is_some() { LogLineKind::Full } else { LogLineKind::Attempt };
    let Some(left_out) = cx.log_limiter.take(kind, now) else { return };
    tracing::info!(
        request = attempt.request,
        to = attempt.to,
        attempt = attempt.number,
        error = attempt.error.kind.name(),
        detail = attempt.error.detail,
        local = attempt.error.is_local,
        took_ms = millis(now, attempt.start),
        remaining_ms = attempt.remaining.as_millis() as u64,
        left_out,
        "attempt failed"
    );
}

/// What happened to a request at its host daemon.
#[derive(Debug)]
pub struct HostedRequest<'a> {
    /// Identifier of the request.
    pub request: &'a str,
    /// Name of its route.
    pub route: &'a str,
    /// Time at which it arrived.
    pub arrived: Duration,
    /// Time at which it got a slot, if it did.
    pub started: Option<Duration>,
    /// Status of the backend server's response, or why there is none.
    pub result: Result<u16, &'a CallError>,
}

/// Writes the log line of a request at its host daemon.
pub fn log_hosted(cx: &Cx, line: &HostedRequest<'_>) {
    let now = cx.clock.now();
    let kind = match line.result {
        Ok(_) => LogLineKind::Ran,
        Err(e) if e.full_load.is_some() => LogLineKind::Full,
        Err(_) => LogLineKind::Hosted,
    };
    let Some(left_out) = cx.log_limiter.take(kind, now) else { return };
    let load = cx.host.load();
    let backend = cx.host.info();
    let error = line.result.as_ref().err();
    tracing::info!(
        request = line.request,
        route = line.route,
        instance = backend.as_ref().and_then(|b| b.instance.as_deref()),
        state = ?backend.as_ref().map(|b| b.state),
        waited_ms = millis(line.started.unwrap_or(now), line.arrived),
        ran_ms = line.started.map(|started| millis(now, started)),
        running = load.running,
        queued = load.queued,
        slots = load.slots,
        status = line.result.as_ref().ok(),
        error = error.map(|e| e.kind.name()),
        detail = error.map(|e| e.detail.as_str()),
        refusals = ?error.map(|_| cx.host.refusals()),
        left_out,
        "request hosted"
    );
}

/// Writes the log line of a response that names a limit which cannot be read.
pub fn log_unreadable_limit(cx: &Cx, info: &BackendInfo) {
    let Some(left_out) = cx.log_limiter.take(LogLineKind::Hosted, cx.clock.now()) else { return };
    tracing::warn!(
        instance = info.instance,
        left_out,
        "ignored an unreadable limit of the backend server"
    );
}

/// Writes the log line of a changed condition of the backend server beside the daemon.
pub fn log_condition(cx: &Cx, info: &BackendInfo, change: &ConditionChange) {
    let Some(left_out) = cx.log_limiter.take(LogLineKind::Hosted, cx.clock.now()) else { return };
    tracing::info!(
        instance = info.instance,
        boot = info.boot,
        limit_per_s = change.limit.map(RateLimit::per_second),
        limit_per_s_before = change.limit_before.map(RateLimit::per_second),
        starts_leaving = change.starts_leaving,
        left_out,
        "condition of the backend server changed"
    );
}

/// Whole milliseconds from `since` to `now`.
fn millis(now: Duration, since: Duration) -> u64 {
    u64::try_from(now.saturating_sub(since).as_millis()).unwrap_or(u64::MAX)
}
