//! Heads of calls and answers between daemons, carried in HTTP headers on the data path.
//!
//! The head of a call carries the routing decision of the entry daemon, so that the daemon beside
//! the backend server needs no routes of its own and cannot decide differently.

use std::fmt;

use baobabreel_core::balance::LoadReport;
use baobabreel_core::calls::CallState;
use baobabreel_core::condition::{Condition, RateLimit, RateStatement, ReportedCondition};
use baobabreel_core::config::{Class, Version};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::id::{DaemonId, Incarnation, InstanceId, RouteName, ServiceName, TenantName};
use baobabreel_core::idempotency::Attempt;
use baobabreel_core::registration::BootTime;
use baobabreel_core::tenants::KeyDigest;
use base64::Engine;
use base64::prelude::BASE64_STANDARD;
use http::{HeaderMap, HeaderName, HeaderValue};
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
    /// Whether the caller states that it has not sent the key before.
    pub first: bool,
    /// Daemon that decides as the owner of the key; absent once it has decided that the call runs.
    pub owner: Option<(DaemonId, Incarnation)>,
    /// Service that gets the call when the service of the route has no backend server for it.
    pub fallback: Option<ServiceName>,
}

impl KeyHead {
    /// Returns what the caller states about earlier attempts.
    #[must_use]
    pub fn attempt(&self) -> Attempt {
        if self.first { Attempt::First } else { Attempt::MayRepeat }
    }
}

/// Head of a call between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallHead {
    /// Random identifier of this attempt.
    pub id: u64,
    /// Route that the entry daemon matched.
    pub route: RouteName,
    /// Service of the chosen backend server.
    pub service: ServiceName,
    /// Class of the request.
    pub class: Class,
    /// Time left until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Whether this is a retry by the entry daemon or by a hop before it.
    pub retry: bool,
    /// Version of the configuration at the entry daemon.
    pub version: Version,
    /// Idempotency key, if the request has one.
    pub key: Option<KeyHead>,
    /// Time left until the latency target of the route, in milliseconds, if it has one; a later
    /// answer is of less use to the caller.
    pub target_ms: Option<u64>,
    /// Whether the call is refused rather than queued when no slot is free.
    pub only_if_free: bool,
    /// What the entry daemon knows that the backend server has stated.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition: Option<ConditionWire>,
}

/// Tenant of a call, in a header of its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TenantHead {
    /// Name of the tenant.
    pub name: TenantName,
    /// Digest of the API key that the caller sent.
    pub key_digest: KeyDigest,
    /// Milliseconds for which the entry daemon may still have calls started, where revocation has a bound.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lease_ms: Option<u64>,
}

/// Headers of a request with many headers, which are sent as one: a line `name:value` for each, in base64.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PackedHeaders(pub HeaderMap);

/// Asks a daemon for the state of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallQuery {
    /// Identifier of the attempt.
    pub id: u64,
    /// Incarnation of the daemon as its caller knew it when the call was sent.
    pub incarnation: Incarnation,
}

/// What a daemon knows about a call that was sent to it; see [`CallState`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallStateWire {
    /// See [`CallState::Active`].
    Active,
    /// See [`CallState::Answered`].
    Answered,
    /// See [`CallState::NotRun`].
    NotRun,
    /// See [`CallState::Unknown`].
    Unknown,
}

impl From<CallState> for CallStateWire {
    fn from(state: CallState) -> Self {
        match state {
            CallState::Active => Self::Active,
            CallState::Answered => Self::Answered,
            CallState::NotRun => Self::NotRun,
            CallState::Unknown => Self::Unknown,
        }
    }
}

impl From<CallStateWire> for CallState {
    fn from(wire: CallStateWire) -> Self {
        match wire {
            CallStateWire::Active => Self::Active,
            CallStateWire::Answered => Self::Answered,
            CallStateWire::NotRun => Self::NotRun,
            CallStateWire::Unknown => Self::Unknown,
        }
    }
}

/// Load of a backend server as seen by the daemon beside it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWire {
    /// Calls that hold a slot.
    pub running: u32,
    /// Calls in the queue.
    pub queued: u32,
    /// Slots in total.
    pub slots: u32,
}

impl From<LoadWire> for LoadReport {
    fn from(load: LoadWire) -> Self {
        Self { running: load.running, queued: load.queued }
    }
}

/// What a backend server has stated about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConditionWire {
    instance: InstanceId,
    boot: Option<BootTime>,
    /// Limit on its requests, in thousandths of a request per second.
    milli_per_second: Option<u64>,
    is_leaving: bool,
}

impl From<ReportedCondition> for ConditionWire {
    fn from(reported: ReportedCondition) -> Self {
        let limit = match reported.condition.rate {
            RateStatement::Limited(limit) => Some(limit),
            RateStatement::Unlimited | RateStatement::Unreadable => None,
        };
        Self {
            instance: reported.instance,
            boot: reported.boot,
            milli_per_second: limit.map(RateLimit::milli_per_second),
            is_leaving: reported.condition.is_leaving,
        }
    }
}

impl From<ConditionWire> for ReportedCondition {
    fn from(wire: ConditionWire) -> Self {
        let limit = wire.milli_per_second.map(RateLimit::from_milli_per_second);
        let rate = limit.map_or(RateStatement::Unlimited, RateStatement::Limited);
        Self {
            instance: wire.instance,
            boot: wire.boot,
            condition: Condition { rate, is_leaving: wire.is_leaving },
        }
    }
}

/// Head of an answer between two daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// Whether the call ran.
    pub outcome: Outcome,
    /// Kind of the error, if a daemon answers with an error in place of the backend server.
    pub error: Option<ErrorKind>,
    /// Load of the backend server after the call.
    pub load: LoadWire,
    /// What the backend server has stated, if it has a limit or is leaving.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition: Option<ConditionWire>,
}

/// Error: the head of a call or answer cannot be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodeHeadError(String);

impl fmt::Display for DecodeHeadError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "failed to decode the head of a call or answer: {}", self.0)
    }
}

impl std::error::Error for DecodeHeadError {}

const HEX_DIGITS: &[u8; 16] = b"0123456789abcdef";

fn to_header<T: Serialize>(head: &T) -> HeaderValue {
    let encoded = rmp_serde::to_vec(head).unwrap_or_default();
    let mut text = Vec::with_capacity(encoded.len() * 2);
    for byte in encoded {
        text.push(HEX_DIGITS[usize::from(byte >> 4)]);
        text.push(HEX_DIGITS[usize::from(byte & 15)]);
    }
    HeaderValue::from_bytes(&text).unwrap_or_else(|_| HeaderValue::from_static(""))
}

fn from_header<T: DeserializeOwned>(value: &HeaderValue) -> Result<T, DecodeHeadError> {
    let decode_error = |detail: &str| DecodeHeadError(detail.to_owned());
    let hex_value = |b: u8| char::from(b).to_digit(16).and_then(|d| u8::try_from(d).ok());
    let text = value.as_bytes();
    if !text.len().is_multiple_of(2) {
        return Err(decode_error("odd length"));
    }
    let encoded = text
        .chunks_exact(2)
        .map(|pair| Some((hex_value(pair[0])? << 4) | hex_value(pair[1])?))
        .collect::<Option<Vec<u8>>>()
        .ok_or_else(|| decode_error("not hexadecimal"))?;
    rmp_serde::from_slice(&encoded).map_err(|e| DecodeHeadError(e.to_string()))
}

impl From<&PackedHeaders> for HeaderValue {
    fn from(packed: &PackedHeaders) -> Self {
        let mut lines = Vec::new();
        for (name, value) in &packed.0 {
            lines.extend_from_slice(name.as_str().as_bytes());
            lines.push(b':');
            lines.extend_from_slice(value.as_bytes());
            lines.push(b'\n');
        }
        let text = BASE64_STANDARD.encode(lines);
        Self::try_from(text).unwrap_or_else(|_| Self::from_static(""))
    }
}

impl TryFrom<&HeaderValue> for PackedHeaders {
    type Error = DecodeHeadError;

    fn try_from(value: &HeaderValue) -> Result<Self, Self::Error> {
        let malformed = || DecodeHeadError("malformed packed headers".to_owned());
        let lines = BASE64_STANDARD.decode(value).map_err(|e| DecodeHeadError(e.to_string()))?;
        let mut headers = HeaderMap::new();
        for line in lines.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let colon = line.iter().position(|byte| *byte == b':').ok_or_else(malformed)?;
            let name = HeaderName::from_bytes(&line[..colon]).ok().ok_or_else(malformed)?;
            let value = HeaderValue::from_bytes(&line[colon + 1..]).ok().ok_or_else(malformed)?;
            headers.try_append(name, value).ok().ok_or_else(malformed)?;
        }
        Ok(Self(headers))
    }
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

impl From<&TenantHead> for HeaderValue {
    fn from(head: &TenantHead) -> Self {
        to_header(head)
    }
}

impl TryFrom<&HeaderValue> for TenantHead {
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
