//! Quotas of tenants: the tokens that requests of callers spend at the entry daemon, and the accounts that this daemon
//! holds.
//!
//! `baobabreel-core` decides; the control plane exchanges the messages.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_core::config::CompiledConfig;
use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::{DaemonId, TenantName};
use baobabreel_core::membership::Members;
use baobabreel_core::quota::{Accounts, Allowances, Ask, Bounds, Decision, Token};
use baobabreel_core::tenants::{Quota, Tenant};
use tokio::sync::Notify;

use super::call_error::CallError;
use crate::context::{Cx, Identity};
use crate::control::ask_holder;
use crate::settings::QuotaSettings;
use crate::sync::lock;
use crate::telemetry::LogLineKind;

/// Longest time that a request waits for a token.
const MAX_WAIT: Duration = Duration::from_millis(100);

/// Shortest time in `Retry-After`; a repeated request hardly arrives earlier.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(5);

/// State of the quotas at one daemon.
#[derive(Debug)]
pub struct QuotaState {
    /// Accounts that the daemon holds.
    pub accounts: Accounts,
    /// Tokens that it has leased.
    pub allowances: Allowances,
    /// Daemons that are being asked for tokens.
    pub asking: BTreeSet<DaemonId>,
}

/// Quotas of tenants, shared by all daemons.
#[derive(Debug)]
pub struct Quotas {
    bounds: Bounds,
    state: Mutex<QuotaState>,
    /// Wakes the requests that wait for a token.
    pub answered: Notify,
}

/// What a request without a token does next.
enum Step {
    Spend(Token),
    /// Refused; the reason for the metrics, and the time until there is a token.
    Refuse(&'static str, Duration),
    /// The holder of the account has to be asked.
    Ask(DaemonId),
}

impl Quotas {
    /// Quotas of a daemon that starts at `now`, on the boot clock.
    pub fn new(settings: QuotaSettings, identity: &Identity, now: Duration) -> Self {
        let QuotaSettings { window, overage, slack } = settings;
        let bounds = Bounds { window, overage, slack };
        let (id, data_centre) = (identity.id.clone(), identity.data_centre.clone());
        let state = QuotaState {
            accounts: Accounts::new(id, data_centre, bounds, now),
            allowances: Allowances::new(bounds),
            asking: BTreeSet::new(),
        };
        Self { bounds, state: Mutex::new(state), answered: Notify::new() }
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, QuotaState> {
        lock(&self.state)
    }

    /// Time for which tokens are leased.
    pub fn lease(&self) -> Duration {
        self.bounds.lease()
    }

    /// Replaces the members that share the quotas.
    pub fn set_members(&self, members: &Members, now: Duration) {
        self.state().accounts.set_members(members, now);
    }

    /// Drops the state of tenants that have no quota in `config`.
    pub fn keep_tenants(&self, config: &CompiledConfig, now: Duration) {
        let mut state = self.state();
        state.accounts.retain(|name| quota_of(config, name).is_some());
        state.allowances.retain(|name| quota_of(config, name).is_some(), now);
    }

    /// Takes a token for a request, if that needs no message.
    fn step(&self, cx: &Cx, tenant: &str, quota: Quota, is_first: bool) -> Step {
        let now = cx.clock.boot();
        let mut state = self.state();
        let QuotaState { accounts, allowances, .. } = &mut *state;
        accounts.advance(now);
        let allowance = allowances.tenant(tenant);
        if is_first {
            allowance.on_arrival(now);
        }
        if let Some(token) = allowance.take(now) {
            return Step::Spend(token);
        }
        if let Some(wait) = allowance.refused_for(now) {
            return Step::Refuse("limit", wait);
        }
        if accounts.is_holder(tenant) {
            let ask = Ask { needed: 1, ..Ask::default() };
            let decision = accounts.grant(tenant, quota, &cx.identity.id, ask, now);
            if allowance.on_decision(ask, decision, self.lease(), now, now) {
                log_limited(cx, tenant, &quota, &cx.identity.id);
            }
            match decision {
                Decision::Granted { wait, .. } => match allowance.take(now) {
                    Some(token) => return Step::Spend(token),
                    None => return Step::Refuse("limit", wait),
                },
                Decision::NotHeld => {}
            }
        }
        match accounts.holder(tenant) {
            Some(holder) if !allowance.is_silent(now) => Step::Ask(holder.to_owned()),
            _ => {
                let part = accounts.reserve_part(tenant, &quota);
                match allowance.take_reserve(part, self.bounds.window, now) {
                    Some(token) => {
                        cx.metrics.record_quota_reserve();
                        Step::Spend(token)
                    }
                    None => {
                        let wait = allowance.retry_after(self.bounds.window, now);
                        Step::Refuse("no_account", wait)
                    }
                }
            }
        }
    }
}

/// Quota of a tenant in a configuration.
pub fn quota_of(config: &CompiledConfig, tenant: &str) -> Option<Quota> {
    config.tenants.as_ref()?.get(tenant)?.quota
}

/// Writes the log line about a tenant that starts to be limited by the account at `holder`.
pub fn log_limited(cx: &Cx, tenant: &str, quota: &Quota, holder: &str) {
    let Some(left_out) = cx.log_limiter.take(LogLineKind::Limited, cx.clock.now()) else { return };
    let (per_sec, burst) = (quota.per_sec, quota.burst);
    tracing::info!(tenant, per_sec, burst, holder, left_out, "a tenant is limited by its quota");
}

/// Token that the request of a tenant has spent.
#[derive(Debug)]
pub(super) struct Spent {
    tenant: TenantName,
    token: Token,
}

impl Spent {
    /// Returns the token, as the request has not run.
    pub(super) fn give_back(self, cx: &Cx) {
        let Some(quotas) = &cx.quotas else { return };
        let now = cx.clock.boot();
        if let Some(allowance) = quotas.state().allowances.known(&self.tenant) {
            allowance.give_back(self.token, now);
        }
    }
}

/// Counts a request as waiting for a token until it is dropped.
struct Waiting<'a> {
    quotas: &'a Quotas,
    tenant: &'a str,
}

impl<'a> Waiting<'a> {
    fn begin(quotas: &'a Quotas, tenant: &'a str) -> Self {
        quotas.state().allowances.tenant(tenant).begin_wait();
        Self { quotas, tenant }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if let Some(allowance) = self.quotas.state().allowances.known(self.tenant) {
            allowance.end_wait();
        }
    }
}

/// Spends a token for a request of a tenant; `None` if it needs none.
///
/// # Errors
///
/// [`ErrorKind::QuotaExceeded`] if there is no token.
pub(super) async fn spend(cx: &Cx, tenant: Option<&Tenant>) -> Result<Option<Spent>, CallError> {
    let Some(quotas) = &cx.quotas else { return Ok(None) };
    let Some((tenant, quota)) = tenant.and_then(|tenant| Some((&tenant.name, tenant.quota?)))
    else {
        return Ok(None);
    };
    let spent = |token| Some(Spent { tenant: tenant.clone(), token });
    let give_up_at = tokio::time::Instant::now() + MAX_WAIT;
    let mut waiting = None;
    loop {
        // Created before the step, as an answer between the two would be missed otherwise.
        let answered = quotas.answered.notified();
        match quotas.step(cx, tenant, quota, waiting.is_none()) {
            Step::Spend(token) => {
                // Before more is asked for, as a waiting request counts.
                drop(waiting);
                refill(cx, quotas, tenant);
                return Ok(spent(token));
            }
            Step::Refuse(reason, wait) => return Err(refused(cx, tenant, reason, wait)),
            Step::Ask(holder) => {
                waiting.get_or_insert_with(|| Waiting::begin(quotas, tenant));
                ask_holder(cx, quotas, holder);
            }
        }
        if tokio::time::timeout_at(give_up_at, answered).await.is_err() {
            quotas.state().allowances.tenant(tenant).on_silence(cx.clock.boot());
        }
    }
}

/// Asks for more tokens before the stock is used up.
fn refill(cx: &Cx, quotas: &Quotas, tenant: &str) {
    let now = cx.clock.boot();
    let mut state = quotas.state();
    let QuotaState { accounts, allowances, .. } = &mut *state;
    let is_due = allowances.tenant(tenant).wanted(now).is_some();
    let holder = accounts.holder(tenant).filter(|_| is_due && !accounts.is_holder(tenant));
    let holder = holder.map(str::to_owned);
    drop(state);
    if let Some(holder) = holder {
        ask_holder(cx, quotas, holder);
    }
}

fn refused(cx: &Cx, tenant: &str, reason: &'static str, wait: Duration) -> CallError {
    cx.metrics.record_quota_refusal(reason);
    let detail = match reason {
        "limit" => format!("tenant {tenant} has used up its quota"),
        _ => format!("no daemon grants the quota of tenant {tenant} at present"),
    };
    CallError::new(ErrorKind::QuotaExceeded, detail).with_retry_after(wait.max(MIN_RETRY_AFTER))
}
