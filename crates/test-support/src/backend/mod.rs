//! Stand-in for a backend server.
//!
//! It has a number of slots, runs requests for a time that the test sets, announces itself to its
//! daemon, and keeps a journal of what really ran. The journal is the ground truth against which
//! tests compare the answers that callers got.

mod announce;
mod journal;
mod settings;
mod work;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::serve::{self, Server};

pub use journal::{JournalEntry, WorkResult, parse_journal};
pub use settings::{BackendFaults, BackendSettings, SlowSpell, WorkTime};
use work::Backend;

/// Time after `drain()` from which arriving work is counted as late.
pub const DRAIN_GRACE: Duration = Duration::from_secs(3);

/// State that a backend server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Starting; requests are answered with 503.
    Cold,
    /// Able to serve.
    Ready,
    /// Finishing; requests are still served.
    Draining,
}

/// Numbers counted since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct BackendCounters {
    /// Requests that hold a slot now.
    pub running: u64,
    /// Requests that wait for a slot now.
    pub waiting: u64,
    /// Most requests that held a slot at the same time.
    pub peak_running: u64,
    /// Requests that arrived more than [`DRAIN_GRACE`] after `drain()`.
    pub late_work: u64,
    /// Announcements that the daemon answered with success.
    pub announced: u64,
    /// Announcements that failed or that the daemon refused.
    pub announce_failures: u64,
}

/// Running stand-in; it stops when it is dropped.
#[derive(Debug)]
pub struct BackendServer {
    server: Server,
    backend: Arc<Backend>,
    announcer: tokio::task::AbortHandle,
}

impl BackendServer {
    /// Starts a backend server.
    ///
    /// # Errors
    /// The address cannot be listened on, or the journal file cannot be created.
    pub async fn start(settings: BackendSettings) -> eyre::Result<BackendServer> {
        let listener = serve::bind(settings.listen).await?;
        let addr = listener.local_addr()?;
        let backend = Arc::new(Backend::new(settings, addr)?);
        let server = Server::start(listener, Arc::clone(&backend)).await?;
        let announcer = tokio::spawn(announce::run(Arc::clone(&backend))).abort_handle();
        Ok(BackendServer { server, backend, announcer })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// State that it announces now.
    pub fn phase(&self) -> Phase {
        self.backend.phase()
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut BackendFaults)) {
        self.backend.set_faults(change);
    }

    /// Makes work slower by `factor`, from `after` from now on and for the time `lasting`.
    pub fn slow_down(&self, factor: f64, after: Duration, lasting: Duration) {
        self.backend.add_spell(SlowSpell { factor, after, lasting });
    }

    /// Ends all slow spells.
    pub fn end_slow_spells(&self) {
        self.backend.end_spells();
    }

    /// Announces `draining`; running and arriving work is still finished.
    pub fn drain(&self) {
        self.backend.drain();
    }

    /// Waits until nothing runs or waits; returns whether that was so within `limit`.
    pub async fn wait_idle(&self, limit: Duration) -> bool {
        self.backend.wait_idle(limit).await
    }

    /// What ran so far, in the order of arrival; also after `kill()`.
    pub fn journal(&self) -> Vec<JournalEntry> {
        self.backend.journal()
    }

    /// Numbers counted since the start.
    pub fn counters(&self) -> BackendCounters {
        self.backend.counters()
    }

    /// Ends at once: the listener and all connections close, work is abandoned, nothing is announced.
    pub async fn kill(&self) {
        self.announcer.abort();
        self.server.stop().await;
    }
}

impl Drop for BackendServer {
    fn drop(&mut self) {
        self.announcer.abort();
    }
}
