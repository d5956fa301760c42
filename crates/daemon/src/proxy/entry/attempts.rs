//! Attempts of a request at backend servers.

use std::sync::Arc;

use baobabreel_client::wire::CallHead;
use baobabreel_core::balance::FreeSlotSearch;
use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::ServiceName;
use baobabreel_core::retry::{Attempt, Failure, RetryDecision, decide_retry, hedge_delay};
use http::{Request, Response};

use super::Call;
use crate::proxy::balance::CallGuard;
use crate::proxy::body::ProxyBody;
use crate::proxy::call_error::CallError;
use crate::proxy::dispatch;
use crate::proxy::lines::{self, AnsweredBy, FailedAttempt};
use crate::proxy::replay::CallerRequest;

/// How one attempt is sent.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sending {
    /// Whether an earlier attempt was made.
    again: bool,
    /// Whether it is to be refused when no slot is free.
    only_if_free: bool,
}

impl Call<'_> {
    /// Makes attempts until one is answered or no further one is allowed.
    pub(super) async fn run(
        &self,
        req: &mut CallerRequest,
    ) -> Result<Response<ProxyBody>, CallError> {
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
            let (only_if_free, looks_further) = (room.has_attempts_left(), room.has_full_servers());
            let target = (service.clone(), guard.shared_name());
            let result = if number == 1 && self.route.spec.hedge {
                self.hedged(req, service, guard, &mut tried).await
            } else {
                let sending = Sending { again: number > 1, only_if_free };
                self.attempt(req.attempt(), &service, guard, sending).await
            };
            if only_if_free && looks_further {
                self.cx.balance.record_search_result(&target.0, result.is_ok());
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
            if let Some(load) = e.full_load {
                room.record_full(target, load.into(), load.slots);
                continue;
            }
            let e = combine(earlier.take(), e);
            if !req.can_resend() || !is_worth_repeating(&e) || self.remaining().is_zero() {
                return Err(e);
            }
            if is_misdirected(&e) && refusals < self.cx.settings.retry.free_refusals {
                refusals += 1;
                earlier = Some(e);
                continue;
            }
            let attempt = self.attempt_state(number, req);
            let failure = if e.is_not_run() { Failure::NotRun } else { Failure::MayHaveRun };
            if decide_retry(&attempt, failure) != RetryDecision::Retry || !self.try_spend() {
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
            max_retries: if req.can_resend() { self.route.spec.retries } else { 0 },
        }
    }

    /// Starts the search for a free slot; a request that cannot be sent again waits where it is sent first.
    fn search_room(&self, req: &CallerRequest) -> FreeSlotSearch<(ServiceName, Arc<str>)> {
        let searches = req.can_resend() && !self.route.spec.hedge;
        let now = self.cx.clock.now();
        FreeSlotSearch::new(if searches {
            self.cx.balance.max_free_slot_attempts(&self.service, now)
        } else {
            0
        })
    }

    /// Chooses a backend server to ask for a free slot; after the search, the least loaded one of those that
    /// had none, to wait there.
    fn next(
        &self,
        tried: &[String],
        room: &mut FreeSlotSearch<(ServiceName, Arc<str>)>,
    ) -> Result<(ServiceName, CallGuard), CallError> {
        let unasked = if room.has_attempts_left() || !room.has_full_servers() {
            self.choose(tried)
        } else {
            no_other()
        };
        let Err(e) = unasked else { return unasked };
        let (service, name) = room.least_loaded().ok_or(e)?;
        let guard = self.cx.balance.choose_again(&service, name, self.cx.clock);
        guard.map(|guard| (service, guard)).map_or_else(no_other, Ok)
    }

    /// Chooses a backend server of the route's service, or of its fallback.
    fn choose(&self, tried: &[String]) -> Result<(ServiceName, CallGuard), CallError> {
        dispatch::choose_with_fallback(
            self.cx,
            &self.service,
            self.route.spec.fallback.as_ref(),
            tried,
        )
    }

    /// Sends a second copy to another backend server when the first is slower than usual.
    async fn hedged(
        &self,
        req: &mut CallerRequest,
        service: ServiceName,
        guard: CallGuard,
        tried: &mut Vec<String>,
    ) -> Result<Response<ProxyBody>, CallError> {
        let delay = hedge_delay(&self.attempt_state(1, req), &self.state.latency());
        let first = self.attempt(req.attempt(), &service, guard, Sending::default());
        let Some(delay) = delay.filter(|_| req.can_resend()) else {
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
        guard: CallGuard,
        sending: Sending,
    ) -> Result<Response<ProxyBody>, CallError> {
        let head = self.head(service, sending)?;
        let is_repeatable = self.route.spec.is_idempotent();
        dispatch::attempt(self.cx, &head, req, guard, self.deadline, is_repeatable).await
    }

    pub(super) fn head(
        &self,
        service: &ServiceName,
        sending: Sending,
    ) -> Result<CallHead, CallError> {
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
}

fn no_other<T>() -> Result<T, CallError> {
    Err(CallError::new(ErrorKind::NoBackendServer, "no other backend server is able to serve"))
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
