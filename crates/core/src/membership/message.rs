//! Messages between daemons, and the events and actions of the membership state machine.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::filter::{Filter, member_digest};
use super::member::{Member, MemberState};
use crate::id::{DaemonId, Incarnation, Release, ServiceName};

/// Asks a daemon whether it is running (a probe), or confirms that it is (an ack).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Probe {
    /// Number that the sender of the probe assigned to it; the ack repeats it.
    pub number: u64,
    /// The sender's statement about itself.
    pub from: Member,
    /// Digest of the sender's member table.
    pub digest: u64,
    /// Piggybacked statements about members.
    pub updates: Vec<Member>,
}

impl Probe {
    /// Whether the sender's table holds no other member that has not departed; it then cannot
    /// suspect the receiver.
    pub(super) fn sender_knows_no_others(&self) -> bool {
        self.digest == member_digest(&self.from)
    }
}

/// Asks a daemon to probe another daemon that did not answer the sender (an indirect probe).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRequest {
    /// Number of the sender's probe that failed; the answer repeats it.
    pub number: u64,
    /// The sender's statement about itself.
    pub from: Member,
    /// Daemon to probe.
    pub target: DaemonId,
    /// Address of the target's listener for peers.
    pub target_addr: SocketAddr,
}

/// Answers a [`ProbeRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeAnswer {
    /// Number of the request.
    pub number: u64,
    /// The target's statement about itself; `None` if it did not answer or was not probed.
    pub target: Option<Member>,
}

/// Requests a [`Delta`] with the statements that the sender lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The sender's statement about itself.
    pub from: Member,
    /// Filter of the statements that the sender holds.
    pub filter: Filter,
}

/// Statements that the receiver lacks, as many as the sender's byte budget allows.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// The sender's statement about itself.
    pub from: Member,
    /// Statements about members.
    pub updates: Vec<Member>,
    /// Filter of the statements that the sender holds; `None` if it wants no delta in return.
    pub filter: Option<Filter>,
}

/// State of this daemon and its backend server, as observed by the daemon itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalState {
    /// `Cold`, `Ready`, `Draining` or `Left`; the event is ignored if it holds another state.
    pub state: MemberState,
    /// Service of the backend server, once it has announced itself.
    pub service: Option<ServiceName>,
    /// Number of requests that the backend server processes at once.
    pub slots: u32,
    /// Release of the backend server, if it names one.
    pub release: Option<Release>,
}

/// Input of the membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A probe was received.
    Probe(Probe),
    /// An ack was received.
    Ack(Probe),
    /// The transport failed to deliver a probe or timed out. This only speeds up the detection:
    /// [`Swim::tick`](super::Swim::tick) also times out probes by itself.
    ProbeFailed {
        /// Number of the probe.
        number: u64,
    },
    /// Another daemon asks for an indirect probe.
    ProbeRequest(ProbeRequest),
    /// The result of an indirect probe that this daemon requested was received.
    ProbeAnswer(ProbeAnswer),
    /// Pushed updates were received.
    Pushed(Vec<Member>),
    /// Another daemon requests a delta.
    SyncRequest(SyncRequest),
    /// A delta was received.
    Delta(Delta),
    /// The state of this daemon or its backend server changed.
    Local(LocalState),
    /// A member was found in the platform's list of daemons or in a `join` entry of the log.
    MemberDiscovered(Member),
    /// An `evict` entry was read from the log.
    Evicted {
        /// Evicted daemon.
        id: DaemonId,
        /// Incarnation that was evicted.
        incarnation: Incarnation,
    },
}

/// Output of the membership state machine, which the caller carries out.
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
    /// Ask another daemon for an indirect probe.
    SendProbeRequest {
        /// Address of the listener for peers of the daemon to ask.
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
    /// Send updates at once instead of piggybacking them.
    Push {
        /// Address of the listener for peers.
        to: SocketAddr,
        /// Updates.
        updates: Vec<Member>,
    },
    /// Request the statements that this daemon lacks.
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
    /// The table holds a new statement about a member, possibly about this daemon itself.
    StateChanged {
        /// The new statement.
        member: Member,
    },
    /// Append an `evict` entry to the stream `members` of the log. Returned again at intervals
    /// until the entry is read from the log.
    ProposeEvict {
        /// Dead daemon.
        id: DaemonId,
        /// Incarnation of the dead daemon.
        incarnation: Incarnation,
    },
    /// The log evicted this daemon's incarnation, which must append a `join` entry to own keys
    /// again.
    SelfEvicted,
    /// A newer incarnation with this daemon's id is running elsewhere.
    Superseded {
        /// The newer incarnation.
        incarnation: Incarnation,
    },
}
