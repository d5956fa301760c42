//! Messages about the quotas of tenants.
//!
//! An entry daemon asks the holder of accounts for tokens, one call at a time for each holder and for all tenants that
//! need some. Daemons that have not heard of each other's data centres for a while exchange messages without tenants,
//! as a holder may only grant the part of the daemons that it is in contact with.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::{AskedTokens, QuotaGrant, QuotaRequest};
use baobabreel_core::id::DaemonId;
use baobabreel_core::quota::Decision;
use tokio::time::MissedTickBehavior;

use crate::context::Cx;
use crate::proxy::{QuotaState, Quotas, log_limited, quota_of};
use crate::telemetry::LogLineKind;

/// Path at which a daemon is asked for tokens.
pub const QUOTA_PATH: &str = "/peer/v1/quota";

/// Time between two reviews of the state.
const TICK: Duration = Duration::from_millis(100);

/// Time in which a daemon must answer. A shorter one would drop connections to daemons that are only slow.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(250);

/// Time between two checks which tenants still have quotas.
const KEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Keeps the state current, and asks daemons for messages from data centres that have not been heard of.
pub async fn run(cx: Cx) {
    let Some(quotas) = &cx.quotas else { return };
    let mut interval = tokio::time::interval(TICK);
    interval.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut next_keep = Duration::ZERO;
    let mut last_share = 0.0;
    loop {
        interval.tick().await;
        let now = cx.clock.boot();
        let config = cx.config.load_full();
        if now >= next_keep {
            next_keep = now + KEEP_INTERVAL;
            quotas.keep_tenants(&config, now);
        }
        let mut state = quotas.state();
        state.accounts.advance(now);
        let has_quotas = config.tenants.as_ref().is_some_and(|tenants| tenants.has_quotas());
        if !has_quotas {
            continue;
        }
        let share = state.accounts.share();
        if share != last_share {
            last_share = share;
            log_share(&cx, share);
        }
        let due = state.accounts.contacts().due(now, rand::random());
        let due: Vec<DaemonId> = due.into_iter().cloned().collect();
        drop(state);
        for to in due {
            let cx = Arc::clone(&cx);
            tokio::spawn(async move {
                if let Some(quotas) = &cx.quotas {
                    exchange(&cx, quotas, &to, Vec::new()).await;
                }
            });
        }
    }
}

fn log_share(cx: &Cx, share: f64) {
    let Some(left_out) = cx.log_limiter.take(LogLineKind::Limited, cx.clock.now()) else { return };
    tracing::info!(share, left_out, "the part of the quotas that this daemon grants has changed");
}

/// Answers a daemon that asks for tokens; `None` if no quotas are kept here.
pub fn answer(cx: &Cx, request: &QuotaRequest) -> Option<QuotaGrant> {
    let quotas = cx.quotas.as_ref()?;
    let now = cx.clock.boot();
    let config = cx.config.load();
    let mut state = quotas.state();
    state.accounts.on_message(&request.from, request.seen.into(), now);
    let grant = |asked: &AskedTokens| {
        let quota = quota_of(&config, &asked.tenant);
        let decision = quota.map_or(Decision::NotHeld, |quota| {
            state.accounts.grant(&asked.tenant, quota, &request.from, asked.ask(), now)
        });
        decision.into()
    };
    let tenants = request.tenants.iter().map(grant).collect();
    Some(QuotaGrant { seen: state.accounts.sighting(&request.from).into(), tenants })
}

/// Asks a holder for the tokens that are needed, in a separate task, unless it is being asked already.
pub fn ask_holder(cx: &Cx, quotas: &Quotas, holder: DaemonId) {
    if !quotas.state().asking.insert(holder.clone()) {
        return;
    }
    let cx = Arc::clone(cx);
    // Not part of the request that needs a token, as others wait for the answer too.
    tokio::spawn(async move {
        let Some(quotas) = &cx.quotas else { return };
        while ask_once(&cx, quotas, &holder).await {
            quotas.answered.notify_waiters();
        }
        quotas.answered.notify_waiters();
    });
}

/// Asks a holder for tokens; returns whether some were needed.
async fn ask_once(cx: &Cx, quotas: &Quotas, holder: &str) -> bool {
    let tenants = {
        let mut state = quotas.state();
        let QuotaState { accounts, allowances, asking } = &mut *state;
        let is_held = |tenant: &str| accounts.holder(tenant) == Some(holder);
        let tenants = allowances.asks(is_held, cx.clock.boot());
        if tenants.is_empty() {
            asking.remove(holder);
        }
        tenants
    };
    if tenants.is_empty() {
        return false;
    }
    let asked = tenants.into_iter().map(|(tenant, ask)| AskedTokens::new(tenant, ask));
    exchange(cx, quotas, holder, asked.collect()).await;
    true
}

/// Sends a request for tokens, possibly for none, and handles the answer.
async fn exchange(cx: &Cx, quotas: &Quotas, to: &str, asked: Vec<AskedTokens>) {
    let sent_at = cx.clock.boot();
    let seen = quotas.state().accounts.sighting(to).into();
    let request = QuotaRequest { from: cx.identity.id.clone(), seen, tenants: asked };
    let addr = cx.members.load().get(to).map(|member| member.peer_addr);
    let grant: Option<QuotaGrant> = match addr {
        Some(addr) => cx.ask_peer(addr, QUOTA_PATH, &request, ANSWER_TIMEOUT).await,
        None => None,
    };
    let now = cx.clock.boot();
    let config = cx.config.load();
    let mut state = quotas.state();
    let QuotaState { accounts, allowances, .. } = &mut *state;
    if let Some(grant) = &grant {
        accounts.on_message(to, grant.seen.into(), now);
    }
    let granted = grant.map(|grant| grant.tenants).unwrap_or_default();
    for (index, asked) in request.tenants.iter().enumerate() {
        let Some(allowance) = allowances.known(&asked.tenant) else { continue };
        let decision = granted.get(index).map_or(Decision::NotHeld, |granted| (*granted).into());
        let starts = allowance.on_decision(asked.ask(), decision, quotas.lease(), sent_at, now);
        if let Some(quota) = quota_of(&config, &asked.tenant).filter(|_| starts) {
            log_limited(cx, &asked.tenant, &quota, to);
        }
    }
}
