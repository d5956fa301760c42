//! Probes under way and the order in which members are probed.

use std::net::SocketAddr;
use std::time::Duration;

use super::member::{Member, Members};
use super::queue::Rng;
use crate::id::DaemonId;

/// Why a probe was sent and how far it got.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum ProbeKind {
    /// Sent to the member itself.
    Direct,
    /// Requested from other daemons, `unanswered` of which have not answered.
    Indirect { unanswered: usize },
    /// Sent for another daemon.
    OnBehalf { requester: SocketAddr, number: u64 },
    /// Sent to a seed or a departed member to find out whether it can be reached again.
    Reconnect,
}

/// A probe without an ack.
#[derive(Debug)]
pub(super) struct PendingProbe {
    pub(super) target: Option<DaemonId>,
    pub(super) kind: ProbeKind,
    pub(super) deadline: Duration,
}

/// Members in random order, each once a round.
#[derive(Debug, Default)]
pub(super) struct ProbeOrder {
    ids: Vec<DaemonId>,
}

impl ProbeOrder {
    /// Next member that has not departed; a new round covers the members that are `is_eligible`.
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

    /// Adds members that the present round left out.
    pub(super) fn add(&mut self, members: Vec<&Member>, rng: &mut Rng) {
        if members.is_empty() {
            return;
        }
        self.ids.extend(members.into_iter().map(|member| member.id.clone()));
        let count = self.ids.len();
        rng.shuffle(&mut self.ids, count);
    }

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
