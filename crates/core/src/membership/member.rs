//! Member of the mesh and the table of all members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::filter::member_digest;
use crate::id::{DaemonId, DataCentre, Incarnation, Release, ServiceName};

/// State of a daemon together with its backend server. The order matters: of two statements with
/// the same incarnation and sequence number, the one with the higher state is the newer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberState {
    /// Started, but not yet able to serve.
    Cold,
    /// Able to serve.
    Ready,
    /// Finishing running work and accepting no new work.
    Draining,
    /// Did not answer probes, but not yet declared dead.
    Suspect,
    /// Left the mesh of its own accord.
    Left,
    /// Declared dead by another daemon.
    Dead,
}

/// A versioned statement about one daemon and its backend server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Start time of the daemon in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Version number within the incarnation, which only the daemon itself increases.
    pub sequence: u64,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Service of the backend server, once it has announced itself.
    pub service: Option<ServiceName>,
    /// Address of the daemon's listener for peers.
    pub peer_addr: SocketAddr,
    /// State of the daemon and its backend server.
    pub state: MemberState,
    /// Number of requests that the backend server processes at once.
    pub slots: u32,
    /// Release of the backend server, if it names one.
    pub release: Option<Release>,
}

impl Member {
    /// Whether `self` is a newer statement about the same daemon than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        (self.incarnation, self.sequence, self.state)
            > (other.incarnation, other.sequence, other.state)
    }

    /// Whether the daemon is running as far as is known: cold, ready or draining.
    #[must_use]
    pub fn is_live(&self) -> bool {
        self.state < MemberState::Suspect
    }

    /// Whether the daemon has left or was declared dead.
    #[must_use]
    pub fn is_departed(&self) -> bool {
        self.state > MemberState::Suspect
    }

    /// Whether new work may be sent to this member.
    #[must_use]
    pub fn is_able(&self) -> bool {
        self.state == MemberState::Ready && self.service.is_some()
    }
}

/// Table with the newest known statement about each member and a digest that each change updates.
#[derive(Debug, Clone, Default)]
pub struct Members {
    by_id: BTreeMap<DaemonId, Member>,
    digest: u64,
}

impl Members {
    /// Stores a statement if it is newer than the known one; returns whether it was.
    pub fn merge(&mut self, member: Member) -> bool {
        if let Some(known) = self.by_id.get(&member.id) {
            if !member.supersedes(known) {
                return false;
            }
            self.digest ^= member_digest(known);
        }
        self.digest ^= member_digest(&member);
        self.by_id.insert(member.id.clone(), member);
        true
    }

    /// Removes a member and returns the statement about it, if it was known.
    pub fn remove(&mut self, id: &str) -> Option<Member> {
        let member = self.by_id.remove(id)?;
        self.digest ^= member_digest(&member);
        Some(member)
    }

    /// Digest of the statements about members that have not departed; equal tables have equal
    /// digests.
    #[must_use]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The statement about the member with this id.
    #[must_use]
    pub fn get(&self, id: &str) -> Option<&Member> {
        self.by_id.get(id)
    }

    /// Number of known members, departed ones included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Whether no member is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// All members, ordered by id.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_id.values()
    }

    /// Members that are cold, ready or draining.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.iter().filter(|member| member.is_live())
    }

    /// Members whose backend server belongs to `service`.
    pub fn of_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a Member> {
        self.iter().filter(move |member| member.service.as_deref() == Some(service))
    }
}
