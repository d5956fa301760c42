//! Wait for the answer to a call, with a look at the other daemon when it takes long.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_client::wire::{CallQuery, CallState};
use baobabreel_core::id::Incarnation;

use super::active::MEMORY;
use crate::context::Cx;

/// Longest time without an answer after which the other daemon is asked about the call.
const ASK_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// Shortest such time.
const ASK_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// Part of the remaining time after which the other daemon is asked, so that a lost call is found while
/// there is time for another attempt.
const ASK_PART: u32 = 4;

/// Time for the other daemon to answer the question, as a part of the interval.
const ASK_TIMEOUT_PART: u32 = 2;

/// Time for an answer that is under way to arrive.
const ARRIVAL_TIME: Duration = Duration::from_millis(500);

/// Questions without an answer after which the other daemon counts as out of reach.
const MAX_UNANSWERED: u32 = 3;

/// Pause between two questions after one that was not answered.
const ASK_PAUSE: Duration = Duration::from_millis(50);

/// Silence of the other daemon after which a call that can be sent elsewhere is given up.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1_200);

/// Silence after which any other call is given up. A daemon that stalls for a moment still answers, and
/// a call that cannot be sent again has nothing to gain from an earlier end.
const GIVE_UP_LATE: Duration = Duration::from_secs(2);

/// How a wait ended.
#[derive(Debug)]
pub enum WaitResult<T> {
    /// The exchange ended.
    Ended(T),
    /// The call has not arrived and will not be run.
    NotRun,
    /// The call was answered, or may have run, and its answer does not come.
    Lost(&'static str),
    /// The deadline passed.
    DeadlinePassed,
}

/// Time after the start of a call from which the other daemon may have forgotten how it ended.
const TRUST_TIME: Duration = Duration::from_secs(MEMORY.as_secs() / 2);

/// Terms of a wait.
#[derive(Debug)]
pub struct WaitOptions<F> {
    /// Time at which the wait ends in any case.
    pub deadline: Duration,
    /// Whether the call can be sent to another daemon when this one is silent.
    pub is_repeatable: bool,
    /// Called when the other daemon leaves a question unanswered.
    pub on_silence: F,
}

/// Daemon that a call was sent to.
#[derive(Debug, Clone, Copy)]
pub struct Callee {
    /// Its listener for peers.
    pub addr: SocketAddr,
    /// Its incarnation when the call was sent; another one cannot tell what this one ran.
    pub incarnation: Incarnation,
}

/// Waits for an exchange on `terms`; it is dropped with its connection when it is given up.
pub async fn wait_for_response<T>(
    cx: &Cx,
    to: Callee,
    id: u64,
    terms: &WaitOptions<impl Fn()>,
    exchange: impl Future<Output = T>,
) -> WaitResult<T> {
    let mut exchange = std::pin::pin!(exchange);
    let mut unanswered = 0;
    let started = cx.clock.now();
    let mut last_heard = started;
    let give_up_after = if terms.is_repeatable { GIVE_UP_AFTER } else { GIVE_UP_LATE };
    loop {
        let remaining = terms.deadline.saturating_sub(cx.clock.now());
        // An unanswered question is put again soon, over a new connection.
        let interval = (remaining / ASK_PART).clamp(ASK_INTERVAL_MIN, ASK_INTERVAL_MAX);
        let wait = if unanswered == 0 { interval } else { ASK_PAUSE };
        let wait = wait.min(remaining);
        if let Ok(result) = tokio::time::timeout(wait, &mut exchange).await {
            return WaitResult::Ended(result);
        }
        if remaining <= wait {
            return WaitResult::DeadlinePassed;
        }
        let query = CallQuery { id, incarnation: to.incarnation };
        let question =
            cx.ask_peer(to.addr, "/peer/v1/call-state", &query, interval / ASK_TIMEOUT_PART);
        let state: Option<CallState> = tokio::select! {
            result = &mut exchange => return WaitResult::Ended(result),
            state = question => state,
        };
        unanswered = if state.is_some() { 0 } else { unanswered + 1 };
        if state.is_some() {
            last_heard = cx.clock.now();
        } else {
            (terms.on_silence)();
        }
        let silence = cx.clock.now().saturating_sub(last_heard);
        if state != Some(CallState::Active) {
            // Other connections to this daemon may have gone silent at the same time.
            cx.peers.close_connections(to.addr);
        }
        match state {
            Some(CallState::Active) => {}
            Some(CallState::NotRun) if cx.clock.now() - started < TRUST_TIME => {
                return WaitResult::NotRun;
            }
            Some(CallState::NotRun | CallState::Answered) => {
                let arrival = tokio::time::timeout(ARRIVAL_TIME, &mut exchange).await;
                return arrival.map_or(
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
