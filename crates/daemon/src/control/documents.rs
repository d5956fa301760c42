//! Newest configuration document and its way between daemons.
//!
//! The adapter of a relay hands over the documents that it reads from the platform, and the relay notifies
//! the other daemons of its data centre. Besides, the position in each membership message tells which
//! document a daemon has. The daemon that is behind asks those that are ahead for their document. A daemon
//! never goes back to an older one.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use baobabreel_client::wire::{
    DocumentAnswer, DocumentNotice, DocumentQuery, PackedDocument, Position,
};
use baobabreel_core::config::{CompiledConfig, Document, DocumentVersion};
use baobabreel_core::relay::{
    DocumentReadPolicy, Freshness, ReadReason, notice_targets, other_document_relays,
};

use crate::context::{Cx, Phase};
use crate::sync::lock;

/// Path at which a daemon hands over its document.
pub const DOCUMENT_PATH: &str = "/peer/v1/document";

/// Path at which a daemon learns that a peer has a newer document.
pub const NOTICE_PATH: &str = "/peer/v1/document-notice";

/// Time for a peer to take a notice.
const NOTICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Peers with a newer document that are remembered while another one is asked.
const MAX_SOURCES: usize = 4;

/// Time for a peer to hand over its document.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a relay to tell whether the document of a daemon that starts is the newest one.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause before the next relay is asked to confirm it.
const CONFIRM_PAUSE: Duration = Duration::from_millis(50);

/// Time after the start from which a document of a peer suffices to serve. Until then the platform,
/// which may know a newer one, has time to answer.
const PEERS_SUFFICE_AFTER: Duration = Duration::from_secs(1);

/// Time after the start from which a copy suffices to serve that neither the platform nor a peer has
/// confirmed. It may lack routes that were added since.
const COPY_SUFFICES_AFTER: Duration = Duration::from_secs(5);

/// Where a document came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform.
    Platform,
    /// A copy that the daemons keep on the platform; it may be behind.
    Copy,
    /// The daemon at this address.
    Peer(SocketAddr),
}

/// A document, and its form for other daemons once one has asked for it.
#[derive(Debug)]
pub struct Newest {
    /// The document.
    pub document: Document,
    origin: Origin,
    packed: OnceLock<PackedDocument>,
}

/// Newest document of a daemon.
#[derive(Debug, Default)]
pub struct Documents {
    newest: ArcSwapOption<Newest>,
    /// Taken while a document is put in force, so that two cannot overtake each other.
    applying: Mutex<()>,
    sources: Mutex<Sources>,
    reading: Mutex<DocumentReadPolicy>,
    freshness: Mutex<Freshness>,
}

/// Peers that are known to have a newer document.
#[derive(Debug, Default)]
struct Sources {
    /// Whether a task asks them.
    is_asking: bool,
    ahead: VecDeque<(SocketAddr, DocumentVersion)>,
}

impl Documents {
    /// Version of the newest document.
    pub fn version(&self) -> Option<DocumentVersion> {
        self.newest.load().as_ref().map(|newest| newest.document.version)
    }

    /// The newest document.
    pub fn newest(&self) -> Option<Arc<Newest>> {
        self.newest.load_full()
    }

    /// The newest document as it goes between daemons, if it is newer than `known`.
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
                tracing::error!(error = %e, "the document cannot be handed over");
                None
            }
        }
    }

    /// Whether the document in force is a copy that nothing has confirmed; newer routes may be missing.
    pub fn is_unconfirmed(&self) -> bool {
        let is_copy = self.newest.load().as_ref().is_some_and(|n| n.origin == Origin::Copy);
        is_copy && lock(&self.freshness).is_unknown()
    }

    /// Why this daemon is to read the platform itself, if it is.
    pub fn read_reason(&self, is_relay: bool, now: Duration) -> Option<ReadReason> {
        let routes = self.newest.load().as_ref().map_or(0, |newest| newest.document.routes.len());
        let reason = lock(&self.reading).reason(is_relay, routes, now);
        let is_overdue = || lock(&self.freshness).is_overdue(now);
        reason.or_else(|| is_overdue().then_some(ReadReason::Unconfirmed))
    }

    /// Next peer that has a newer document; without one, nobody is asked any more.
    fn next_source(&self) -> Option<SocketAddr> {
        let mut sources = lock(&self.sources);
        while let Some((from, version)) = sources.ahead.pop_front() {
            if self.is_news(version) {
                return Some(from);
            }
        }
        sources.is_asking = false;
        None
    }

    fn is_news(&self, version: DocumentVersion) -> bool {
        self.version().is_none_or(|known| version > known)
    }
}

/// Answers another daemon that asks for a newer document, or whether there is one.
pub fn answer(cx: &Cx, query: DocumentQuery) -> DocumentAnswer {
    // The age is that of the document whose version the position tells, or of an older one.
    let age = lock(&cx.documents.freshness).age(cx.clock.now());
    let newer = if query.with_document { cx.documents.newer_than(query.known) } else { None };
    DocumentAnswer {
        position: cx.position(),
        newer,
        confirmed_ms: age.map(|age| u64::try_from(age.as_millis()).unwrap_or(u64::MAX)),
    }
}

/// Puts a document in force unless a newer one is.
pub fn offer(cx: &Cx, document: Document, origin: Origin) {
    let documents = &cx.documents;
    let applying = lock(&documents.applying);
    if documents.is_news(document.version) {
        let config = CompiledConfig::from(&document);
        let position = Position { config: config.version, ..Position::default() };
        tracing::info!(
            version = document.version,
            before = documents.version(),
            routes = document.routes.len(),
            services = document.services.len(),
            ?origin,
            "configuration applied"
        );
        let newest = Newest { document, origin, packed: OnceLock::new() };
        documents.newest.store(Some(Arc::new(newest)));
        lock(&documents.reading).caught_up();
        cx.metrics.record_config(position.config.offset, false);
        cx.set_config(config, cx.clock.now());
        cx.set_position(position);
        if cx.is_relay() || is_elsewhere(cx, origin) {
            notify_others(cx, position);
        }
    }
    drop(applying);
    match origin {
        Origin::Platform => confirm(cx),
        Origin::Peer(_) => check_ready(cx),
        Origin::Copy => {
            lock(&documents.freshness).copy_taken(cx.clock.now());
            tokio::spawn(ask_to_confirm(Arc::clone(cx)));
        }
    }
}

/// Starts to serve, as the document in force is the newest one of the platform.
pub fn confirm(cx: &Cx) {
    lock(&cx.documents.freshness).read(cx.clock.now());
    serve_if_configured(cx);
}

/// Takes note that the platform is out of reach, or read no more.
pub fn platform_lost(cx: &Cx) {
    lock(&cx.documents.freshness).reading_ended();
}

/// Starts to serve with a copy or the document of a peer once the platform has had time to answer.
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

/// Whether a document came from another data centre; the relays of the own one do not have it then.
fn is_elsewhere(cx: &Cx, origin: Origin) -> bool {
    let Origin::Peer(addr) = origin else { return false };
    let members = cx.members.load();
    let sender = members.iter().find(|member| member.peer_addr == addr);
    sender.is_some_and(|sender| sender.data_centre != cx.identity.data_centre)
}

/// Tells daemons that do not read the platform that a newer document is here.
fn notify_others(cx: &Cx, position: Position) {
    let members = cx.members.load();
    let Some(own) = members.get(&cx.identity.id) else { return };
    let notice = DocumentNotice { from: cx.identity.peer_addr, position };
    for to in notice_targets(members.live(), own).into_iter().map(|member| member.peer_addr) {
        let cx = Arc::clone(cx);
        tokio::spawn(async move {
            let taken: Option<()> = cx.ask_peer(to, NOTICE_PATH, &notice, NOTICE_TIMEOUT).await;
            if taken.is_none() {
                tracing::debug!(%to, "a notice of a newer document was not taken");
            }
        });
    }
}

/// Asks a peer for its document if it has a newer one.
pub fn note_position(cx: &Cx, from: SocketAddr, position: Position) {
    let documents = &cx.documents;
    let now = cx.clock.now();
    lock(&documents.reading).heard(now);
    let version = position.config.offset;
    if position == Position::default() || !documents.is_news(version) {
        return;
    }
    lock(&documents.reading).fell_behind(now);
    let mut sources = lock(&documents.sources);
    if sources.ahead.len() < MAX_SOURCES {
        sources.ahead.push_back((from, version));
    }
    if !std::mem::replace(&mut sources.is_asking, true) {
        tokio::spawn(pull(Arc::clone(cx)));
    }
}

/// Asks the peers that are ahead, one after the other, until none is left that still is.
async fn pull(cx: Cx) {
    while let Some(from) = cx.documents.next_source() {
        let query = DocumentQuery { known: cx.documents.version(), with_document: true };
        ask(&cx, from, query, PULL_TIMEOUT).await;
    }
}

/// Asks the relays of the data centre in turn whether the document is the newest one, until this daemon serves.
async fn ask_to_confirm(cx: Cx) {
    for turn in 0.. {
        if cx.phase() != Phase::Starting {
            return;
        }
        if let Some(relay) = relay_beside(&cx, turn) {
            let query = DocumentQuery { known: cx.documents.version(), with_document: false };
            ask(&cx, relay, query, CONFIRM_TIMEOUT).await;
        }
        tokio::time::sleep(CONFIRM_PAUSE).await;
    }
}

fn relay_beside(cx: &Cx, turn: usize) -> Option<SocketAddr> {
    let members = cx.members.load();
    let relays = other_document_relays(members.live(), members.get(&cx.identity.id)?);
    let index = turn.checked_rem(relays.len())?;
    Some(relays[index].peer_addr)
}

/// Asks a daemon whether it has a newer document, and for that document if it is wanted.
async fn ask(cx: &Cx, from: SocketAddr, query: DocumentQuery, timeout: Duration) {
    let answer: Option<DocumentAnswer> = cx.ask_peer(from, DOCUMENT_PATH, &query, timeout).await;
    let Some(answer) = answer else { return };
    match answer.newer.as_ref().map(Document::try_from) {
        Some(Ok(document)) => offer(cx, document, Origin::Peer(from)),
        Some(Err(e)) => tracing::warn!(%from, error = %e, "a peer handed over a bad document"),
        None => {}
    }
    if !query.with_document {
        note_position(cx, from, answer.position);
    }
    let is_behind = cx.documents.is_news(answer.position.config.offset);
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
}
