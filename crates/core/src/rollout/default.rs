//! The release that gets the requests of a service for which no roll-out is known.

use std::cmp::Reverse;
use std::time::Duration;

use crate::id::{Incarnation, Release};
use crate::membership::Member;

/// Time for which a choice can be corrected. A daemon learns of the others one after another, so the first that it
/// knows says little about which release has the traffic.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// The release that gets the requests of a service, as one daemon chooses it.
///
/// Once settled, it stays until all its members have left or were declared dead: more backend servers of another
/// release are no order, and neither are members that are suspected for a while.
#[derive(Debug, Clone, Default)]
pub struct DefaultRelease {
    chosen: Option<Release>,
    /// Time from which the choice stays.
    settled_from: Duration,
}

impl DefaultRelease {
    /// Takes in the members of the service as known at `now`; returns the release that gets the requests. It is
    /// `None` only if no member that can serve has a known release.
    pub fn update(&mut self, members: &[&Member], now: Duration) -> Option<Release> {
        let is_present = self.chosen.is_some()
            && members.iter().any(|m| !m.is_departed() && m.release == self.chosen);
        let best = default_release(members, None);
        if !is_present {
            self.chosen = best;
            self.settled_from = now + SETTLE_TIME;
        } else if now < self.settled_from && self.is_beaten_by(&best, members) {
            self.chosen = best;
        }
        self.chosen.clone()
    }

    /// Whether `other` has more members even if all whose release is not known yet belong to the chosen one.
    fn is_beaten_by(&self, other: &Option<Release>, members: &[&Member]) -> bool {
        let unknown = Rank::of(&None, members).able;
        let mut own = Rank::of(&self.chosen, members);
        own.able += unknown;
        other.is_some() && Rank::of(other, members) > own
    }
}

/// Order of the releases of a service: by members that can serve, then by the start of the first member.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    able: usize,
    first: Reverse<Incarnation>,
}

impl Rank {
    fn of(release: &Option<Release>, members: &[&Member]) -> Self {
        let of = members.iter().filter(|member| member.release == *release);
        let able = of.clone().filter(|member| member.is_able()).count();
        let first = of.map(|member| member.incarnation).min().unwrap_or(Incarnation::MAX);
        Self { able, first: Reverse(first) }
    }
}

/// Release that gets the requests of a service for which no roll-out is known: the one with most members, of
/// those with equally many the one whose first member started earliest. `known`, chosen before, stays as long as
/// it has a member that can serve. Members whose release is not known yet count only if there are no others.
#[must_use]
pub fn default_release(members: &[&Member], known: Option<&Option<Release>>) -> Option<Release> {
    if let Some(known) = known
        && known.is_some()
        && members.iter().any(|member| member.is_able() && member.release == *known)
    {
        return known.clone();
    }
    let rank = |release: &Option<Release>| {
        let rank = Rank::of(release, members);
        (rank.able > 0 && release.is_some(), rank)
    };
    members
        .iter()
        .map(|member| &member.release)
        .max_by_key(|release| rank(release))
        .cloned()
        .flatten()
}
