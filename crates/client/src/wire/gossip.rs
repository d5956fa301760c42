//! Wire types of the membership protocol.

use std::net::SocketAddr;

use baobabreel_core::id::{DaemonId, DataCentre, Incarnation, Release, ServiceName};
use baobabreel_core::membership::{
    Delta, Filter, Member, MemberState, Probe, ProbeAnswer, ProbeRequest, SyncRequest,
};
use serde::{Deserialize, Serialize};

/// Wire form of a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberWire {
    /// Identifier of the daemon.
    pub id: DaemonId,
    /// Start time of the daemon in milliseconds since the Unix epoch.
    pub incarnation: Incarnation,
    /// Number of the update within the incarnation.
    pub sequence: u64,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Service of the backend server.
    pub service: Option<ServiceName>,
    /// Address of the listener for peers.
    pub peer_addr: SocketAddr,
    /// State of the daemon and its backend server.
    pub state: MemberState,
    /// Slots of the backend server.
    pub slots: u32,
    /// Release of the backend server; older daemons do not send it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub release: Option<Release>,
}

impl From<Member> for MemberWire {
    fn from(member: Member) -> Self {
        Self {
            id: member.id,
            incarnation: member.incarnation,
            sequence: member.sequence,
            data_centre: member.data_centre,
            service: member.service,
            peer_addr: member.peer_addr,
            state: member.state,
            slots: member.slots,
            release: member.release,
        }
    }
}

impl From<MemberWire> for Member {
    fn from(member: MemberWire) -> Self {
        Self {
            id: member.id,
            incarnation: member.incarnation,
            sequence: member.sequence,
            data_centre: member.data_centre,
            service: member.service,
            peer_addr: member.peer_addr,
            state: member.state,
            slots: member.slots,
            release: member.release,
        }
    }
}

fn to_wire(members: Vec<Member>) -> Vec<MemberWire> {
    members.into_iter().map(Into::into).collect()
}

fn from_wire(members: Vec<MemberWire>) -> Vec<Member> {
    members.into_iter().map(Into::into).collect()
}

/// Wire form of a probe or of its ack.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeWire {
    /// Number of the probe at its sender; the ack repeats it.
    pub number: u64,
    /// The sender's own entry.
    pub from: MemberWire,
    /// Digest of the sender's member table.
    pub digest: u64,
    /// Recent updates of members.
    pub updates: Vec<MemberWire>,
}

impl From<Probe> for ProbeWire {
    fn from(probe: Probe) -> Self {
        let Probe { number, from, digest, updates } = probe;
        Self { number, from: from.into(), digest, updates: to_wire(updates) }
    }
}

impl From<ProbeWire> for Probe {
    fn from(probe: ProbeWire) -> Self {
        let ProbeWire { number, from, digest, updates } = probe;
        Self { number, from: from.into(), digest, updates: from_wire(updates) }
    }
}

/// A membership message.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum GossipWire {
    /// Asks a daemon whether it is alive.
    Probe(ProbeWire),
    /// Answers a probe.
    Ack(ProbeWire),
    /// Asks a daemon to probe another one, which did not answer the sender.
    ProbeRequest {
        /// Number of the probe that failed; the answer repeats it.
        number: u64,
        /// The sender's own entry.
        from: MemberWire,
        /// Daemon to be probed.
        target: DaemonId,
        /// Address of the target's listener for peers.
        target_addr: SocketAddr,
    },
    /// Answers a request for an indirect probe.
    ProbeAnswer {
        /// Number of the request.
        number: u64,
        /// The target's own entry, if it answered.
        target: Option<MemberWire>,
    },
    /// Updates that are sent at once instead of with the next probe.
    Push(Vec<MemberWire>),
    /// Asks for the members of the table buckets whose digests differ.
    SyncRequest {
        /// The sender's own entry.
        from: MemberWire,
        /// Which members the sender has.
        filter: Filter,
    },
    /// Members of the table buckets whose digests differ.
    Delta {
        /// The sender's own entry.
        from: MemberWire,
        /// The members.
        updates: Vec<MemberWire>,
        /// Which members the sender has, if it wants a delta in return.
        filter: Option<Filter>,
    },
}

impl From<ProbeRequest> for GossipWire {
    fn from(request: ProbeRequest) -> Self {
        let ProbeRequest { number, from, target, target_addr } = request;
        Self::ProbeRequest { number, from: from.into(), target, target_addr }
    }
}

impl From<ProbeAnswer> for GossipWire {
    fn from(answer: ProbeAnswer) -> Self {
        Self::ProbeAnswer { number: answer.number, target: answer.target.map(Into::into) }
    }
}

impl From<SyncRequest> for GossipWire {
    fn from(request: SyncRequest) -> Self {
        Self::SyncRequest { from: request.from.into(), filter: request.filter }
    }
}

impl From<Delta> for GossipWire {
    fn from(delta: Delta) -> Self {
        let Delta { from, updates, filter } = delta;
        Self::Delta { from: from.into(), updates: to_wire(updates), filter }
    }
}

impl From<Vec<Member>> for GossipWire {
    fn from(updates: Vec<Member>) -> Self {
        Self::Push(to_wire(updates))
    }
}

impl From<GossipWire> for baobabreel_core::membership::Event {
    fn from(message: GossipWire) -> Self {
        match message {
            GossipWire::Probe(probe) => Self::Probe(probe.into()),
            GossipWire::Ack(ack) => Self::Ack(ack.into()),
            GossipWire::ProbeRequest { number, from, target, target_addr } => {
                Self::ProbeRequest(ProbeRequest { number, from: from.into(), target, target_addr })
            }
            GossipWire::ProbeAnswer { number, target } => {
                Self::ProbeAnswer(ProbeAnswer { number, target: target.map(Into::into) })
            }
            GossipWire::Push(updates) => Self::Pushed(from_wire(updates)),
            GossipWire::SyncRequest { from, filter } => {
                Self::SyncRequest(SyncRequest { from: from.into(), filter })
            }
            GossipWire::Delta { from, updates, filter } => {
                Self::Delta(Delta { from: from.into(), updates: from_wire(updates), filter })
            }
        }
    }
}
