//! Status of the folded streams, as operators request it.
//!
//! Answers contain no copy of the whole state: the status is requested often, and from every daemon
//! while a publisher waits, and the recent change ids are of no use to operators.

use std::collections::BTreeMap;
use std::time::Duration;

use baobabreel_core::config::{Record, RecordKey, Version};
use baobabreel_core::id::SchemaVersion;
use kameo::message::{Context as MessageContext, Message};

use super::distribution::Distribution;

/// Status of the folded streams, without the records.
#[derive(Debug, Clone, Default, kameo::Reply)]
pub struct DistributionStatus {
    /// Digest of the configuration, in hexadecimal.
    pub digest: String,
    /// Schema level of the configuration.
    pub level: SchemaVersion,
    /// Why the configuration is held at its last complete version, if it is.
    pub held: Option<String>,
    /// Age of the newest proof of the head of `config`.
    pub config_age: Option<Duration>,
    /// Age of the newest proof of the head of `members`.
    pub members_age: Option<Duration>,
}

/// Asks for a [`DistributionStatus`].
#[derive(Debug, Clone, Copy)]
pub struct GetStatus;

impl Message<GetStatus> for Distribution {
    type Reply = DistributionStatus;

    async fn handle(
        &mut self,
        _: GetStatus,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> DistributionStatus {
        let now = self.cx.clock.now();
        DistributionStatus {
            digest: self.state.digest().to_string(),
            level: self.state.level(),
            held: self.state.hold().map(|hold| hold.cause.to_string()),
            config_age: self.config.confirmation.age(now),
            members_age: self.members.confirmation.age(now),
        }
    }
}

/// Records of the folded configuration.
#[derive(Debug, Clone, kameo::Reply)]
pub struct FoldedRecords {
    /// Version of the configuration.
    pub version: Version,
    /// Records by key.
    pub records: BTreeMap<RecordKey, Record>,
}

/// Asks for the [`FoldedRecords`].
#[derive(Debug, Clone, Copy)]
pub struct GetRecords;

impl Message<GetRecords> for Distribution {
    type Reply = FoldedRecords;

    async fn handle(
        &mut self,
        _: GetRecords,
        _: &mut MessageContext<Self, Self::Reply>,
    ) -> FoldedRecords {
        FoldedRecords { version: self.state.version(), records: self.state.records().clone() }
    }
}
