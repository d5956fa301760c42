//! Admission of requests to the local backend server, and their dispatch.
//!
//! The local backend server is the one that runs next to this daemon and announced itself to it.

mod condition;
mod info;
mod local;
mod reclaim;
mod run;
mod slots;
mod tenant;

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::CallHead;
use baobabreel_core::condition::{RateStatement, ReportedCondition};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::membership::MemberState;
use http::{HeaderValue, Request, Response, StatusCode, Version};
use hyper::body::{Body, Incoming};

pub use info::BackendInfo;
pub use local::{LocalBackend, health_path};
pub use reclaim::take_back_slots;
pub use slots::{SlotGuard, start_at_rate_limit};

use self::local::Backend;
use self::run::Run;
use self::slots::refusal_margin;
use super::body::{Guard, ProxyBody, Tracked};
use super::call_error::CallError;
use super::headers;
use super::lease;
use super::lines::{self, HostedRequest};
use super::pool::SendError;
use super::response_check::{check_origin, check_response, check_status};
use super::sends::SendMark;
use crate::context::{Cx, Phase};

/// Response of the backend server, with the slot that it holds until its end.
#[derive(Debug)]
pub struct HostedResponse {
    /// Response of the backend server.
    pub response: Response<Incoming>,
    /// Slot of the request.
    pub guard: SlotGuard,
    /// Time at which the response is aborted.
    pub deadline: Duration,
}

/// Admits a request and passes it to the backend server.
pub async fn forward_to_backend(
    cx: &Cx,
    head: &CallHead,
    req: Request<ProxyBody>,
) -> Result<HostedResponse, CallError> {
    let arrived = cx.clock.now();
    let request = lines::request_id(cx, req.headers());
    let mut started = None;
    let result = admit_and_send(cx, head, req, &mut started).await;
    let line = HostedRequest {
        request: &request,
        route: &head.route,
        arrived,
        started,
        result: result.as_ref().map(|admitted| admitted.response.status().as_u16()),
    };
    lines::log_hosted(cx, &line);
    result
}

/// Admits a request and sends it; sets `started` once the request has a slot.
async fn admit_and_send(
    cx: &Cx,
    head: &CallHead,
    mut req: Request<ProxyBody>,
    started: &mut Option<Duration>,
) -> Result<HostedResponse, CallError> {
    let deadline = cx.clock.now() + Duration::from_millis(head.remaining_ms);
    let backend = ready_backend(cx, head, deadline)?;
    let digest = headers::take_digest(req.headers_mut());
    let client = headers::take_client(req.headers_mut());
    let tenant = headers::take_tenant(req.headers_mut())
        .map_err(|e| CallError::new(ErrorKind::BadRequest, e.to_string()))?;
    let lease_end = tenant.as_ref().map(|tenant| lease::end_at_entry(cx, tenant));
    cx.quarantine.check(digest, cx.clock.now())?;
    let mut guard = cx.host.admit(cx, head, tenant.as_ref(), client, deadline).await?;
    if cx.host.is_draining() {
        return Err(draining());
    }
    let permit = cx.quarantine.permit(digest, cx.clock.now()).await?;
    if let Some(tenant) = &tenant {
        let moved_to = tenant::check_key(cx, head, tenant)?;
        if let (Some(name), Some(other)) = (&cx.settings.dialect.tenant, moved_to) {
            headers::write_text(req.headers_mut(), name, &other);
        }
    }
    if let Some(lease_end) = lease_end {
        lease::check_at_host(cx, lease_end)?;
    }
    headers::unpack(req.headers_mut())
        .map_err(|e| CallError::new(ErrorKind::BadRequest, e.to_string()))?;
    let sent_at = cx.clock.now();
    *started = Some(sent_at);
    let mark = SendMark::of(&mut req);
    let remaining = deadline.saturating_sub(sent_at);
    let dialect = &cx.settings.dialect;
    headers::write_timeout(req.headers_mut(), &dialect.timeout, remaining);
    let request_id = req.headers().get(&dialect.request_id).cloned();
    if let (Some(proofs), Some(instance)) = (&dialect.proofs, &backend.info.instance) {
        headers::write_text(req.headers_mut(), &proofs.target_instance, instance);
    }
    if dialect.own_headers && head.retry {
        req.headers_mut().insert(headers::RETRY, HeaderValue::from_static("1"));
    }
    *req.version_mut() = Version::HTTP_11;
    guard.run = digest.map(|digest| Run::new(cx, &backend, digest, permit));
    let place = Arc::clone(&guard.place);
    let req = req.map(|body| place.watch(body));
    let margin = refusal_margin(remaining);
    let sending = async {
        let mut sending = std::pin::pin!(backend.pool.send(req));
        match tokio::time::timeout(remaining - margin, &mut sending).await {
            Err(_) if mark.is_set() => tokio::time::timeout(margin, sending).await,
            sent => sent,
        }
    };
    let sent = tokio::select! {
        biased;
        sent = sending => sent,
        () = place.taken_back() => Ok(Err(SendError::TakenBack)),
    };
    let (response, connection) = match sent {
        Ok(Ok(answered)) => answered,
        Ok(Err(SendError::Lost(_))) if place.has_broken_body() => {
            guard.end_run(false);
            return Err(CallError::client_failed());
        }
        Ok(Err(e)) => {
            guard.end_run(matches!(e, SendError::Lost(_)));
            return Err(CallError::from_send_error(e, "the backend server"));
        }
        Err(_) if !mark.is_set() => {
            guard.end_run(false);
            let detail = "no connection to the backend server was established in time";
            return Err(CallError::new(ErrorKind::NoBackendServer, detail));
        }
        Err(_) => {
            return Err(CallError::new(ErrorKind::DeadlineExceeded, "the deadline passed"));
        }
    };
    let is_reused = connection.is_reused();
    let checked =
        check_answer(cx, &backend.info, request_id.as_ref(), &response, is_reused, sent_at);
    if let Err(e) = checked {
        if e.is_not_run() {
            guard.end_run(false);
        }
        return Err(e);
    }
    guard.place.keep(connection);
    // A response at the deadline does not show that the request would have ended well.
    if response.status() == StatusCode::GATEWAY_TIMEOUT {
        guard.end_run(false);
    }
    Ok(HostedResponse { response, guard, deadline })
}

/// Checks that a response is about the request, and records what the backend server states in it.
fn check_answer(
    cx: &Cx,
    info: &BackendInfo,
    request_id: Option<&HeaderValue>,
    response: &Response<Incoming>,
    is_reused: bool,
    sent_at: Duration,
) -> Result<(), CallError> {
    let dialect = &cx.settings.dialect;
    // First, as nothing else in such a response is to be believed.
    check_status(response)?;
    check_origin(dialect, request_id, response, is_reused)?;
    let stated = dialect.condition.read(response.headers());
    cx.host.record_statement(cx, info, stated);
    check_response(dialect, response)?;
    if stated.rate == RateStatement::Unlimited {
        cx.host.record_condition(cx, info, |c| c.observe_unlimited(sent_at));
    }
    Ok(())
}

/// The local backend server, if it belongs to the service of the call and is ready, and the call ends in time.
fn ready_backend(cx: &Cx, head: &CallHead, deadline: Duration) -> Result<Arc<Backend>, CallError> {
    if cx.phase() >= Phase::Handover || !cx.admits_call(deadline) {
        return Err(CallError::new(ErrorKind::Draining, "the daemon is draining"));
    }
    let none = || CallError::new(ErrorKind::NoBackendServer, "no backend server is announced here");
    let backend = cx.host.backend.load_full().ok_or_else(none)?;
    if backend.info.service != head.service {
        return Err(none());
    }
    if let Some(known) = &head.condition {
        apply_known_condition(cx, &backend.info, &known.clone().into())?;
    }
    match backend.info.state {
        MemberState::Ready => Ok(backend),
        MemberState::Draining | MemberState::Left => Err(draining()),
        _ => Err(CallError::new(ErrorKind::NotReady, "the backend server is not ready")),
    }
}

/// Applies what the entry daemon of a call knows of the backend server, which this daemon may have forgotten in
/// a restart. The entry daemon must not use one that told it that it leaves.
fn apply_known_condition(
    cx: &Cx,
    info: &BackendInfo,
    known: &ReportedCondition,
) -> Result<(), CallError> {
    if !known.may_be_about(info.instance.as_deref(), info.boot) {
        return Ok(());
    }
    if known.condition.is_leaving {
        return Err(draining());
    }
    let now = cx.clock.now();
    cx.host.record_condition(cx, info, |c| c.adopt_limit(known.condition, now));
    Ok(())
}

fn draining() -> CallError {
    CallError::new(ErrorKind::Draining, "the backend server is draining")
}

/// Wraps a response body so that it completes its guard at its end and is aborted at the deadline.
pub fn track_body(cx: &Cx, body: Incoming, deadline: Duration, guard: Guard) -> ProxyBody {
    let left = deadline.saturating_sub(cx.clock.now());
    let mut guard = guard;
    if body.is_end_stream() {
        guard.complete();
        return ProxyBody::Empty;
    }
    let expected = body.size_hint().exact();
    let deadline = Box::pin(tokio::time::sleep(left));
    let mut tracked = Box::new(Tracked { inner: body, expected, handed_over: 0, deadline, guard });
    // The response may wait for its client from the start, behind an earlier one.
    tracked.hand_over(0);
    ProxyBody::Tracked(tracked)
}
