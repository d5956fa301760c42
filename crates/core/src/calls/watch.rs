//! How long a daemon waits for the response to a call.

use std::fmt;
use std::time::Duration;

use super::table::{CallState, RETENTION};

/// Longest interval between two queries for the state of a call.
const QUERY_INTERVAL_MAX: Duration = Duration::from_secs(1);

/// Shortest interval between two such queries.
const QUERY_INTERVAL_MIN: Duration = Duration::from_millis(100);

/// The interval is the remaining time divided by this, so that a lost call is noticed while there is time for
/// another attempt.
const QUERY_INTERVAL_DIVISOR: u32 = 4;

/// The timeout of a query is the interval divided by this.
const QUERY_TIMEOUT_DIVISOR: u32 = 2;

/// Unanswered queries in a row after which the called daemon may count as unreachable.
const MAX_UNANSWERED: u32 = 3;

/// Delay before the next query when the last one was not answered.
const QUERY_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time since the last sign of life of the called daemon after which a call that can be sent elsewhere is given
/// up. Any other call gains nothing from an error before its deadline: a daemon that stalls still answers.
const GIVE_UP_AFTER: Duration = Duration::from_millis(1_200);

/// Age of a call from which "not run" is not trusted, since the called daemon may have forgotten that the call
/// ended.
const MAX_TRUSTED_AGE: Duration = Duration::from_secs(RETENTION.as_secs() / 2);

/// Why the response to a call is not waited for any longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LossReason {
    /// The called daemon has sent the response, or has forgotten the call.
    ResponseLost,
    /// The called daemon does not know the call, which may have run before a restart.
    CallUnknown,
    /// The called daemon does not answer.
    Unreachable,
}

impl fmt::Display for LossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::ResponseLost => "the answer was lost on a silent connection",
            Self::CallUnknown => "the daemon does not know the call, which may have run earlier",
            Self::Unreachable => "the daemon is out of reach",
        })
    }
}

/// What to do after a query for the state of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Go on waiting.
    Wait,
    /// Give the call up: it has not run and will not run.
    NotRun,
    /// Give the call up unless the response arrives within a moment; the call may have run.
    AwaitResponse(LossReason),
    /// Give the call up now; it may have run, and can be sent to another daemon.
    Lost(LossReason),
}

/// What the sender of a call knows while it waits for the response.
#[derive(Debug)]
pub struct CallWatch {
    sent_at: Duration,
    last_heard: Duration,
    unanswered: u32,
}

impl CallWatch {
    /// Watches a call that is sent now.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self { sent_at: now, last_heard: now, unanswered: 0 }
    }

    /// Time to wait before the next query if `remaining` is left until the deadline. An unanswered query is
    /// repeated soon, over a new connection.
    #[must_use]
    pub fn query_delay(&self, remaining: Duration) -> Duration {
        if self.unanswered == 0 { interval(remaining) } else { QUERY_RETRY_DELAY }
    }

    /// Timeout of a query that is sent when `remaining` was left before the wait.
    #[must_use]
    pub fn query_timeout(remaining: Duration) -> Duration {
        interval(remaining) / QUERY_TIMEOUT_DIVISOR
    }

    /// Decides after a query, whose answer is `None` if it did not come in time. `can_resend` tells whether the call
    /// can be sent to another daemon now.
    pub fn decide(
        &mut self,
        answer: Option<CallState>,
        now: Duration,
        can_resend: impl FnOnce() -> bool,
    ) -> NextStep {
        let Some(state) = answer else {
            self.unanswered += 1;
            return self.decide_unanswered(now, can_resend);
        };
        self.unanswered = 0;
        self.last_heard = now;
        let is_trusted = now.saturating_sub(self.sent_at) < MAX_TRUSTED_AGE;
        match state {
            CallState::Active => NextStep::Wait,
            CallState::NotRun if is_trusted => NextStep::NotRun,
            CallState::NotRun | CallState::Answered => {
                NextStep::AwaitResponse(LossReason::ResponseLost)
            }
            CallState::Unknown => NextStep::AwaitResponse(LossReason::CallUnknown),
        }
    }

    fn decide_unanswered(&self, now: Duration, can_resend: impl FnOnce() -> bool) -> NextStep {
        let silence = now.saturating_sub(self.last_heard);
        if self.unanswered >= MAX_UNANSWERED && silence >= GIVE_UP_AFTER && can_resend() {
            NextStep::Lost(LossReason::Unreachable)
        } else {
            NextStep::Wait
        }
    }
}

fn interval(remaining: Duration) -> Duration {
    (remaining / QUERY_INTERVAL_DIVISOR).clamp(QUERY_INTERVAL_MIN, QUERY_INTERVAL_MAX)
}
