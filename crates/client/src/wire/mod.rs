//! Types of the messages and documents that are sent between processes.

mod body;
mod call;
mod control;
mod document;
mod gossip;
mod keys;
mod log;
mod operator;
mod quota;
mod rollout;

pub use body::{BodyAnswer, BodyQuery};
pub use call::{
    AnswerHead, CallHead, CallQuery, CallStateWire, ConditionWire, DecodeHeadError, KeyHead,
    LoadWire, PackedHeaders, TenantHead,
};
pub use control::{
    BatchWire, CodecError, DocumentAnswer, DocumentExtension, DocumentNotice, DocumentQuery,
    Envelope, LeavingNotice, LeavingQuery, Position, PullAnswerWire, PullWire, PushAnswer,
    PushWire, ReadingNotice, Stream, SuspectNotice, SuspectWire, decode, encode,
};
pub use document::PackedDocument;
pub use gossip::{GossipWire, MemberWire, ProbeWire};
pub use keys::{Fingerprint, KeyQueryWire, PriorAnswerWire};
pub use log::{Appended, LogRecord, ReadPage, RetainedRange};
pub use operator::{
    BackendServerDoc, CandidateDoc, ExplainDoc, LogDoc, MemberDoc, RecordDoc, RecordsDoc, StatusDoc,
};
pub use quota::{AskedTokens, GrantedTokens, QuotaGrant, QuotaRequest, SightingWire};
pub use rollout::{RolloutCount, RolloutNotice, RolloutReport};
