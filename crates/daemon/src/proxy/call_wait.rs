//! Waits for the response to a call, and asks the called daemon about the call if that takes long.
//!
//! The question goes over another connection, so that a call that was lost on a silent connection is noticed.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_client::wire::{CallQuery, CallState};
use baobabreel_core::id::Incarnation;

use super::active::RETENTION;
use crate::context::Cx;

/// Longest interval between two queries for the state of a call.
const QUERY_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// Shortest interval between two such queries.
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// The interval is the remaining time divided by this, so that a lost call is noticed while there is time for
/// another attempt.
const QUERY_INTERVAL_DIVISOR: u32 = 4;

/// The timeout of a query is the interval divided by this.
const QUERY_TIMEOUT_DIVISOR: u32 = 2;

/// Time for a response to arrive that the called daemon has already sent.
const RESPONSE_GRACE: Duration = Duration::from_millis(500);

/// Unanswered queries in a row after which the called daemon may count as unreachable.
const MAX_UNANSWERED: u32 = 3;

/// Delay before the next query when the last one was not answered.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time since the last sign of life of the called daemon after which a call that can be sent elsewhere is given
/// up.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1_200);

/// Time after which any other call is given up. A daemon that stalls for a moment still answers, and a call
/// that cannot be sent again gains nothing from an earlier error.
const GIVE_UP_NOT_REPEATABLE_AFTER: Duration = Duration::from_secs(2);

/// Result of waiting for a response.
#[derive(Debug)]
pub enum WaitResult<T> {
    /// The exchange ended by itself.
    Ended(T),
    /// The call has not arrived and will not run.
    NotRun,
    /// The call may have run, but its response is lost.
    Lost(&'static str),
    /// The deadline passed.
    DeadlinePassed,
}

/// Age of a call from which "not run" is not trusted, since the called daemon may have forgotten that the call
/// ended.
const MAX_TRUSTED_AGE: Duration = Duration::from_secs(RETENTION.as_secs() / 2);

/// How long to wait for a response.
#[derive(Debug)]
pub struct WaitOptions<F> {
    /// Time at which the wait ends at the latest.
    pub deadline: Duration,
    /// Whether the call can be sent to another daemon if this one is silent.
    pub is_repeatable: bool,
    /// Called each time that the called daemon does not answer a query or an attempt to connect.
    pub on_silence: F,
}

/// Daemon that a call was sent to.
#[derive(Debug, Clone, Copy)]
pub struct Callee {
    /// Address of its listener for peers.
    pub addr: SocketAddr,
    /// Its incarnation when the call was sent; after a restart it does not know what it ran before.
    pub incarnation: Incarnation,
}

/// Waits for an exchange as `options` say; one that is given up is dropped, which closes its connection.
pub async fn wait_for_response<T>(
    cx: &Cx,
    to: Callee,
    id: u64,
    options: &WaitOptions<impl Fn()>,
    exchange: impl Future<Output = T>,
) -> WaitResult<T> {
    let mut exchange = std::pin::pin!(exchange);
    let mut unanswered = 0;
    let started = cx.clock.now();
    let mut last_heard = started;
    let give_up_after =
        if options.is_repeatable { GIVE_UP_AFTER } else { GIVE_UP_NOT_REPEATABLE_AFTER };
    loop {
        let remaining = options.deadline.saturating_sub(cx.clock.now());
        // An unanswered query is repeated soon, over a new connection.
        let interval =
            (remaining / QUERY_INTERVAL_DIVISOR).clamp(QUERY_INTERVAL_MIN, QUERY_INTERVAL_MAX);
        let wait = if unanswered == 0 { interval } else { QUERY_RETRY_DELAY };
        let wait = wait.min(remaining);
        if let Ok(result) = tokio::time::timeout(wait, &mut exchange).await {
            return WaitResult::Ended(result);
        }
        if remaining <= wait {
            return WaitResult::DeadlinePassed;
        }
        let query = CallQuery { id, incarnation: to.incarnation };
        let state_query =
            cx.ask_peer(to.addr, "/peer/v1/call-state", &query, interval / QUERY_TIMEOUT_DIVISOR);
        let state: Option<CallState> = tokio::select! {
            result = &mut exchange => return WaitResult::Ended(result),
            state = state_query => state,
        };
        unanswered = if state.is_some() { 0 } else { unanswered + 1 };
        if state.is_some() {
            last_heard = cx.clock.now();
        } else {
            (options.on_silence)();
        }
        let silence = cx.clock.now().saturating_sub(last_heard);
        if state != Some(CallState::Active) {
            // Other connections to this daemon may have gone silent too.
            cx.peers.close_connections(to.addr);
        }
        match state {
            Some(CallState::Active) => {}
            Some(CallState::NotRun) if cx.clock.now() - started < MAX_TRUSTED_AGE => {
                return WaitResult::NotRun;
            }
            Some(CallState::NotRun | CallState::Answered) => {
                let response = tokio::time::timeout(RESPONSE_GRACE, &mut exchange).await;
                return response.map_or(
                    WaitResult::Lost("the answer was lost on a silent connection"),
                    WaitResult::Ended,
                );
            }
            None if unanswered >= MAX_UNANSWERED && silence >= give_up_after => {
                return WaitResult::Lost("the daemon is out of reach");
            }
            None => {}
        }
    }
}
