//! Attempts to send a request to backend servers, with retries and hedging.

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
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::dispatch;
use crate::proxy::lines::{self, AnsweredBy, FailedAttempt};

/// Options of one attempt.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct SendOptions {
    /// Whether it follows an earlier attempt.
    is_retry: bool,
    /// Whether the backend server should refuse it if no slot is free, instead of queueing it.
    only_if_free: bool,
}

impl Call<'_> {
    /// Makes attempts until one succeeds or no further one is allowed.
    pub(super) async fn run(
        &self,
        req: &mut CallerRequest,
    ) -> Result<Response<ProxyBody>, CallError> {
        let mut tried: Vec<String> = Vec::new();
        let mut earlier: Option<CallError> = None;
        let mut number = 1;
        let mut refusals = 0;
        let mut search = self.start_search(req);
        loop {
            let (service, guard) = match self.next_server(&tried, &mut search) {
                Ok(chosen) => chosen,
                // The error of an earlier attempt says more than that no other backend server is left.
                Err(e) => return Err(earlier.unwrap_or(e)),
            };
            tried.push(guard.name().to_owned());
            let start = self.cx.clock.now();
            let (only_if_free, is_further_attempt) =
                (search.has_attempts_left(), search.has_full_servers());
            let target = (service.clone(), guard.shared_name());
            let result = if number == 1 && self.route.spec.hedge {
                self.hedged(req, service, guard, &mut tried).await
            } else {
                let options = SendOptions { is_retry: number > 1, only_if_free };
                self.attempt(req.attempt(), &service, guard, options).await
            };
            if only_if_free && is_further_attempt {
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
            lines::log_failed_attempt(self.cx, &failed);
            if let Some(load) = e.full_load {
                search.record_full(target, load.into(), load.slots);
                continue;
            }
            let e = combine(earlier.take(), e);
            if !req.can_resend() || !is_worth_retrying(&e) || self.remaining().is_zero() {
                return Err(e);
            }
            if is_misdirected(&e) && refusals < self.cx.settings.retry.max_misdirected_retries {
                refusals += 1;
                earlier = Some(e);
                continue;
            }
            let attempt = self.attempt_state(number, req);
            let failure = if e.is_not_run() { Failure::NotRun } else { Failure::MayHaveRun };
            if decide_retry(&attempt, failure) != RetryDecision::Retry || !self.try_spend() {
                return Err(e);
            }
            self.cx.metrics.record_retry(&self.route.name);
            earlier = Some(e);
            number += 1;
        }
    }

    /// Takes one retry out of the budgets; false when one of them is used up.
    fn try_spend(&self) -> bool {
        self.cx.balance.try_spend(&self.state, &self.service, self.cx.clock.now())
    }

    /// State of attempt `number`, as the retry and hedging decisions need it.
    fn attempt_state(&self, number: u32, req: &CallerRequest) -> Attempt {
        Attempt {
            idempotent: self.route.spec.is_idempotent(),
            number,
            marked_as_retry: self.marked_as_retry,
            remaining: self.remaining(),
            max_retries: if req.can_resend() { self.route.spec.retries } else { 0 },
        }
    }

    /// Starts the search for a free slot. A request that cannot be sent again is not searched for: it queues at
    /// the first backend server.
    fn start_search(&self, req: &CallerRequest) -> FreeSlotSearch<(ServiceName, Arc<str>)> {
        let can_search = req.can_resend() && !self.route.spec.hedge;
        let now = self.cx.clock.now();
        FreeSlotSearch::new(if can_search {
            self.cx.balance.max_free_slot_attempts(&self.service, now)
        } else {
            0
        })
    }

    /// Chooses the next backend server to try for a free slot. When the search has ended, chooses the least
    /// loaded of those that had none, where the request queues.
    fn next_server(
        &self,
        tried: &[String],
        search: &mut FreeSlotSearch<(ServiceName, Arc<str>)>,
    ) -> Result<(ServiceName, CallGuard), CallError> {
        let untried = if search.has_attempts_left() || !search.has_full_servers() {
            self.choose(tried)
        } else {
            no_other_server()
        };
        let Err(e) = untried else { return untried };
        let (service, name) = search.least_loaded().ok_or(e)?;
        let guard = self.cx.balance.choose_again(&service, name, self.cx.clock);
        guard.map(|guard| (service, guard)).map_or_else(no_other_server, Ok)
    }

    /// Chooses a backend server of the request's service, or of the route's fallback service.
    fn choose(&self, tried: &[String]) -> Result<(ServiceName, CallGuard), CallError> {
        dispatch::choose_with_fallback(
            self.cx,
            &self.service,
            self.route.spec.fallback.as_ref(),
            tried,
        )
    }

    /// Makes the first attempt, and sends a second copy to another backend server if the response takes longer
    /// than usual. The first success is returned.
    async fn hedged(
        &self,
        req: &mut CallerRequest,
        service: ServiceName,
        guard: CallGuard,
        tried: &mut Vec<String>,
    ) -> Result<Response<ProxyBody>, CallError> {
        let delay = hedge_delay(&self.attempt_state(1, req), &self.state.latency());
        let first = self.attempt(req.attempt(), &service, guard, SendOptions::default());
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
        self.cx.metrics.record_retry(&self.route.name);
        let mut second = std::pin::pin!(self.attempt(
            req.attempt(),
            &service,
            guard,
            SendOptions { is_retry: true, only_if_free: false },
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

    /// Makes one attempt at the backend server of `guard`.
    async fn attempt(
        &self,
        req: Request<ProxyBody>,
        service: &ServiceName,
        guard: CallGuard,
        options: SendOptions,
    ) -> Result<Response<ProxyBody>, CallError> {
        let head = self.head(service, options)?;
        let is_repeatable = self.route.spec.is_idempotent();
        dispatch::attempt(self.cx, &head, req, guard, self.deadline, is_repeatable).await
    }

    /// Head of the call for one attempt; its identifier is set when it is sent.
    pub(super) fn head(
        &self,
        service: &ServiceName,
        options: SendOptions,
    ) -> Result<CallHead, CallError> {
        Ok(CallHead {
            route: self.route.name.clone(),
            service: service.clone(),
            class: self.route.spec.class,
            remaining_ms: dispatch::remaining_ms(self.cx, self.deadline)?,
            id: 0,
            retry: options.is_retry || self.marked_as_retry,
            version: self.config.version,
            key: None,
            target_ms: self.target.map(|target| {
                let left = target.saturating_sub(self.cx.clock.now());
                u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
            }),
            only_if_free: options.only_if_free,
        })
    }
}

fn no_other_server<T>() -> Result<T, CallError> {
    Err(CallError::new(ErrorKind::NoBackendServer, "no other backend server is able to serve"))
}

/// Chooses the error to report after several failed attempts: a refusal does not replace an earlier error that
/// leaves open whether the request ran.
fn combine(earlier: Option<CallError>, later: CallError) -> CallError {
    match earlier {
        Some(earlier) if later.is_not_run() && !earlier.is_not_run() => earlier,
        _ => later,
    }
}

/// Whether the request reached no backend server because the chosen one is absent, not ready or draining.
fn is_misdirected(e: &CallError) -> bool {
    matches!(e.kind, ErrorKind::NoBackendServer | ErrorKind::NotReady | ErrorKind::Draining)
}

/// Whether another backend server may give a different result.
fn is_worth_retrying(e: &CallError) -> bool {
    e.kind.answer().retryable || e.kind == ErrorKind::UpstreamLost
}
