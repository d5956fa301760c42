//! Distribution of log entries and documents between daemons.
//!
//! Two relays in each data centre read the log and push new entries along a tree. Everything else
//! repairs what the tree misses: each daemon keeps the newest entries for peers ([`StreamWindow`]),
//! pulls when it is behind or hears nothing ([`Staleness`]), and limits the pulls that it answers
//! ([`PullLimiter`]). [`Confirmation`] holds the newest proof of where the end of the log was.
//!
//! A platform that orders whole documents has no log. There, a few relays in each data centre read
//! the documents and notify the other daemons; [`DocumentReadPolicy`] decides who reads, and
//! [`Freshness`] tells whether a document is known to be the newest one, [`LostReaders`] which daemons
//! cannot read, and [`RelayWatch`] whether the relays still answer.

mod confirmation;
mod documents;
mod freshness;
mod generation;
mod lost_readers;
mod pull;
mod relay_watch;
mod tree;
mod window;

pub use confirmation::{
    Attestation, CHALLENGE_LIFETIME, CLOCK_DRIFT_DIVISOR, Challenges, Confirmation, LEASE,
    ReceivedChallenge,
};
pub use documents::{
    DocumentReadPolicy, OWN_READ_GRACE, PollTurn, ReadReason, ReadRole, document_relay_count,
    document_relays, first_other_reader, is_document_relay, keeps_copy, notice_targets,
    other_document_relays, reader_rank, substitute_group,
};
pub use freshness::Freshness;
pub use generation::{Generation, GenerationStatus, NewestGeneration, Place};
pub use lost_readers::LostReaders;
pub use pull::{
    MAX_CONCURRENT_PULLS, PullAdmission, PullLimiter, PullSource, STALE_AFTER, Staleness,
};
pub use relay_watch::{ASK_TIMEOUT, RelayWatch, SubstituteGroup};
pub use tree::{FAN_OUT, RELAYS_PER_DATA_CENTRE, children, push_order, relays};
pub use window::{
    Batch, PULL_BYTES, Pull, PullAnswer, ReceiveOutcome, StreamWindow, WINDOW_BYTES, WINDOW_ENTRIES,
};
