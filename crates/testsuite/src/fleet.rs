//! Daemons and backend servers as processes.

use std::net::SocketAddr;
use std::path::PathBuf;

use baobabreel_client::operator::OperatorClient;
use baobabreel_client::transport::HttpClient;
use baobabreel_client::wire::StatusDoc;
use baobabreel_core::config::ChangeSet;
use baobabreel_core::membership::MemberState;
use baobabreel_test_support::backend::{JournalEntry, parse_journal};
use baobabreel_test_support::log::{LogServer, LogSettings};
use baobabreel_test_support::mesh::{NodeSpec, entry_text, settings_text};
use baobabreel_test_support::process::{ChildProcess, ChildSettings, Signal, target_binary};

use crate::{LIMIT, RawBackend, first_change, wait_until};

/// A daemon and the backend server beside it, each in a process.
#[derive(Debug)]
pub struct FleetNode {
    /// Process of the daemon.
    pub daemon: ChildProcess,
    /// Process of the backend server.
    pub backend: ChildProcess,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other daemons.
    pub peers: SocketAddr,
    /// Address for the backend server.
    pub announce: SocketAddr,
    /// Address for operators.
    pub operators: SocketAddr,
}

impl FleetNode {
    async fn start(spec: &NodeSpec, service: &str, log_url: &str, seeds: &[SocketAddr]) -> Self {
        let text = settings_text(spec, log_url, seeds);
        let settings = ChildSettings::new(binary("baobabreeld")).settings("--settings", text);
        let daemon = ChildProcess::start(settings).await.expect("daemon starts");
        let addr = |name: &str| {
            let text = daemon.ready_field(name).expect("an address");
            text.parse().expect("an address")
        };
        let announce: SocketAddr = addr("backend");
        let backend = ChildSettings::new(binary("backend"))
            .arg(format!("--service={service}"))
            .arg(format!("--name={}", spec.name))
            .arg(format!("--slots={}", spec.backend.slot_count()))
            .arg(format!("--announce-url=http://{announce}"))
            .arg("--journal")
            .arg(daemon.folder().join("journal"));
        Self {
            backend: ChildProcess::start(backend).await.expect("backend starts"),
            callers: addr("callers"),
            peers: addr("peers"),
            operators: addr("operators"),
            announce,
            daemon,
        }
    }

    /// State of the daemon; absent while it does not answer.
    pub async fn status(&self) -> Option<StatusDoc> {
        let url = format!("http://{}", self.operators);
        let client = OperatorClient::new(HttpClient::new(), url);
        client.status().await.ok()
    }

    /// What the backend server ran so far; also after its end.
    ///
    /// # Panics
    ///
    /// The journal cannot be read.
    #[must_use]
    pub fn journal(&self) -> Vec<JournalEntry> {
        let text = std::fs::read_to_string(self.daemon.folder().join("journal"));
        parse_journal(&text.expect("a journal")).expect("a journal")
    }

    /// File descriptors that the daemon has open.
    ///
    /// # Panics
    ///
    /// The daemon has ended.
    #[must_use]
    pub fn open_files(&self) -> usize {
        let path = format!("/proc/{}/fd", self.daemon.pid());
        std::fs::read_dir(path).expect("the daemon runs").count()
    }

    /// Memory that the daemon holds, in KiB.
    ///
    /// # Panics
    ///
    /// The daemon has ended.
    #[must_use]
    pub fn memory_kib(&self) -> u64 {
        self.status_kib("VmRSS:")
    }

    /// Most memory that the daemon held so far, in KiB. The kernel sums it up from counters per
    /// processor, so a later reading may be slightly lower.
    ///
    /// # Panics
    ///
    /// The daemon has ended.
    #[must_use]
    pub fn peak_memory_kib(&self) -> u64 {
        self.status_kib("VmHWM:")
    }

    fn status_kib(&self, field: &str) -> u64 {
        let path = format!("/proc/{}/status", self.daemon.pid());
        let status = std::fs::read_to_string(path).expect("the daemon runs");
        let line = status.lines().find_map(|line| line.strip_prefix(field));
        let text = line.and_then(|line| line.split_whitespace().next());
        text.and_then(|kib| kib.parse().ok()).expect("a number")
    }
}

impl Drop for FleetNode {
    /// Prints the lines of the daemon if the test failed, so that the cause of a failure that shows
    /// once can be found.
    fn drop(&mut self) {
        if std::thread::panicking() {
            for line in self.daemon.lines() {
                eprintln!("{}: {}", self.callers, line.text);
            }
        }
    }
}

fn binary(name: &str) -> PathBuf {
    let hint = "run `cargo test --workspace`, or first `cargo build --workspace --bins --examples`";
    target_binary(name).unwrap_or_else(|e| panic!("{e}; {hint}"))
}

/// Several nodes as processes, and a log.
#[derive(Debug)]
pub struct Fleet {
    /// Log, in this process.
    pub log: LogServer,
    /// Nodes in the order of their specs.
    pub nodes: Vec<FleetNode>,
}

impl Fleet {
    /// Starts nodes with the services of their backend servers, and [`first_change`] in force.
    ///
    /// # Panics
    ///
    /// A part does not start, or they are not ready within [`LIMIT`].
    pub async fn ready(specs: Vec<(NodeSpec, &str)>) -> Self {
        let log = LogServer::start(LogSettings::new()).await;
        let log = log.expect("log starts");
        let mut nodes: Vec<FleetNode> = Vec::new();
        for (spec, service) in specs {
            let seeds: Vec<_> = nodes.iter().map(|node| node.peers).collect();
            nodes.push(FleetNode::start(&spec, service, &log.url(), &seeds).await);
        }
        let fleet = Self { log, nodes };
        let offset = fleet.publish(first_change());
        fleet.wait_ready(offset).await;
        fleet
    }

    /// Starts two nodes; beside the first runs a [`RawBackend`] in this process, the second has no
    /// backend server of the service.
    ///
    /// # Panics
    ///
    /// See [`Fleet::ready`]; or the backend server that the first node starts with cannot be ended.
    pub async fn with_raw_backend() -> (Self, RawBackend) {
        let specs = ["a1", "a2"].map(|name| NodeSpec::new(name, "hobart-a", "yard"));
        Self::with_raw_backend_beside(specs).await
    }

    /// Like [`Fleet::with_raw_backend`], with nodes of the service `yard` of the test's own.
    ///
    /// # Panics
    ///
    /// See [`Fleet::with_raw_backend`].
    pub async fn with_raw_backend_beside(specs: [NodeSpec; 2]) -> (Self, RawBackend) {
        let mut fleet = Self::ready(specs.map(|spec| (spec, "yard")).to_vec()).await;
        let first = &mut fleet.nodes[0];
        first.backend.signal(Signal::Kill).expect("it runs");
        first.backend.wait(LIMIT).await.expect("it ends");
        let backend = RawBackend::start("catalogue", first.announce).await;
        (fleet, backend)
    }

    /// Appends a change set and returns its offset.
    pub fn publish(&self, change: ChangeSet) -> u64 {
        self.log.append("config", &entry_text(change))
    }

    /// Waits until all daemons have this version in force and know all others as ready.
    pub async fn wait_ready(&self, offset: u64) {
        for node in &self.nodes {
            wait_until("a daemon is ready", async || {
                let status = node.status().await;
                status.is_some_and(|status| status.serving && status.version.offset >= offset)
                    && self.ready_members(node).await == self.nodes.len()
            })
            .await;
        }
    }

    async fn ready_members(&self, node: &FleetNode) -> usize {
        let url = format!("http://{}", node.operators);
        let members = OperatorClient::new(HttpClient::new(), url).members().await;
        let members = members.unwrap_or_default();
        let ready = members.iter().filter(|m| m.state == MemberState::Ready);
        ready.count()
    }

    /// Journals of all backend servers.
    #[must_use]
    pub fn journals(&self) -> Vec<Vec<JournalEntry>> {
        self.nodes.iter().map(FleetNode::journal).collect()
    }
}
