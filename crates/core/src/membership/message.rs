//! Messages between daemons, events and actions of the membership state machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::filter::{Filter, member_digest};
use super::member::{Member, MemberState};
use crate::id::{DaemonId, Incarnation, ServiceName};

/// Asks a daemon whether it runs, or answers that (an ack).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Number of the probe at its sender; the ack repeats it.
    pub number: u64,
    /// The sender's statement about itself.
    pub from: Member,
    /// Digest of the sender's table.
    pub digest: u64,
    /// Piggybacked statements about members.
    pub updates: Vec<Member>,
}

impl Probe {
    /// Whether the sender has no other member in its table, so that it cannot suspect the receiver.
    pub(super) fn knows_nobody(&self) -> bool {
        self.digest == member_digest(&self.from)
    }
}

/// Asks a daemon to probe another one that did not answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Number of the probe that failed; the answer repeats it.
    pub number: u64,
    /// The sender's statement about itself.
    pub from: Member,
    /// Daemon to probe.
    pub target: DaemonId,
    /// Address of its listener for peers.
    pub target_addr: SocketAddr,
}

/// Answers a [`ProbeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Number of the request.
    pub number: u64,
    /// The target's statement about itself, when it answered.
    pub target: Option<Member>,
}

/// Asks for the statements that the sender lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender's statement about itself.
    pub from: Member,
    /// The statements that it holds.
    pub filter: Filter,
}

/// Statements that the receiver lacks, as many as the sender's budget allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The sender's statement about itself.
    pub from: Member,
    /// Members.
    pub updates: Vec<Member>,
    /// The statements that the sender holds, when it wants a delta in return.
    pub filter: Option<Filter>,
}

/// What a daemon knows about itself and its backend server.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalState {
    /// `Cold`, `Ready`, `Draining` or `Left`; others are ignored.
    pub state: MemberState,
    /// Service of the backend server, once it has announced itself.
    pub service: Option<ServiceName>,
    /// Slots of the backend server.
    pub slots: u32,
}

/// What happened to a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A probe was received.
    Probe(Probe),
    /// An ack was received.
    Ack(Probe),
    /// The transport refused a probe or timed out; `tick` also times probes out by itself.
    ProbeFailed {
        /// Number of the probe.
        number: u64,
    },
    /// Another daemon asks for an indirect probe.
    ProbeRequest(ProbeRequest),
    /// An indirect probe ended.
    ProbeAnswer(ProbeAnswer),
    /// Updates were pushed.
    Pushed(Vec<Member>),
    /// Another daemon's table differs.
    SyncRequest(SyncRequest),
    /// Statements that were asked for were received.
    Delta(Delta),
    /// The state of this daemon or its backend server changed.
    Local(LocalState),
    /// A member was learnt from the settings or from a `join` entry of the log.
    Learnt(Member),
    /// An `evict` or `leave` entry was read from the log.
    Evicted {
        /// Evicted daemon.
        id: DaemonId,
        /// Incarnation that was evicted.
        incarnation: Incarnation,
    },
}

/// What a daemon is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a probe.
    SendProbe {
        /// Address of the listener for peers.
        to: SocketAddr,
        /// Message.
        probe: Probe,
    },
    /// Answer a probe.
    SendAck {
        /// Address of the listener for peers.
        to: SocketAddr,
        /// Message.
        ack: Probe,
    },
    /// Ask a third daemon for an indirect probe.
    SendProbeRequest {
        /// Address of the listener for peers.
        via: SocketAddr,
        /// Message.
        request: ProbeRequest,
    },
    /// Answer a request for an indirect probe.
    SendProbeAnswer {
        /// Address of the listener for peers.
        to: SocketAddr,
        /// Message.
        answer: ProbeAnswer,
    },
    /// Push updates at once.
    Push {
        /// Address of the listener for peers.
        to: SocketAddr,
        /// Updates.
        updates: Vec<Member>,
    },
    /// Ask for the statements that are lacking.
    SendSyncRequest {
        /// Address of the listener for peers.
        to: SocketAddr,
        /// Message.
        request: SyncRequest,
    },
    /// Send statements that another daemon lacks.
    SendDelta {
        /// Address of the listener for peers.
        to: SocketAddr,
        /// Message.
        delta: Delta,
    },
    /// The table has a new statement about a member, possibly this daemon itself.
    StateChanged {
        /// Statement that holds now.
        member: Member,
    },
    /// Append `evict` to stream `members`; repeated until the entry is read.
    ProposeEvict {
        /// Dead daemon.
        id: DaemonId,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// This incarnation was evicted by the log; a `join` is needed to own keys again.
    SelfEvicted,
    /// A newer incarnation of this daemon's id runs elsewhere.
    Superseded {
        /// The newer incarnation.
        incarnation: Incarnation,
    },
}
