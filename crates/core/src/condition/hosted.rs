//! Condition of the backend server beside a daemon, from its responses.

use std::time::Duration;

use super::{Condition, RateLimit, RateStatement};

/// Change of the condition that a response brought about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConditionChange {
    /// Limit before.
    pub limit_before: Option<RateLimit>,
    /// Limit now.
    pub limit: Option<RateLimit>,
    /// Whether the backend server has just stated for the first time that it is leaving.
    pub starts_leaving: bool,
}

/// Condition of one start of a backend server.
///
/// Responses overtake each other. One without a limit ends the limit only if its request was sent after
/// the limit was last named: an earlier one may have been answered before the limit began. A backend
/// server cannot take back that it is leaving.
#[derive(Debug, Default)]
pub struct HostedCondition {
    limit: Option<RateLimit>,
    /// When the limit was last named.
    named_at: Duration,
    is_leaving: bool,
    /// Whether a response to a request has shown if there is a limit.
    has_stated_rate: bool,
}

impl HostedCondition {
    /// Limit in force.
    #[must_use]
    pub fn limit(&self) -> Option<RateLimit> {
        self.limit
    }

    /// Whether the backend server is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.is_leaving
    }

    /// What the backend server has stated; `None` if it has no limit and stays.
    #[must_use]
    pub fn stated(&self) -> Option<Condition> {
        let rate = self.limit.map_or(RateStatement::Unlimited, RateStatement::Limited);
        let condition = Condition { rate, is_leaving: self.is_leaving };
        (condition != Condition::default()).then_some(condition)
    }

    /// Takes over the limit that another daemon knows of, until the backend server states one itself.
    pub fn adopt_limit(&mut self, known: Condition, now: Duration) -> Option<ConditionChange> {
        let before = (self.limit, self.is_leaving);
        if let RateStatement::Limited(limit) = known.rate
            && !self.has_stated_rate
        {
            self.limit = Some(limit);
            self.named_at = now;
        }
        self.change_from(before)
    }

    /// Records what a response states, whether or not the rest of the response is usable.
    pub fn observe(&mut self, stated: Condition, now: Duration) -> Option<ConditionChange> {
        let before = (self.limit, self.is_leaving);
        if let RateStatement::Limited(limit) = stated.rate {
            self.has_stated_rate = true;
            self.limit = Some(limit);
            self.named_at = now;
        }
        self.is_leaving |= stated.is_leaving;
        self.change_from(before)
    }

    /// Records that a usable response to a request sent at `sent_at` names no limit.
    pub fn observe_unlimited(&mut self, sent_at: Duration) -> Option<ConditionChange> {
        let before = (self.limit, self.is_leaving);
        self.has_stated_rate = true;
        if sent_at > self.named_at {
            self.limit = None;
        }
        self.change_from(before)
    }

    fn change_from(&self, before: (Option<RateLimit>, bool)) -> Option<ConditionChange> {
        let change = ConditionChange {
            limit_before: before.0,
            limit: self.limit,
            starts_leaving: self.is_leaving && !before.1,
        };
        (before != (self.limit, self.is_leaving)).then_some(change)
    }
}
