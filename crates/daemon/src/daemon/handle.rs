//! What a platform adapter tells the daemon and asks it.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::PackedDocument;
use baobabreel_core::config::{Document, DocumentVersion};
use baobabreel_core::membership::Member;
use baobabreel_core::relay::{PollTurn, ReadReason, ReadRole, keeps_copy};
use baobabreel_core::rollout::RolloutRecord;
use tokio::sync::watch;

use crate::context::{Cx, Phase};
use crate::control::{
    Control, ListedMembers, Origin, Rollouts, StoreGeneration, announce_reading, confirm_document,
    offer_document, platform_lost, rollouts,
};
use crate::proxy::Quarantine;
use crate::telemetry::Traffic;

/// Receives what the adapter learns from its platform.
#[derive(Debug, Clone)]
pub struct Handle {
    pub(super) cx: Cx,
    pub(super) control: Control,
}

impl Handle {
    /// Puts a configuration document of the platform in force, unless a newer one already is.
    pub fn offer_document(&self, document: Document) {
        offer_document(&self.cx, document, Origin::Platform);
    }

    /// Like [`offer_document`](Self::offer_document), for a copy that may be older than the
    /// document of the platform; see [`confirm_document`](Self::confirm_document).
    pub fn offer_copy(&self, document: Document) {
        offer_document(&self.cx, document, Origin::Copy);
    }

    /// Records that the document in force is the newest one that the platform has.
    pub fn confirm_document(&self) {
        confirm_document(&self.cx);
    }

    /// Records that the adapter no longer reads the platform, or has to begin anew.
    pub fn platform_lost(&self) {
        platform_lost(&self.cx);
    }

    /// Records that an attempt of the adapter to read the platform failed, so that other daemons read in place of
    /// this one if they relied on it.
    pub fn read_failed(&self) {
        platform_lost(&self.cx);
        announce_reading(&self.cx, false);
    }

    /// Changes each time that a daemon on which others of the data centre rely can no longer read the platform. What it
    /// lost, this daemon may have lost too.
    #[must_use]
    pub fn reading_alarms(&self) -> watch::Receiver<u64> {
        self.cx.readers.alarms()
    }

    /// Records that the adapter can read the platform again.
    pub fn read_resumed(&self) {
        self.cx.readers.resumed();
        announce_reading(&self.cx, true);
    }

    /// Changes each time that the adapter has recorded that it can read the platform again.
    #[must_use]
    pub fn reading_resumptions(&self) -> watch::Receiver<u64> {
        self.cx.readers.resumptions()
    }

    /// Whether the daemon has begun to serve requests, which stays so while it drains. Until then,
    /// the document in force may be outdated.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.cx.phase() != Phase::Starting
    }

    /// The document in force, packed as daemons send it to each other.
    #[must_use]
    pub fn packed_document(&self) -> Option<PackedDocument> {
        self.cx.documents.newer_than(None)
    }

    /// Whether the adapter has to keep a copy of the newest document, which starting daemons read.
    #[must_use]
    pub fn keeps_copy(&self) -> bool {
        let members = self.cx.members.load();
        let own = members.get(&self.cx.identity.id);
        own.is_some_and(|own| keeps_copy(members.live(), own))
    }

    /// Why the adapter has to read the documents of the platform, or `None` if this daemon gets
    /// them from other daemons.
    #[must_use]
    pub fn read_reason(&self) -> Option<ReadReason> {
        let cx = &self.cx;
        // What is known of other readers expires with time.
        cx.update_relay();
        cx.documents.read_reason(cx.read_role(), cx.clock.now())
    }

    /// How long the next poll of the platform may stay open.
    #[must_use]
    pub fn poll_time(&self) -> Duration {
        let members = self.cx.members.load();
        let turn = match members.get(&self.cx.identity.id) {
            Some(own) => PollTurn::of(members.live(), own),
            None => PollTurn { rank: 0, readers: 1, data_centre_rank: 0, data_centres: 1 },
        };
        let wall = self.cx.clock.wall();
        if self.cx.lease.is_needed(&self.cx) {
            turn.poll_time_beside_reads(wall)
        } else {
            turn.poll_time(wall)
        }
    }

    /// Time on the clock by which proofs are dated; see [`document_proved`](Self::document_proved).
    #[must_use]
    pub fn proof_clock(&self) -> Duration {
        self.cx.clock.boot()
    }

    /// Records that a query which was sent at `sent_at` has returned all documents that the platform had, and that they
    /// were offered.
    pub fn document_proved(&self, sent_at: Duration) {
        self.cx.lease.prove(&self.cx, sent_at);
    }

    /// Waits until the adapter has to read the platform at once to prove that the document is the newest one. Returns
    /// the time for the answer. The end of the read has to be reported.
    pub async fn proof_needed(&self) -> Duration {
        self.cx.lease.read_needed(&self.cx).await
    }

    /// Records that a read for [`proof_needed`](Self::proof_needed) failed. The cause may affect an open poll too.
    pub fn proof_failed(&self) {
        self.cx.lease.read_failed(&self.cx);
        self.cx.readers.raise_alarm();
    }

    /// Bytes on the link of the instance, for the adapter to count those of its platform.
    #[must_use]
    pub fn traffic(&self) -> Arc<Traffic> {
        Arc::clone(&self.cx.traffic)
    }

    /// Generation of the platform's store, which the adapter and the other daemons report.
    #[must_use]
    pub fn store_generation(&self) -> StoreGeneration {
        self.cx.documents.generation().clone()
    }

    /// Evidence about requests that crash backend servers, for the adapter to share.
    #[must_use]
    pub fn quarantine(&self) -> &Quarantine {
        &self.cx.quarantine
    }

    /// Time on the clock of the daemon, as [`Quarantine::merge`] takes it.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.cx.clock.now()
    }

    /// Version of the document in force.
    #[must_use]
    pub fn document_version(&self) -> Option<DocumentVersion> {
        self.cx.documents.version()
    }

    /// Adds the daemons that the platform lists to the members; returns once this is done.
    pub async fn introduce(&self, members: Vec<Member>) {
        if self.control.membership.ask(ListedMembers(members)).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    /// This daemon as a member.
    #[must_use]
    pub fn own_member(&self) -> Option<Member> {
        self.cx.members.load().get(&self.cx.identity.id).cloned()
    }

    /// Whether a backend server beside this daemon is known and has not stopped.
    #[must_use]
    pub fn has_backend(&self) -> bool {
        self.cx.host.info().is_some()
    }

    /// Roll-outs, for the adapter to record orders and answers of the store.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.cx.rollouts
    }

    /// Passes in the records of roll-outs in the store.
    pub fn load_rollouts(&self, records: Vec<RolloutRecord>) {
        rollouts::load(&self.cx, records);
    }

    /// Records of roll-outs that the adapter has to store, and whose statuses it has to publish.
    #[must_use]
    pub fn rollouts_due(&self) -> Vec<RolloutRecord> {
        rollouts::due(&self.cx)
    }

    /// Records that the store has a record of a roll-out.
    pub fn rollout_stored(&self, record: RolloutRecord) {
        rollouts::stored(&self.cx, record);
    }

    /// Records that the operator's status says what a record does.
    pub fn rollout_published(&self, record: &RolloutRecord) {
        rollouts::published(&self.cx, record);
    }

    /// Whether others rely on this daemon to read the platform.
    #[must_use]
    pub fn is_document_relay(&self) -> bool {
        self.cx.read_role() == ReadRole::Relay
    }

    /// Number of live members, this daemon included.
    #[must_use]
    pub fn live_members(&self) -> usize {
        self.cx.members.load().live().count()
    }
}
