//! Newest configuration document and its distribution between daemons.
//!
//! On a relay, the platform adapter passes in the documents that it reads, and the relay notifies the other
//! daemons of its data centre. Each membership message also carries the version of its sender's document. A
//! daemon with an older document requests the newer one from peers that have it. A daemon never replaces its
//! document with an older one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use baobabreel_client::wire::{
    DocumentAnswer, DocumentExtension, DocumentNotice, DocumentQuery, PackedDocument, Position,
};
use baobabreel_core::config::{CompiledConfig, Document, DocumentVersion, Version};
use baobabreel_core::relay::{
    DocumentReadPolicy, Freshness, OWN_READ_GRACE, ReadReason, ReadRole, RelayWatch,
    notice_targets, other_document_relays,
};

use super::generation::StoreGeneration;
use super::rollouts;
use crate::context::{Cx, Phase};
use crate::sync::lock;

/// Path at which a daemon returns its document.
pub const DOCUMENT_PATH: &str = "/peer/v1/document";

/// Path at which a daemon accepts a notice that a peer has a newer document.
pub const NOTICE_PATH: &str = "/peer/v1/document-notice";

/// Maximum number of peers with a newer document that wait to be queried.
const MAX_SOURCES: usize = 4;

/// Time for a peer to return its document.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a relay to answer whether a starting daemon has the newest document.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before the next relay is asked for this confirmation.
const CONFIRM_PAUSE: Duration = Duration::from_millis(50);

/// Time after the start from which a daemon may serve with a document received from a peer. Until then, it
/// waits for the platform, which may have a newer document.
const PEERS_SUFFICE_AFTER: Duration = Duration::from_secs(1);

/// Time after the start from which a daemon may serve with a copy that neither the platform nor a peer has
/// confirmed. The copy may lack routes that were added since.
const COPY_SUFFICES_AFTER: Duration = Duration::from_secs(5);

/// Where a document came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform.
    Platform,
    /// A copy that the daemons store on the platform; it may be out of date.
    Copy,
    /// The daemon at this address, which once knew that it was the newest one.
    Peer(SocketAddr),
    /// The daemon at this address, which has it from a copy that neither the platform nor a peer has confirmed.
    UnconfirmedPeer(SocketAddr),
}

impl Origin {
    /// Whether the document may lack what has been added since a copy was stored, unless it is confirmed.
    fn needs_confirmation(self) -> bool {
        matches!(self, Self::Copy | Self::UnconfirmedPeer(_))
    }
}

/// A document, with its encoded form for other daemons once one has requested it.
#[derive(Debug)]
pub struct NewestDocument {
    /// The document.
    pub document: Document,
    origin: Origin,
    packed: OnceLock<PackedDocument>,
}

/// Newest document of a daemon, and how newer ones are obtained.
#[derive(Debug, Default)]
pub struct Documents {
    newest: ArcSwapOption<NewestDocument>,
    /// Held while a document is applied, so that a newer one cannot be overwritten by an older one.
    applying: Mutex<()>,
    sources: Mutex<Sources>,
    read_policy: Mutex<DocumentReadPolicy>,
    freshness: Mutex<Freshness>,
    relay_watch: Mutex<RelayWatch>,
    generation: StoreGeneration,
}

/// Peers that are known to have a newer document, and the task that queries them.
#[derive(Debug, Default)]
struct Sources {
    /// Whether the task is running.
    is_querying: bool,
    queue: VecDeque<(SocketAddr, DocumentVersion)>,
}

impl Documents {
    /// Generation of the platform's store.
    pub fn generation(&self) -> &StoreGeneration {
        &self.generation
    }

    /// Version of the newest document.
    pub fn version(&self) -> Option<DocumentVersion> {
        self.newest.load().as_ref().map(|newest| newest.document.version)
    }

    /// The newest document.
    pub fn newest(&self) -> Option<Arc<NewestDocument>> {
        self.newest.load_full()
    }

    /// The newest document in its encoded form for other daemons, if it is newer than `known`.
    pub fn newer_than(&self, known: Option<DocumentVersion>) -> Option<PackedDocument> {
        let newest = self.newest.load_full()?;
        if known.is_some_and(|known| newest.document.version <= known) {
            return None;
        }
        if let Some(packed) = newest.packed.get() {
            return Some(packed.clone());
        }
        match PackedDocument::try_from(&newest.document) {
            Ok(packed) => Some(newest.packed.get_or_init(|| packed).clone()),
            Err(e) => {
                tracing::error!(error = %e, "failed to encode the document for other daemons");
                None
            }
        }
    }

    /// Whether the current document is an unconfirmed copy, which may lack newer routes. It may have come through other
    /// daemons.
    pub fn is_unconfirmed(&self) -> bool {
        let newest = self.newest.load();
        let is_copy = newest.as_ref().is_some_and(|newest| newest.origin.needs_confirmation());
        is_copy && lock(&self.freshness).is_unknown()
    }

    /// Why this daemon should read the platform itself, if it should.
    pub fn read_reason(&self, role: ReadRole, now: Duration) -> Option<ReadReason> {
        let routes = self.newest.load().as_ref().map_or(0, |newest| newest.document.routes.len());
        let reason = lock(&self.read_policy).reason(role, routes, now);
        let is_overdue = || lock(&self.freshness).is_overdue(now);
        let are_relays_silent = || lock(&self.relay_watch).is_silent(now);
        reason
            .or_else(|| is_overdue().then_some(ReadReason::Unconfirmed))
            .or_else(|| are_relays_silent().then_some(ReadReason::RelaysSilent))
    }

    /// What this daemon knows about whether its relays answer.
    pub(super) fn relay_watch(&self) -> MutexGuard<'_, RelayWatch> {
        lock(&self.relay_watch)
    }

    /// Next peer that still has a newer document. If there is none, records that the task ends.
    fn next_source(&self) -> Option<SocketAddr> {
        let mut sources = lock(&self.sources);
        while let Some((from, version)) = sources.queue.pop_front() {
            if self.is_newer(version) {
                return Some(from);
            }
        }
        sources.is_querying = false;
        None
    }

    fn is_newer(&self, version: DocumentVersion) -> bool {
        self.version().is_none_or(|known| version > known)
    }
}

/// Answers another daemon that requests a newer document or asks whether there is one.
pub fn answer(cx: &Cx, query: DocumentQuery) -> DocumentAnswer {
    // Read before the position: the age then belongs to the document in the position or to an older one.
    let age = lock(&cx.documents.freshness).age_by_all(cx.clock.now());
    let newer = if query.with_document { cx.documents.newer_than(query.known) } else { None };
    let position = cx.position();
    DocumentAnswer {
        position,
        newer,
        confirmed_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
        extension: extension(cx, position),
    }
}

/// What only some deployments need in an answer.
fn extension(cx: &Cx, position: Position) -> Option<DocumentExtension> {
    let extension = DocumentExtension {
        proof_ms: cx.lease.proof_ms(cx, position),
        rollouts: rollouts::notices(cx),
    };
    (extension != DocumentExtension::default()).then_some(extension)
}

/// Applies a document if it is newer than the current one.
pub fn offer(cx: &Cx, document: Document, origin: Origin) {
    let documents = &cx.documents;
    let applying = lock(&documents.applying);
    if documents.is_newer(document.version) {
        let config = match CompiledConfig::try_from(&document) {
            Ok(config) => config,
            Err(e) => {
                tracing::error!(version = document.version, error = %e, "configuration refused");
                return;
            }
        };
        let position = Position {
            config: config.version,
            store_generation: documents.generation.news(),
            ..Position::default()
        };
        tracing::info!(
            version = document.version,
            before = documents.version(),
            routes = document.routes.len(),
            services = document.services.len(),
            ?origin,
            "configuration applied"
        );
        let newest = NewestDocument { document, origin, packed: OnceLock::new() };
        let reason = documents.read_reason(cx.read_role(), cx.clock.now());
        documents.newest.store(Some(Arc::new(newest)));
        lock(&documents.read_policy).caught_up();
        cx.metrics.record_config(position.config.offset, false);
        cx.set_config(config, cx.clock.now());
        cx.set_position(position);
        // A daemon that starts reads what the others have; a large document is read by all.
        let is_news = origin == Origin::Platform
            && cx.phase() != Phase::Starting
            && reason != Some(ReadReason::Large);
        if cx.is_relay() || is_news || is_from_other_data_centre(cx, origin) {
            notify_others(cx, position);
        }
    }
    drop(applying);
    match origin {
        Origin::Platform => confirm(cx),
        Origin::Peer(_) => check_ready(cx),
        Origin::Copy | Origin::UnconfirmedPeer(_) => {
            lock(&documents.freshness).copy_taken(cx.clock.now());
            check_ready(cx);
            tokio::spawn(request_confirmation(Arc::clone(cx)));
        }
    }
}

/// Records that the platform confirmed the current document as its newest one, and starts to serve.
pub fn confirm(cx: &Cx) {
    lock(&cx.documents.freshness).read(cx.clock.now());
    serve_if_configured(cx);
}

/// Records that the platform is out of reach or is no longer read.
pub fn platform_lost(cx: &Cx) {
    lock(&cx.documents.freshness).reading_ended();
}

/// Starts to serve with a copy or a peer's document once the platform has had time to answer.
pub fn check_ready(cx: &Cx) {
    let is_unconfirmed = cx.documents.is_unconfirmed();
    let suffices_after = if is_unconfirmed { COPY_SUFFICES_AFTER } else { PEERS_SUFFICE_AFTER };
    if cx.clock.now() >= suffices_after {
        serve_if_configured(cx);
    }
}

fn serve_if_configured(cx: &Cx) {
    if cx.phase() == Phase::Starting && cx.documents.version().is_some() {
        tracing::info!(version = cx.documents.version(), "serving");
        cx.advance(Phase::Serving);
    }
}

/// Whether a document came from another data centre, so that the local relays may not have it yet.
fn is_from_other_data_centre(cx: &Cx, origin: Origin) -> bool {
    let (Origin::Peer(addr) | Origin::UnconfirmedPeer(addr)) = origin else { return false };
    let members = cx.members.load();
    let sender = members.iter().find(|member| member.peer_addr == addr);
    sender.is_some_and(|sender| sender.data_centre != cx.identity.data_centre)
}

/// Notifies other daemons that this daemon has a newer document.
fn notify_others(cx: &Cx, position: Position) {
    let members = cx.members.load();
    let Some(own) = members.get(&cx.identity.id) else { return };
    let notice = DocumentNotice { from: cx.identity.peer_addr, position };
    for to in notice_targets(members.live(), own) {
        cx.tell_peer(to.peer_addr, NOTICE_PATH, &notice);
    }
}

/// Handles the position of a peer, and requests the peer's document if that is newer.
pub fn note_position(cx: &Cx, from: SocketAddr, position: Position) {
    let documents = &cx.documents;
    let now = cx.clock.now();
    lock(&documents.read_policy).heard(now);
    let version = position.config.offset;
    if let Some(generation) = position.store_generation {
        documents.generation.observe(generation);
    }
    if position.config == Version::default() || !documents.is_newer(version) {
        return;
    }
    lock(&documents.read_policy).fell_behind(now);
    let mut sources = lock(&documents.sources);
    if sources.queue.len() < MAX_SOURCES {
        sources.queue.push_back((from, version));
    }
    if !std::mem::replace(&mut sources.is_querying, true) {
        tokio::spawn(query_sources(Arc::clone(cx)));
    }
}

/// Queries the peers with a newer document one after another until none has a newer one.
async fn query_sources(cx: Cx) {
    if lock(&cx.documents.freshness).is_reading() {
        tokio::time::sleep(OWN_READ_GRACE).await;
    }
    while let Some(from) = cx.documents.next_source() {
        let query = DocumentQuery { known: cx.documents.version(), with_document: true };
        query_peer(&cx, from, query, PULL_TIMEOUT).await;
    }
}

/// Asks the relays of the data centre in turn whether the document is the newest, until this daemon serves.
async fn request_confirmation(cx: Cx) {
    for attempt in 0.. {
        if cx.phase() != Phase::Starting {
            return;
        }
        if let Some(relay) = local_relay(&cx, attempt) {
            let query = DocumentQuery { known: cx.documents.version(), with_document: false };
            query_peer(&cx, relay, query, CONFIRM_TIMEOUT).await;
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}

fn local_relay(cx: &Cx, attempt: usize) -> Option<SocketAddr> {
    let members = cx.members.load();
    let relays = other_document_relays(members.live(), members.get(&cx.identity.id)?);
    let index = attempt.checked_rem(relays.len())?;
    Some(relays[index].peer_addr)
}

/// Asks a daemon whether it has a newer document, and gets that document later if it has. Returns whether it
/// answered within `timeout`.
pub(super) async fn ask_for_news(cx: &Cx, from: SocketAddr, timeout: Duration) -> bool {
    let query = DocumentQuery { known: cx.documents.version(), with_document: false };
    query_peer(cx, from, query, timeout).await
}

/// Asks a daemon whether it has a newer document, and applies the document if the query requests it. Returns whether
/// it answered within `timeout`.
async fn query_peer(cx: &Cx, from: SocketAddr, query: DocumentQuery, timeout: Duration) -> bool {
    let queried_at = cx.clock.boot();
    let answer: Option<DocumentAnswer> = cx.ask_peer(from, DOCUMENT_PATH, &query, timeout).await;
    let Some(answer) = answer else { return false };
    let extension = answer.extension.unwrap_or_default();
    for notice in extension.rollouts {
        rollouts::learn(cx, notice);
    }
    match answer.newer.as_ref().map(Document::try_from) {
        Some(Ok(document)) => {
            let is_confirmed = answer.confirmed_ms.is_some();
            let origin =
                if is_confirmed { Origin::Peer(from) } else { Origin::UnconfirmedPeer(from) };
            offer(cx, document, origin);
        }
        Some(Err(e)) => {
            tracing::warn!(%from, error = %e, "failed to decode a document from a peer")
        }
        None => {}
    }
    cx.lease.adopt(cx, answer.position, extension.proof_ms, queried_at);
    if !query.with_document {
        note_position(cx, from, answer.position);
    }
    let is_behind = cx.documents.is_newer(answer.position.config.offset);
    let confirmed = answer.confirmed_ms.filter(|_| !is_behind).map(Duration::from_millis);
    if let Some(age) = confirmed
        && lock(&cx.documents.freshness).confirmed_by_peer(age, cx.clock.now())
    {
        if cx.phase() == Phase::Starting {
            let version = cx.documents.version();
            tracing::info!(%from, version, ?age, "a peer confirms the configuration");
        }
        serve_if_configured(cx);
    }
    true
}
