//! Queries about idempotency keys that an owner sends to previous owners.

use baobabreel_core::id::{DaemonId, Incarnation, ServiceName};
use baobabreel_core::idempotency::{KeyStatus, PriorAnswer};
use serde::{Deserialize, Serialize};

/// 128-bit hash of method, path and body, to tell whether a key is reused for another request. Two
/// halves, as MessagePack has no 128-bit integers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fingerprint(u64, u64);

impl From<u128> for Fingerprint {
    fn from(hash: u128) -> Self {
        Self((hash >> 64) as u64, hash as u64)
    }
}

impl From<Fingerprint> for u128 {
    fn from(hash: Fingerprint) -> Self {
        (Self::from(hash.0) << 64) | Self::from(hash.1)
    }
}

/// Asks a previous owner of a key what it knows about it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyQueryWire {
    /// Daemon that the query is for.
    pub daemon: DaemonId,
    /// Incarnation of the daemon that the query is for.
    pub incarnation: Incarnation,
    /// Service of the request.
    pub service: ServiceName,
    /// The idempotency key.
    pub key: String,
    /// Hash of method, path and body.
    pub fingerprint: Fingerprint,
}

/// Answer of a previous owner to a [`KeyQueryWire`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PriorAnswerWire {
    /// It has no record of the key and will never run a request with it.
    NoRecord,
    /// The request is running.
    InProgress,
    /// The request ran, with this answer.
    Done(Vec<u8>),
    /// The request ran; its answer is not kept.
    AnswerNotKept,
    /// The request may have run.
    OutcomeUnknown,
    /// The key was used for another request.
    KeyReused,
    /// Ownership of the key was handed to a later owner.
    Ceded,
    /// The previous owner cannot tell.
    Unreachable,
}

impl From<PriorAnswer> for PriorAnswerWire {
    fn from(answer: PriorAnswer) -> Self {
        match answer {
            PriorAnswer::NoRecord => Self::NoRecord,
            PriorAnswer::Unreachable
            | PriorAnswer::Known(KeyStatus::Run | KeyStatus::Overloaded) => Self::Unreachable,
            PriorAnswer::Known(KeyStatus::InProgress) => Self::InProgress,
            PriorAnswer::Known(KeyStatus::Done(answer)) => Self::Done(answer.to_vec()),
            PriorAnswer::Known(KeyStatus::AnswerNotKept) => Self::AnswerNotKept,
            PriorAnswer::Known(KeyStatus::OutcomeUnknown) => Self::OutcomeUnknown,
            PriorAnswer::Known(KeyStatus::KeyReused) => Self::KeyReused,
            PriorAnswer::Known(KeyStatus::Ceded) => Self::Ceded,
        }
    }
}

impl From<PriorAnswerWire> for PriorAnswer {
    fn from(answer: PriorAnswerWire) -> Self {
        Self::Known(match answer {
            PriorAnswerWire::NoRecord => return Self::NoRecord,
            PriorAnswerWire::Unreachable => return Self::Unreachable,
            PriorAnswerWire::InProgress => KeyStatus::InProgress,
            PriorAnswerWire::Done(answer) => KeyStatus::Done(answer.into()),
            PriorAnswerWire::AnswerNotKept => KeyStatus::AnswerNotKept,
            PriorAnswerWire::OutcomeUnknown => KeyStatus::OutcomeUnknown,
            PriorAnswerWire::KeyReused => KeyStatus::KeyReused,
            PriorAnswerWire::Ceded => KeyStatus::Ceded,
        })
    }
}
