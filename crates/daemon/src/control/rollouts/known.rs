//! What a daemon knows of the newest roll-out of a service.

use std::time::Duration;

use baobabreel_client::wire::RolloutNotice;
use baobabreel_core::id::DaemonId;
use baobabreel_core::rollout::{ReleaseFilter, RolloutPhase, RolloutRecord};

use super::views::ReleaseView;

/// Time without contact to the decider after which a daemon sends requests to the old release only. Together with
/// the time for a verdict it stays well under the time within which a bad release must get no request.
const UNSURE_AFTER: Duration = Duration::from_secs(2);

/// Time for which a canary uses the same backend servers. The verdict needs bad responses of two of them, if there
/// are as many.
const EPOCH_TIME: Duration = Duration::from_secs(1);

/// Time after the end of a roll-out in which the other release gets no requests even if it is the only one, and in
/// which daemons tell others of it.
const ENDED_TIME: Duration = Duration::from_secs(60);

/// Time for which the decider repeats to the relays that a roll-out has ended.
const REPEATED_END_TIME: Duration = Duration::from_secs(5);

/// The newest roll-out of a service.
#[derive(Debug)]
pub(super) struct Known {
    pub record: RolloutRecord,
    /// Part of the requests that goes to the new release, as the decider said.
    pub share: f64,
    /// Daemon that decides; empty if none is known.
    pub decider: DaemonId,
    /// Time of the newest statement of the decider.
    pub contact: Duration,
    /// Whether the operator's status has been written.
    pub is_published: bool,
    /// Whether the new release has shown to be bad; this stays known while the store cannot be written.
    pub is_bad: bool,
    /// Whether the store was read again since the decider stopped answering.
    pub is_checked: bool,
    /// Age of the roll-out at `learnt_at`.
    age_when_learnt: Duration,
    learnt_at: Duration,
}

impl Known {
    /// Record from the store.
    pub fn from_store(record: RolloutRecord, wall: Duration, now: Duration) -> Self {
        let age_when_learnt = wall.saturating_sub(Duration::from_millis(record.started_ms));
        Self {
            record,
            share: 0.0,
            decider: DaemonId::new(),
            contact: now,
            is_published: false,
            is_bad: false,
            is_checked: false,
            age_when_learnt,
            learnt_at: now,
        }
    }

    pub fn from_notice(notice: &RolloutNotice, now: Duration) -> Self {
        let mut known = Self::from_store(notice.record.clone(), Duration::ZERO, now);
        known.age_when_learnt = Duration::from_millis(notice.age_ms);
        known.contact = now.saturating_sub(Duration::from_millis(notice.contact_ms));
        known.share = f64::from(notice.share_permille) / 1000.0;
        known.decider.clone_from(&notice.decider);
        known.is_published = notice.is_published;
        known.is_bad = notice.is_bad;
        known
    }

    /// Time since the roll-out began.
    pub fn age(&self, now: Duration) -> Duration {
        self.age_when_learnt + now.saturating_sub(self.learnt_at)
    }

    /// Takes the age of what was known before, which does not depend on wall clocks.
    pub fn keep_age(&mut self, before: &Self, now: Duration) {
        self.age_when_learnt = before.age(now);
    }

    pub fn notice(&self, own_id: &str, now: Duration) -> RolloutNotice {
        let contact = if self.decider == own_id { now } else { self.contact };
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        RolloutNotice {
            record: self.record.clone(),
            // Rounded down, as it is a limit.
            share_permille: (self.share * 1000.0) as u16,
            decider: self.decider.clone(),
            contact_ms: millis(now.saturating_sub(contact)),
            age_ms: millis(self.age(now)),
            is_published: self.is_published,
            is_bad: self.is_bad,
        }
    }

    /// Whether this daemon does not know what the decider says now.
    pub fn is_unsure(&self, own_id: &str, now: Duration) -> bool {
        !self.record.phase.is_final() && self.decider != own_id && now > self.contact + UNSURE_AFTER
    }

    /// Whether other daemons get a notice of the roll-out when they ask for news.
    pub fn is_news(&self, now: Duration) -> bool {
        !self.record.phase.is_final() || now < self.learnt_at + ENDED_TIME
    }

    /// Whether the decider still has to tell the relays of the end, as some may have missed it.
    pub fn has_just_ended(&self, now: Duration) -> bool {
        self.record.phase.is_final() && now < self.learnt_at + REPEATED_END_TIME
    }

    pub fn view(&self, own_id: &str, now: Duration) -> ReleaseView {
        let share = if self.is_bad || self.is_unsure(own_id, now) { 0.0 } else { self.share };
        let has_ended_long_ago = !self.is_news(now);
        let filter = match self.record.phase {
            RolloutPhase::Succeeded if has_ended_long_ago => {
                ReleaseFilter::only(Some(self.record.target.clone()))
            }
            _ => ReleaseFilter::of(&self.record, share),
        };
        let epoch = self.age(now).as_millis() / EPOCH_TIME.as_millis();
        let is_running = !self.record.phase.is_final();
        let contact = if self.decider == own_id { now } else { self.contact };
        ReleaseView {
            filter,
            epoch: if is_running { u64::try_from(epoch).unwrap_or(u64::MAX) } else { 0 },
            is_running,
            canary_until: contact + UNSURE_AFTER,
        }
    }
}
