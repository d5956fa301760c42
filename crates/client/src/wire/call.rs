//! Heads of calls and answers on the data path.
//!
//! The head of a call carries the decision of the entry daemon, so that the daemon beside the
//! backend server needs no route of its own and cannot disagree about it.

use std::fmt;

use baobabreel_core::balance::LoadReport;
use baobabreel_core::config::{Class, Version};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::{DaemonId, Incarnation, RouteName, ServiceName};
use baobabreel_core::idempotency::Attempt;
use http::HeaderValue;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::keys::Fingerprint;

/// Idempotency key of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyHead {
    /// The key as the caller sent it.
    pub key: String,
    /// Hash of method, path and body.
    pub fingerprint: Fingerprint,
    /// Whether the caller says that it never sent the key before.
    pub first: bool,
    /// Daemon that is to decide as the owner; absent once it has decided that the call runs.
    pub owner: Option<(DaemonId, Incarnation)>,
    /// Service that takes the call when the one of the route has no backend server for it.
    pub fallback: Option<ServiceName>,
}

impl KeyHead {
    /// What the caller says about earlier attempts.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        if self.first { Attempt::First } else { Attempt::MayRepeat }
    }
}

/// Head of a call between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Identifier of this attempt, drawn at random.
    pub id: u64,
    /// Route that matched at the entry daemon.
    pub route: RouteName,
    /// Service of the chosen backend server.
    pub service: ServiceName,
    /// Class of the request.
    pub class: Class,
    /// Remaining time in milliseconds.
    pub remaining_ms: u64,
    /// Whether this is a second try of the entry daemon or of a hop before it.
    pub retry: bool,
    /// Version of the configuration at the entry daemon.
    pub version: Version,
    /// Idempotency key, if the request has one.
    pub key: Option<KeyHead>,
    /// Remaining time in which an answer is of full use, in milliseconds, where the route tells it.
    pub target_ms: Option<u64>,
    /// Whether the call is refused rather than queued when no slot is free.
    pub only_if_free: bool,
}

/// Question about a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallQuery {
    /// Identifier of the attempt.
    pub id: u64,
    /// Incarnation of the daemon that the call was sent to.
    pub incarnation: Incarnation,
}

/// What a daemon knows about a call that was sent to it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallState {
    /// It has arrived and is not answered.
    Active,
    /// It was answered a short time ago.
    Answered,
    /// It has not arrived, and will not be run if it still does.
    NotRun,
}

/// Load of a backend server as the daemon beside it sees it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWire {
    /// Calls that hold a slot.
    pub running: u32,
    /// Calls in the queue.
    pub queued: u32,
    /// Slots.
    pub slots: u32,
}

impl From<LoadWire> for LoadReport {
    fn from(load: LoadWire) -> Self {
        Self { running: load.running, queued: load.queued }
    }
}

/// Head of an answer between two daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Kind of the error, if the answer is one of a daemon.
    pub error: Option<ErrorKind>,
    /// Load after the call.
    pub load: LoadWire,
}

/// A head cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeHeadError(String);

impl fmt::Display for DecodeHeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to decode a head: {}", self.0)
    }
}

impl std::error::Error for DecodeHeadError {}

const HEX: &[u8; 16] = b"0123456789abcdef";

fn to_header<T: Serialize>(head: &T) -> HeaderValue {
    let raw = rmp_serde::to_vec(head).unwrap_or_default();
    let mut text = Vec::with_capacity(raw.len() * 2);
    for byte in raw {
        text.push(HEX[usize::from(byte >> 4)]);
        text.push(HEX[usize::from(byte & 15)]);
    }
    HeaderValue::from_bytes(&text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn from_header<T: DeserializeOwned>(value: &HeaderValue) -> Result<T, DecodeHeadError> {
    let fault = |detail: &str| DecodeHeadError(detail.to_owned());
    let digit = |b: u8| char::from(b).to_digit(16).and_then(|d| u8::try_from(d).ok());
    let text = value.as_bytes();
    if !text.len().is_multiple_of(2) {
        return Err(fault("odd length"));
    }
    let raw = text
        .chunks_exact(2)
        .map(|pair| Some((digit(pair[0])? << 4) | digit(pair[1])?))
        .collect::<Option<Vec<u8>>>()
        .ok_or_else(|| fault("not hexadecimal"))?;
    rmp_serde::from_slice(&raw).map_err(|e| DecodeHeadError(e.to_string()))
}

impl From<&CallHead> for HeaderValue {
    fn from(head: &CallHead) -> Self {
        to_header(head)
    }
}

impl TryFrom<&HeaderValue> for CallHead {
    type Error = DecodeHeadError;

    fn try_from(value: &HeaderValue) -> Result<Self, Self::Error> {
        from_header(value)
    }
}

impl From<&AnswerHead> for HeaderValue {
    fn from(head: &AnswerHead) -> Self {
        to_header(head)
    }
}

impl TryFrom<&HeaderValue> for AnswerHead {
    type Error = DecodeHeadError;

    fn try_from(value: &HeaderValue) -> Result<Self, Self::Error> {
        from_header(value)
    }
}
