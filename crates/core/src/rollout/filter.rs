//! Which backend servers of a service may get a request.

use super::record::{RolloutPhase, RolloutRecord};
use crate::id::Release;
use crate::membership::Member;

/// Part of the backend servers of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// Those that get all requests but those of the canary.
    Main,
    /// Those of the release that is being tried.
    Canary,
}

/// Which backend servers of a service may get a request, in one phase of a roll-out.
#[derive(Debug, Clone, PartialEq)]
pub struct ReleaseFilter {
    /// Release with the traffic; `None` are backend servers that name no release.
    main: Option<Release>,
    /// Release that is tried or was rolled back.
    other: Option<Release>,
    /// Part of the requests that goes to the canary.
    share: f64,
}

impl ReleaseFilter {
    /// Filter of a service for which no roll-out is known: only one release gets requests.
    #[must_use]
    pub fn only(main: Option<Release>) -> Self {
        Self { main, other: None, share: 0.0 }
    }

    /// Filter of a roll-out; `share` is the part of the requests that goes to the new release before all do.
    #[must_use]
    pub fn of(record: &RolloutRecord, share: f64) -> Self {
        let (base, target) = (record.base.clone(), Some(record.target.clone()));
        match record.phase {
            RolloutPhase::Canary | RolloutPhase::Ramp => Self { main: base, other: target, share },
            // While it is unsure whether the release is good, the old one gets all requests.
            RolloutPhase::Promoting if share >= 1.0 => {
                Self { main: target, other: base, share: 0.0 }
            }
            RolloutPhase::Promoting => Self { main: base, other: target, share: 0.0 },
            RolloutPhase::Succeeded => Self { main: target, other: base, share: 0.0 },
            RolloutPhase::RolledBack => Self { main: base, other: target, share: 0.0 },
        }
    }

    /// Part of the requests that goes to the canary.
    #[must_use]
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Side of a request; `draw` is random and stays the same for all attempts at it. Further attempts never go
    /// to the canary.
    #[must_use]
    pub fn side(&self, draw: u64, is_first_attempt: bool) -> Side {
        let fraction = draw as f64 / u64::MAX as f64;
        if is_first_attempt && fraction < self.share { Side::Canary } else { Side::Main }
    }

    /// Splits the members of a service; those on neither side get no requests.
    ///
    /// If no member of the main release is left, all others but those of the other release replace it: the
    /// operator has changed the release without a roll-out.
    #[must_use]
    pub fn split<'a>(
        &self,
        members: &[&'a Member],
        epoch: u64,
    ) -> (Vec<&'a Member>, Vec<&'a Member>) {
        let mut main: Vec<&Member> =
            members.iter().copied().filter(|member| member.release == self.main).collect();
        if !main.iter().any(|member| member.is_able()) {
            let others = members.iter().copied();
            main = others.filter(|m| self.other.is_none() || m.release != self.other).collect();
        }
        let canary: Vec<&Member> = members
            .iter()
            .copied()
            .filter(|m| self.share > 0.0 && m.release == self.other && m.release != self.main)
            .collect();
        let canary = self.concentrate(&main, canary, epoch);
        (main, canary)
    }

    /// Keeps so few members of the canary in each data centre that they have about the load for each slot that the
    /// main release has. Otherwise a fault that appears only under load would not show. Those kept change with
    /// `epoch`, so that one impaired instance is not taken for the whole release.
    fn concentrate<'a>(
        &self,
        main: &[&Member],
        canary: Vec<&'a Member>,
        epoch: u64,
    ) -> Vec<&'a Member> {
        let mut able: Vec<&Member> = canary.into_iter().filter(|member| member.is_able()).collect();
        able.sort_by(|a, b| (&a.data_centre, &a.id).cmp(&(&b.data_centre, &b.id)));
        let mut kept: Vec<&Member> = Vec::new();
        for local in able.chunk_by_mut(|a, b| a.data_centre == b.data_centre) {
            let first = epoch % local.len() as u64;
            local.rotate_left(first as usize);
        }
        for member in able {
            let slots = |members: &[&Member]| -> u32 {
                let local = members.iter().filter(|m| m.data_centre == member.data_centre);
                local.map(|member| member.slots).sum()
            };
            let wanted = f64::from(slots(main)) * self.share;
            let has = slots(&kept);
            if has == 0 || f64::from(has) < wanted {
                kept.push(member);
            }
        }
        kept
    }
}
