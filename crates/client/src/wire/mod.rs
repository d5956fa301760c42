//! Wire types.

mod call;
mod control;
mod log;
mod operator;

pub use call::{AnswerHead, CallHead, DecodeHeadError, KeyHead, LoadWire};
pub use control::{
    CodecError, HeadProof, MemberWire, ProbeRequestWire, ProbeWire, PullAnswer, PullWire,
    PushAnswer, PushWire, StreamEntry, decode, encode,
};
pub use log::{Appended, LogRecord, ReadPage, Retained};
pub use operator::{
    BackendServerDoc, CandidateDoc, ExplainDoc, LogDoc, MemberDoc, RecordDoc, RecordsDoc, StatusDoc,
};
