//! Pending probes and the order in which members are probed.

use std::net::SocketAddr;
use std::time::Duration;

use super::member::{Member, Members};
use super::queue::Rng;
use crate::id::DaemonId;

/// Kind of a pending probe, which decides what follows from its failure.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ProbeKind {
    /// Sent directly to the member.
    Direct,
    /// Requested from other daemons, of which `unanswered` have not yet answered.
    Indirect { unanswered: usize },
    /// Sent at the request of another daemon; `number` is that of its request.
    OnBehalf { requester: SocketAddr, number: u64 },
    /// Sent to a seed or a departed member to find out whether it can be reached again.
    Reconnect,
}

/// A probe that has not been acknowledged yet.
#[derive(Debug)]
pub(super) struct PendingProbe {
    /// Daemon that must acknowledge the probe; `None` if any daemon at the address may.
    pub(super) target: Option<DaemonId>,
    pub(super) kind: ProbeKind,
    pub(super) deadline: Duration,
}

/// Random order in which members are probed, each once in a round.
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    /// Members that the current round has yet to probe, the next one last.
    ids: Vec<DaemonId>,
}

impl ProbeOrder {
    /// Next member of the round that has not departed. If none is left, starts a new round with all
    /// members for which `is_eligible` holds and that have not departed.
    pub(super) fn next<'a>(
        &mut self,
        members: &'a Members,
        is_eligible: impl Fn(&Member) -> bool,
        rng: &mut Rng,
    ) -> Option<&'a Member> {
        self.pop(members).or_else(|| {
            let round = members.iter().filter(|m| !m.is_departed() && is_eligible(m));
            self.ids = round.map(|member| member.id.clone()).collect();
            let count = self.ids.len();
            rng.shuffle(&mut self.ids, count);
            self.pop(members)
        })
    }

    /// Adds members to the rest of the current round, at random places.
    pub(super) fn add(&mut self, members: Vec<&Member>, rng: &mut Rng) {
        if members.is_empty() {
            return;
        }
        self.ids.extend(members.into_iter().map(|member| member.id.clone()));
        let count = self.ids.len();
        rng.shuffle(&mut self.ids, count);
    }

    /// Removes ids up to the first one whose member has not departed and returns that member.
    fn pop<'a>(&mut self, members: &'a Members) -> Option<&'a Member> {
        while let Some(id) = self.ids.pop() {
            let member = members.get(&id).filter(|member| !member.is_departed());
            if member.is_some() {
                return member;
            }
        }
        None
    }
}
