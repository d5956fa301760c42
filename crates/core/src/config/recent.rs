//! Verdicts on the most recent change ids.
//!
//! An entry that repeats one of these ids has no effect, so an author can safely send a change
//! again. An older id is no longer known, and an entry that repeats it is decided like a new one.

use std::collections::{BTreeMap, VecDeque};

use super::change::{Rejection, Verdict};
use crate::id::ChangeId;

/// Number of change ids whose verdicts are kept.
pub const RECENT_CHANGES: usize = 4_096;

/// The last [`RECENT_CHANGES`] change ids, oldest first, with their first verdicts.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct RecentVerdicts {
    order: VecDeque<ChangeId>,
    verdicts: BTreeMap<ChangeId, Verdict>,
}

impl RecentVerdicts {
    pub(super) fn get(&self, change_id: &str) -> Option<&Verdict> {
        self.verdicts.get(change_id)
    }

    /// Adds a change id that is not present yet, and evicts the oldest one when full.
    pub(super) fn push(&mut self, change_id: ChangeId, verdict: &Verdict) {
        self.order.push_back(change_id.clone());
        self.verdicts.insert(change_id, without_detail(verdict));
        if self.order.len() > RECENT_CHANGES
            && let Some(oldest) = self.order.pop_front()
        {
            self.verdicts.remove(&oldest);
        }
    }

    pub(super) fn iter(&self) -> impl ExactSizeIterator<Item = (&ChangeId, &Verdict)> {
        self.order.iter().map(|id| (id, &self.verdicts[id]))
    }
}

/// Clears the `detail` texts. They come from the JSON parser, so they can differ between releases,
/// which would make digests differ, and their length is not limited.
fn without_detail(verdict: &Verdict) -> Verdict {
    let mut verdict = verdict.clone();
    if let Verdict::Rejected {
        reason: Rejection::Malformed { detail } | Rejection::UnreadableForm { detail, .. },
        ..
    } = &mut verdict
    {
        detail.clear();
    }
    verdict
}
