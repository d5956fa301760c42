//! Attempts to send a request to backend servers, with retries and hedging.

use std::sync::Arc;

use baobabreel_client::wire::CallHead;
use baobabreel_core::admission::ClientState;
use baobabreel_core::balance::FreeSlotSearch;
use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::ServiceName;
use baobabreel_core::retry::{Attempt, Failure, RetryDecision, decide_retry, hedge_delay};
use http::{Request, Response};

use super::body_grant::BodyGrant;
use super::{Call, authenticate};
use crate::proxy::balance::CallGuard;
use crate::proxy::body::ProxyBody;
use crate::proxy::budgets::BudgetUse;
use crate::proxy::call_error::CallError;
use crate::proxy::caller_request::CallerRequest;
use crate::proxy::dispatch;
use crate::proxy::headers;
use crate::proxy::lease;
use crate::proxy::lines::{self, AnsweredBy, FailedAttempt};

/// Options of one attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct SendOptions {
    /// Number of the attempt, from 1; a hedge counts as an attempt.
    number: u32,
    /// Whether the backend server should refuse it if no slot is free, instead of queueing it.
    only_if_free: bool,
    /// Whether the body can be sent again.
    can_replay: bool,
}

impl Default for SendOptions {
    fn default() -> Self {
        Self { number: 1, only_if_free: false, can_replay: false }
    }
}

/// What the attempts at one request have used so far.
#[derive(Debug)]
struct Progress {
    /// Daemons of the backend servers that the request was sent to, the newest one last.
    tried: Vec<String>,
    /// Number of attempts, hedges included; offers that found no free slot count once.
    number: u32,
}

impl Call<'_> {
    /// Makes attempts until one succeeds or no further one is allowed. The first one uses the grant of the body, if it
    /// has one; a further one asks for a grant of its own.
    pub(super) async fn run(
        &self,
        req: &mut CallerRequest,
        mut grant: BodyGrant,
    ) -> Result<Response<ProxyBody>, CallError> {
        let mut progress = Progress { tried: Vec::new(), number: 1 };
        let mut earlier: Option<CallError> = None;
        let mut refusals = 0;
        let mut search = self.start_search(req);
        loop {
            let granted = grant.host.take();
            let is_granted = granted.is_some();
            let chosen = granted.map_or_else(|| self.next_server(&progress.tried, &mut search), Ok);
            let (service, guard) = match chosen {
                Ok(chosen) => chosen,
                // The error of an earlier attempt says more than that no other backend server is left.
                Err(e) => return Err(earlier.unwrap_or(e)),
            };
            progress.tried.push(guard.name().to_owned());
            let start = self.cx.clock.now();
            let (only_if_free, is_further_attempt) =
                (search.has_attempts_left() && !is_granted, search.has_full_servers());
            let target = (service.clone(), guard.shared_name());
            let can_replay = req.can_resend();
            let options = SendOptions { number: progress.number, only_if_free, can_replay };
            let sending = grant.sending.take().filter(|_| guard.name() != self.cx.identity.id);
            let result = if let Some(sending) = sending {
                self.attempt(sending.apply(req.attempt()), &service, guard, options).await
            } else if options.number == 1 && self.route.spec.hedge && !is_granted {
                self.hedged(req, &service, guard, options, &mut progress).await
            } else {
                self.attempt(req.attempt(), &service, guard, options).await
            };
            if only_if_free && is_further_attempt {
                self.cx.balance.record_search_result(&target.0, result.is_ok());
            }
            let e = match result {
                Ok(res) => return Ok(res),
                Err(e) => e,
            };
            let failed = FailedAttempt {
                request: &self.request_id,
                to: progress.tried.last().map_or("", String::as_str),
                number: progress.number,
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
            let tenant = self.tenant.as_ref().map(|tenant| &tenant.head);
            if !req.can_resend()
                || !is_worth_retrying(&e)
                || self.remaining().is_zero()
                || lease::is_cause(self.cx, self.config.version, tenant, &e)
            {
                return Err(e);
            }
            if is_misdirected(&e) && refusals < self.cx.settings.retry.max_misdirected_retries {
                refusals += 1;
                (grant, earlier) = self.next_grant(req, &progress.tried, e).await?;
                continue;
            }
            let attempt = self.attempt_state(progress.number, req.can_resend());
            let failure = if e.is_not_run() { Failure::NotRun } else { Failure::MayHaveRun };
            if decide_retry(&attempt, failure) != RetryDecision::Retry
                || !self.try_spend(BudgetUse::Retry)
            {
                return Err(e);
            }
            self.cx.metrics.record_retry(&self.route.name);
            (grant, earlier) = self.next_grant(req, &progress.tried, e).await?;
            progress.number += 1;
        }
    }

    /// Grant of the body for the attempt after one that failed with `e`. If the body has room nowhere, `e` is returned, or
    /// the refusal if the request has not run.
    async fn next_grant(
        &self,
        req: &CallerRequest,
        tried: &[String],
        e: CallError,
    ) -> Result<(BodyGrant, Option<CallError>), CallError> {
        match self.grant_again(&req.body, tried).await {
            Ok(grant) => Ok((grant, Some(e))),
            Err(refusal) => Err(combine(Some(e), refusal)),
        }
    }

    /// Takes one retry or hedge out of the budgets; false when one of them is used up.
    fn try_spend(&self, use_for: BudgetUse) -> bool {
        self.cx.balance.try_spend(&self.state, &self.service, use_for, self.cx.clock.now())
    }

    /// State of attempt `number`, as the retry and hedging decisions need it.
    fn attempt_state(&self, number: u32, can_replay: bool) -> Attempt {
        Attempt {
            idempotent: self.route.spec.is_idempotent(),
            number,
            marked_as_retry: self.marked_as_retry,
            remaining: self.remaining(),
            max_retries: if can_replay { self.route.spec.retries } else { 0 },
        }
    }

    /// Whether another attempt could follow now if the one at `daemon` were given up.
    fn can_resend(&self, options: SendOptions, daemon: &String) -> bool {
        let attempt = self.attempt_state(options.number, options.can_replay);
        let (cx, now) = (self.cx, self.cx.clock.now());
        decide_retry(&attempt, Failure::MayHaveRun) == RetryDecision::Retry
            && cx.balance.can_retry(&self.state, &self.service, now)
            && self.choose(std::slice::from_ref(daemon)).is_ok()
    }

    /// Starts the search for a free slot. A request that cannot be sent again is not searched for: it queues at
    /// the first backend server.
    fn start_search(&self, req: &CallerRequest) -> FreeSlotSearch<(ServiceName, Arc<str>)> {
        let can_search = req.can_resend();
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
    pub(super) fn choose(&self, tried: &[String]) -> Result<(ServiceName, CallGuard), CallError> {
        dispatch::choose_with_fallback(
            self.cx,
            &self.service,
            self.route.spec.fallback.as_ref(),
            self.draw,
            tried,
        )
    }

    /// Makes the first attempt, and sends a second copy to another backend server with a free slot if the
    /// response is late. The first success is returned.
    async fn hedged(
        &self,
        req: &mut CallerRequest,
        service: &ServiceName,
        guard: CallGuard,
        options: SendOptions,
        progress: &mut Progress,
    ) -> Result<Response<ProxyBody>, CallError> {
        let target = self.target.map(|target| target.saturating_sub(self.cx.clock.now()));
        let delay =
            hedge_delay(&self.attempt_state(1, req.can_resend()), &self.state.latency(), target);
        let first = self.attempt(req.attempt(), service, guard, options);
        let Some(delay) = delay.filter(|_| req.can_resend()) else {
            return first.await;
        };
        let mut first = std::pin::pin!(first);
        if let Ok(result) = tokio::time::timeout(delay, &mut first).await {
            return result;
        }
        if !self.try_spend(BudgetUse::Hedge) {
            return first.await;
        }
        let Ok((service, guard)) = self.choose(&progress.tried) else {
            return first.await;
        };
        progress.tried.push(guard.name().to_owned());
        progress.number += 1;
        self.cx.metrics.record_retry(&self.route.name);
        let options = SendOptions { number: progress.number, only_if_free: true, can_replay: true };
        let mut second = std::pin::pin!(self.attempt(req.attempt(), &service, guard, options));
        tokio::select! {
            result = &mut first => match result {
                Ok(res) => Ok(res),
                Err(e) => second.await.map_err(|hedge| combine_hedge(e, hedge)),
            },
            result = &mut second => match result {
                Ok(res) => Ok(res),
                Err(hedge) => first.await.map_err(|e| combine_hedge(e, hedge)),
            },
        }
    }

    /// Makes one attempt at the backend server of `guard`.
    async fn attempt(
        &self,
        mut req: Request<ProxyBody>,
        service: &ServiceName,
        guard: CallGuard,
        options: SendOptions,
    ) -> Result<Response<ProxyBody>, CallError> {
        let head = self.head(service, options)?;
        let tenant = self.tenant.as_ref();
        authenticate::renew_lease(self.cx, &self.config, tenant, req.headers_mut())?;
        let is_sending = matches!(req.body(), ProxyBody::Stream { .. });
        headers::write_client(req.headers_mut(), ClientState { ahead: self.ahead, is_sending });
        let mark = self.sends.begin();
        req.extensions_mut().insert(mark.clone());
        let daemon = guard.name().to_owned();
        let can_resend = || self.can_resend(options, &daemon);
        let sent = dispatch::attempt(self.cx, &head, req, guard, self.deadline, can_resend);
        let mut res = sent.await.inspect_err(|e| {
            if e.is_not_run() {
                mark.clear();
            }
        })?;
        res.extensions_mut().insert(AnsweredBy { daemon, attempts: options.number });
        Ok(res)
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
            class: self.class,
            remaining_ms: dispatch::remaining_ms(self.cx, self.deadline)?,
            id: 0,
            retry: options.number > 1 || self.marked_as_retry,
            version: self.config.version,
            key: None,
            target_ms: self.target.map(|target| {
                let left = target.saturating_sub(self.cx.clock.now());
                u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
            }),
            only_if_free: options.only_if_free,
            condition: None,
        })
    }
}

fn no_other_server<T>() -> Result<T, CallError> {
    Err(CallError::new(ErrorKind::NoBackendServer, "no other backend server is able to serve"))
}

/// Chooses the error to report after several failed attempts: a refusal does not replace an earlier error that
/// leaves open whether the request ran. After several refusals, the caller is told when the first backend server
/// has room again.
fn combine(earlier: Option<CallError>, mut later: CallError) -> CallError {
    let Some(earlier) = earlier.filter(|_| later.is_not_run()) else { return later };
    if !earlier.is_not_run() {
        return earlier;
    }
    later.retry_after = earlier.retry_after.into_iter().chain(later.retry_after).min();
    later
}

/// Chooses the error to report after a first attempt and its hedge failed. A hedge that found no free
/// slot says nothing about the request.
fn combine_hedge(first: CallError, hedge: CallError) -> CallError {
    match hedge.full_load {
        Some(_) => first,
        None => combine(Some(first), hedge),
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
