//! Probes under way and the order in which members are probed.

use std::net::SocketAddr;
use std::time::Duration;

use super::member::{Member, Members};
use super::queue::Draw;
use crate::id::DaemonId;

/// Why a probe was sent and how far it got.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Phase {
    /// Sent to the member itself.
    Direct,
    /// Third daemons were asked; `open` of them have not answered.
    Indirect { open: usize },
    /// Sent for another daemon.
    OnBehalf { of: SocketAddr, number: u64 },
    /// Sent to a seed or a departed member to find out whether it can be reached again.
    Contact,
}

/// A probe without an ack.
#[derive(Debug)]
pub(super) struct Outstanding {
    pub(super) target: Option<DaemonId>,
    pub(super) phase: Phase,
    pub(super) deadline: Duration,
}

/// Members in random order, each once a round.
#[derive(Debug, Default)]
pub(super) struct Ring {
    ids: Vec<DaemonId>,
}

impl Ring {
    /// Next member that has not departed; a new round covers the members for which `belongs` holds.
    pub(super) fn next<'a>(
        &mut self,
        members: &'a Members,
        belongs: impl Fn(&Member) -> bool,
        draw: &mut Draw,
    ) -> Option<&'a Member> {
        self.pop(members).or_else(|| {
            let round = members.iter().filter(|m| !m.is_departed() && belongs(m));
            self.ids = round.map(|member| member.id.clone()).collect();
            let count = self.ids.len();
            draw.shuffle(&mut self.ids, count);
            self.pop(members)
        })
    }

    /// Adds members that the present round left out.
    pub(super) fn add(&mut self, members: Vec<&Member>, draw: &mut Draw) {
        if members.is_empty() {
            return;
        }
        self.ids.extend(members.into_iter().map(|member| member.id.clone()));
        let count = self.ids.len();
        draw.shuffle(&mut self.ids, count);
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
