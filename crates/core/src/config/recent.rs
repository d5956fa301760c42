//! Verdicts on the change ids seen last.

use std::collections::{BTreeMap, VecDeque};

use super::change::{Rejection, Verdict};
use crate::id::ChangeId;

/// Change ids whose verdicts are remembered.
pub const RECENT_CHANGES: usize = 4_096;

/// Window of change ids, the oldest first.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Recent {
    order: VecDeque<ChangeId>,
    verdicts: BTreeMap<ChangeId, Verdict>,
}

impl Recent {
    pub(super) fn get(&self, change_id: &str) -> Option<&Verdict> {
        self.verdicts.get(change_id)
    }

    /// Remembers the first verdict on a change id that is not in the window.
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

/// Drops free texts: they come from the JSON parser, so they can differ between releases, which
/// would make digests differ, and their length is not bounded.
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
