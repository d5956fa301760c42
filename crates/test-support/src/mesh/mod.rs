//! Several daemons with their backend servers and a log in one process.

mod records;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use baobabreel_client::operator::OperatorClient;
use baobabreel_client::transport::HttpClient;
use baobabreel_core::config::{ChangeSet, Entry, Version};
use baobabreel_core::membership::MemberState;
use baobabreel_daemon::{Addresses, Daemon, Settings, settings};
use eyre::{Result, bail};

use crate::backend::{BackendServer, BackendSettings};
use crate::log::{LogServer, LogSettings};

pub use records::ChangeBuilder;

/// Seeds that a daemon gets.
const SEEDS: usize = 3;

/// Daemon and backend server of a [`Mesh`].
#[derive(Debug, Clone)]
pub struct NodeSpec {
    /// Name of the daemon and the backend server.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Settings of the backend server; its announce URL is filled in.
    pub backend: BackendSettings,
    /// Further lines of the daemon's settings, for example `"drain_notice_ms": 200`.
    pub settings: Vec<String>,
}

impl NodeSpec {
    /// Node with a backend server of 10 slots.
    pub fn new(name: &str, data_centre: &str, service: &str) -> Self {
        Self {
            name: name.to_owned(),
            data_centre: data_centre.to_owned(),
            backend: BackendSettings::new(name, service),
            settings: Vec::new(),
        }
    }

    /// Changes the settings of the backend server.
    #[must_use]
    pub fn backend(mut self, change: impl FnOnce(BackendSettings) -> BackendSettings) -> Self {
        self.backend = change(self.backend);
        self
    }

    /// Adds a line to the daemon's settings.
    #[must_use]
    pub fn setting(mut self, line: impl Into<String>) -> Self {
        self.settings.push(line.into());
        self
    }
}

/// Text of the settings of a daemon with free ports of 127.0.0.1.
#[must_use]
pub fn settings_text(spec: &NodeSpec, log_url: &str, seeds: &[SocketAddr]) -> String {
    let seeds: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
    let mut lines = vec![
        format!("\"daemon\": \"{}\"", spec.name),
        format!("\"data_centre\": \"{}\"", spec.data_centre),
        format!("\"log\": \"{log_url}\""),
        "\"listen\": {\"callers\": \"127.0.0.1:0\", \"peers\": \"127.0.0.1:0\", \
         \"backend\": \"127.0.0.1:0\", \"operators\": \"127.0.0.1:0\"}"
            .to_owned(),
        format!("\"seeds\": [{}]", seeds.join(", ")),
    ];
    lines.extend(spec.settings.iter().cloned());
    format!("{{\n  {}\n}}\n", lines.join(",\n  "))
}

/// Running node of a [`Mesh`].
#[derive(Debug)]
pub struct Node {
    /// What it was started from.
    pub spec: NodeSpec,
    /// The daemon; absent while it is stopped.
    pub daemon: Option<Daemon>,
    /// The backend server.
    pub backend: BackendServer,
    addresses: Addresses,
}

impl Node {
    async fn start(spec: NodeSpec, log_url: &str, seeds: &[SocketAddr]) -> Result<Self> {
        let daemon = Daemon::start(parse(&spec, log_url, seeds)?).await?;
        let addresses = daemon.addresses();
        let announce = format!("http://{}", addresses.backend);
        let backend = BackendServer::start(spec.backend.clone().announce_url(announce)).await?;
        Ok(Self { spec, daemon: Some(daemon), backend, addresses })
    }

    /// Addresses of the daemon.
    #[must_use]
    pub fn addresses(&self) -> Addresses {
        self.addresses
    }

    /// Client of the daemon's operators' endpoints.
    #[must_use]
    pub fn operator(&self) -> OperatorClient {
        let url = format!("http://{}", self.addresses.operators);
        OperatorClient::new(HttpClient::new(), url)
    }
}

fn parse(spec: &NodeSpec, log_url: &str, seeds: &[SocketAddr]) -> Result<Settings> {
    Ok(settings::parse(&spec.name, &settings_text(spec, log_url, seeds))?)
}

/// Several daemons with their backend servers and a log in one process.
#[derive(Debug)]
pub struct Mesh {
    /// Log of the mesh.
    pub log: LogServer,
    /// Nodes in the order of their specs.
    pub nodes: Vec<Node>,
}

impl Mesh {
    /// Starts a log and the nodes.
    ///
    /// # Errors
    ///
    /// A part cannot be started.
    pub async fn start(specs: Vec<NodeSpec>) -> Result<Self> {
        let log = LogServer::start(LogSettings::new()).await?;
        Self::start_with(log, specs).await
    }

    /// Starts the nodes with a log that runs.
    ///
    /// # Errors
    ///
    /// A part cannot be started.
    pub async fn start_with(log: LogServer, specs: Vec<NodeSpec>) -> Result<Self> {
        let mut nodes: Vec<Node> = Vec::new();
        for spec in specs {
            let seeds = seeds(&nodes);
            nodes.push(Node::start(spec, &log.url(), &seeds).await?);
        }
        Ok(Self { log, nodes })
    }

    /// Appends a change set and returns its offset.
    pub fn publish(&self, change: ChangeSet) -> u64 {
        self.log.append("config", &entry_text(change))
    }

    /// Waits until all running daemons have this version in force and know all others as ready.
    ///
    /// # Errors
    ///
    /// It is not so within `limit`.
    pub async fn wait_ready(&self, offset: u64, limit: Duration) -> Result<Duration> {
        let start = Instant::now();
        let running = self.nodes.iter().filter(|node| node.daemon.is_some()).count();
        loop {
            let lagging = self.lagging(offset, running);
            if lagging.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                bail!("not ready within {limit:?}: {}", lagging.join("; "));
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }

    fn lagging(&self, offset: u64, ready: usize) -> Vec<String> {
        let mut lagging = Vec::new();
        for node in &self.nodes {
            let Some(daemon) = &node.daemon else { continue };
            let cx = daemon.context();
            let version = cx.config.load().version;
            let members = cx.members.load();
            let known = members.iter().filter(|m| m.state == MemberState::Ready).count();
            if version < (Version { generation: version.generation, offset }) || known < ready {
                lagging.push(format!("{} at {version}, knows {known} ready", node.spec.name));
            }
        }
        lagging
    }

    /// Waits until all running daemons have this version in force.
    ///
    /// # Errors
    ///
    /// It is not so within `limit`.
    pub async fn wait_version(&self, offset: u64, limit: Duration) -> Result<Duration> {
        let start = Instant::now();
        loop {
            let lagging = self.lagging(offset, 0);
            if lagging.is_empty() {
                return Ok(start.elapsed());
            }
            if start.elapsed() > limit {
                bail!("version not in force within {limit:?}: {}", lagging.join("; "));
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }

    /// Ends one daemon at once, as a crash would; its backend server goes on.
    pub fn crash(&mut self, index: usize) {
        if let Some(daemon) = self.nodes[index].daemon.take() {
            daemon.abort();
        }
    }

    /// Starts the daemon of a node again, on new ports, with a new backend server beside it.
    ///
    /// # Errors
    ///
    /// A part cannot be started.
    pub async fn restart(&mut self, index: usize) -> Result<()> {
        self.crash(index);
        self.nodes[index].backend.kill().await;
        let running: Vec<SocketAddr> = seeds_of(self.nodes.iter());
        let spec = self.nodes[index].spec.clone();
        self.nodes[index] = Node::start(spec, &self.log.url(), &running).await?;
        Ok(())
    }

    /// Callers' addresses of the running daemons.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|node| node.daemon.is_some());
        running.map(|node| node.addresses.callers).collect()
    }
}

fn seeds(nodes: &[Node]) -> Vec<SocketAddr> {
    seeds_of(nodes.iter())
}

/// Peers' addresses of the first running daemons of different data centres.
fn seeds_of<'a>(nodes: impl Iterator<Item = &'a Node>) -> Vec<SocketAddr> {
    let mut found: Vec<(&str, SocketAddr)> = Vec::new();
    for node in nodes.filter(|node| node.daemon.is_some()) {
        let data_centre = node.spec.data_centre.as_str();
        if found.len() < SEEDS && found.iter().all(|(known, _)| *known != data_centre) {
            found.push((data_centre, node.addresses.peers));
        }
    }
    found.into_iter().map(|(_, addr)| addr).collect()
}

/// Text of the log entry of a change set.
#[must_use]
pub fn entry_text(change: ChangeSet) -> String {
    serde_json::to_string(&Entry::ChangeSet(change)).unwrap_or_default()
}
