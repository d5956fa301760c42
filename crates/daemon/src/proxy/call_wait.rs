//! Waits for the response to a call, and asks the called daemon about the call if that takes long.
//!
//! The question goes over another connection, so that a call that was lost on a silent connection is noticed.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_client::wire::{CallQuery, CallStateWire};
use baobabreel_core::calls::{CallId, CallState, CallWatch, LossReason, NextStep};
use baobabreel_core::id::Incarnation;

use crate::context::Cx;

/// Time for a response to arrive that the called daemon has already sent.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Result of waiting for a response.
#[derive(Debug)]
pub enum WaitResult<T> {
    /// The exchange ended by itself.
    Ended(T),
    /// The call has not arrived and will not run.
    NotRun,
    /// The call may have run, but its response is lost.
    Lost(LossReason),
    /// The deadline passed.
    DeadlinePassed,
}

/// How long to wait for a response.
#[derive(Debug)]
pub struct WaitOptions<F, R> {
    /// Time at which the wait ends at the latest.
    pub deadline: Duration,
    /// Tells whether the call can be sent to another daemon now, if this one is silent.
    pub can_resend: R,
    /// Called each time that the called daemon does not answer a query or an attempt to connect.
    pub on_silence: F,
}

/// Daemon that a call was sent to.
#[derive(Debug, Clone, Copy)]
pub struct Callee {
    /// Address of its listener for peers.
    pub addr: SocketAddr,
    /// Its incarnation as known when the call was sent; it may have been restarted before.
    pub incarnation: Incarnation,
}

/// Waits for an exchange as `options` say; one that is given up is dropped, which closes its connection.
pub async fn wait_for_response<T>(
    cx: &Cx,
    to: Callee,
    id: CallId,
    options: &WaitOptions<impl Fn(), impl Fn() -> bool>,
    exchange: impl Future<Output = T>,
) -> WaitResult<T> {
    let mut exchange = std::pin::pin!(exchange);
    let mut watch = CallWatch::new(cx.clock.now());
    loop {
        let remaining = options.deadline.saturating_sub(cx.clock.now());
        let wait = watch.query_delay(remaining).min(remaining);
        if let Ok(result) = tokio::time::timeout(wait, &mut exchange).await {
            return WaitResult::Ended(result);
        }
        if remaining <= wait {
            return WaitResult::DeadlinePassed;
        }
        let state: Option<CallState> = tokio::select! {
            result = &mut exchange => return WaitResult::Ended(result),
            state = query_state(cx, to, id, CallWatch::query_timeout(remaining)) => state,
        };
        if state.is_none() {
            (options.on_silence)();
        }
        if state != Some(CallState::Active) {
            // Other connections to this daemon may have gone silent too.
            cx.peers.close_connections(to.addr);
        }
        match watch.decide(state, cx.clock.now(), &options.can_resend) {
            NextStep::Wait => {}
            NextStep::NotRun => return WaitResult::NotRun,
            NextStep::AwaitResponse(reason) => {
                let response = tokio::time::timeout(RESPONSE_GRACE, &mut exchange).await;
                return response.map_or(WaitResult::Lost(reason), WaitResult::Ended);
            }
            NextStep::Lost(reason) => return WaitResult::Lost(reason),
        }
    }
}

/// Whether a call whose connection was lost has not arrived and will not run, as the called daemon says.
pub async fn has_not_arrived(
    cx: &Cx,
    to: Callee,
    id: CallId,
    sent_at: Duration,
    deadline: Duration,
) -> bool {
    let remaining = deadline.saturating_sub(cx.clock.now());
    if remaining.is_zero() {
        return false;
    }
    let state = query_state(cx, to, id, CallWatch::query_timeout(remaining)).await;
    CallWatch::new(sent_at).decide(state, cx.clock.now(), || false) == NextStep::NotRun
}

/// Asks a daemon for the state of a call; `None` if no answer comes within `timeout`.
async fn query_state(cx: &Cx, to: Callee, id: CallId, timeout: Duration) -> Option<CallState> {
    let query = CallQuery { id, incarnation: to.incarnation };
    let answer: Option<CallStateWire> =
        cx.ask_peer(to.addr, "/peer/v1/call-state", &query, timeout).await;
    answer.map(Into::into)
}
