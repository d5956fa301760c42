//! Stand-in for the platform's append-only log.
//!
//! Streams live in memory. Every property that the real log may show towards its clients (lost
//! answers, outages, limits, retention, replacement) is a field of [`LogFaults`] and can be changed
//! while clients are connected; open long polls see the change at once.

mod api;
mod faults;
mod store;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use crate::serve::{self, Server};

use api::Api;
pub use faults::{LogFaults, Outage};
pub use store::StoredRecord;

/// Settings of a [`LogServer`].
#[derive(Debug, Clone)]
pub struct LogSettings {
    listen: SocketAddr,
    seed: u64,
    faults: LogFaults,
}

impl Default for LogSettings {
    fn default() -> Self {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        LogSettings { listen, seed: 1, faults: LogFaults::default() }
    }
}

impl LogSettings {
    /// Settings without faults, on a free port of 127.0.0.1.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the address to listen on.
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the seed of the faults that happen with a probability.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Sets the faults at the start.
    pub fn faults(mut self, faults: LogFaults) -> Self {
        self.faults = faults;
        self
    }
}

/// Numbers counted since the start; bytes are those of request and answer bodies.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct LogCounters {
    /// Appends that took effect.
    pub appends: u64,
    /// Read requests that were served (answers cut or lost are included).
    pub reads: u64,
    /// Bytes received.
    pub bytes_in: u64,
    /// Bytes sent.
    pub bytes_out: u64,
    /// Long polls that are waiting now.
    pub open_polls: u64,
}

/// Running stand-in; it stops when it is dropped.
#[derive(Debug)]
pub struct LogServer {
    server: Server,
    api: Arc<Api>,
}

impl LogServer {
    /// Starts a log.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start(settings: LogSettings) -> eyre::Result<LogServer> {
        let listener = serve::bind(settings.listen).await?;
        let api = Arc::new(Api::new(settings.seed, settings.faults));
        let server = Server::start(listener, Arc::clone(&api)).await?;
        Ok(LogServer { server, api })
    }

    /// Address that it listens on.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Base URL, without a trailing slash.
    pub fn url(&self) -> String {
        format!("http://{}", self.addr())
    }

    /// Changes the faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        self.api.set_faults(change);
    }

    /// Faults that are set now; counts have been reduced by the faults that happened.
    pub fn faults(&self) -> LogFaults {
        self.api.faults()
    }

    /// Replaces the log by an empty one of the next generation, and returns that generation.
    pub fn replace_generation(&self) -> u64 {
        self.api.replace_generation()
    }

    /// Appends a record without HTTP and without faults, and returns its offset.
    pub fn append(&self, stream: &str, data: &str) -> u64 {
        self.api.append(stream, data)
    }

    /// Records that a stream retains.
    pub fn records(&self, stream: &str) -> Vec<StoredRecord> {
        self.api.records(stream)
    }

    /// Numbers counted since the start.
    pub fn counters(&self) -> LogCounters {
        self.api.counters()
    }

    /// Closes the listener and all connections.
    pub async fn stop(&self) {
        self.server.stop().await;
    }
}
