//! Newest configuration document and its way between daemons.
//!
//! The adapter hands over the documents that it reads from the platform. The position in each
//! membership message tells which document a daemon has; the daemon that is behind asks the other one
//! for it. A daemon never goes back to an older document.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use baobabreel_client::wire::{DocumentQuery, Position};
use baobabreel_core::config::{CompiledConfig, Document, DocumentVersion};

use crate::context::{Cx, Phase};
use crate::sync::lock;

/// Path at which a daemon hands over its document.
pub const DOCUMENT_PATH: &str = "/peer/v1/document";

/// Time for a peer to hand over its document.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after the start from which a document of a peer suffices to serve. Until then the platform,
/// which may know a newer one, has time to answer.
const PEERS_SUFFICE_AFTER: Duration = Duration::from_secs(1);

/// Where a document came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// The platform.
    Platform,
    /// The daemon at this address.
    Peer(SocketAddr),
}

/// Newest document of a daemon.
#[derive(Debug, Default)]
pub struct Documents {
    newest: ArcSwapOption<Document>,
    /// Taken while a document is put in force, so that two cannot overtake each other.
    applying: Mutex<()>,
    pulling_until: Mutex<Duration>,
}

impl Documents {
    /// Version of the newest document.
    pub fn version(&self) -> Option<DocumentVersion> {
        self.newest.load().as_ref().map(|document| document.version)
    }

    /// The newest document.
    pub fn newest(&self) -> Option<Arc<Document>> {
        self.newest.load_full()
    }

    /// The newest document, if it is newer than what the asking daemon has.
    pub fn newer_than(&self, query: DocumentQuery) -> Option<Arc<Document>> {
        let newest = self.newest.load_full()?;
        query.known.is_none_or(|known| newest.version > known).then_some(newest)
    }

    fn is_news(&self, version: DocumentVersion) -> bool {
        self.version().is_none_or(|known| version > known)
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
        documents.newest.store(Some(Arc::new(document)));
        cx.metrics.config(position.config.offset, false);
        cx.set_config(config, cx.clock.now());
        cx.set_position(position);
    }
    drop(applying);
    if origin == Origin::Platform {
        serve_if_configured(cx);
    } else {
        check_ready(cx);
    }
}

/// Starts to serve with the document of a peer once the platform has had time to answer.
pub fn check_ready(cx: &Cx) {
    if cx.clock.now() >= PEERS_SUFFICE_AFTER {
        serve_if_configured(cx);
    }
}

fn serve_if_configured(cx: &Cx) {
    if cx.phase() == Phase::Starting && cx.documents.version().is_some() {
        tracing::info!(version = cx.documents.version(), "serving");
        cx.advance(Phase::Serving);
    }
}

/// Asks a peer for its document if it has a newer one.
pub fn note_position(cx: &Cx, from: SocketAddr, position: Position) {
    if position == Position::default() || !cx.documents.is_news(position.config.offset) {
        return;
    }
    let now = cx.clock.now();
    let mut until = lock(&cx.documents.pulling_until);
    if now < *until {
        return;
    }
    *until = now + PULL_TIMEOUT;
    drop(until);
    tokio::spawn(pull(Arc::clone(cx), from));
}

async fn pull(cx: Cx, from: SocketAddr) {
    let query = DocumentQuery { known: cx.documents.version() };
    let answer: Option<Option<Document>> =
        cx.ask_peer(from, DOCUMENT_PATH, &query, PULL_TIMEOUT).await;
    *lock(&cx.documents.pulling_until) = Duration::ZERO;
    if let Some(Some(document)) = answer {
        offer(&cx, document, Origin::Peer(from));
    }
}
