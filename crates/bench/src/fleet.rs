//! Many daemons in one process, on threads of their own, with counted control traffic.
//!
//! Three runtimes share the process: the daemons, the stand-ins (log and backend servers), and the
//! relays through which the daemons reach each other and the log. Processor time is read by the
//! names of the threads, and the relays count the bytes that pass through real sockets.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use baobabreel_daemon::context::Phase;
use baobabreel_daemon::{Addresses, Daemon, settings};
use baobabreel_test_support::backend::{BackendServer, BackendSettings};
use baobabreel_test_support::log::{LogServer, LogSettings};
use baobabreel_test_support::net::Relay;
use baobabreel_test_support::process::free_port;
use eyre::{Result, WrapErr, bail};
use tokio::runtime::{Builder, Runtime};
use tokio::task::JoinSet;

/// Start of the names of the daemons' threads.
pub const DAEMON_THREADS: &str = "daemons";

/// Start of the names of the threads of the log and the backend servers.
pub const STAND_IN_THREADS: &str = "stand-ins";

/// Time in which the ports of an aborted daemon become free.
const REBIND_LIMIT: Duration = Duration::from_secs(3);

/// Longest wait for a connection of [`Fleet::connect_all`].
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Seeds that a daemon gets.
const SEEDS: usize = 3;

/// Makes a runtime whose threads have names that start with `name`.
///
/// # Errors
///
/// The threads cannot be started.
pub fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .wrap_err("failed to start a runtime")
}

/// Settings of one daemon and its backend server.
#[derive(Debug, Clone)]
pub struct Place {
    /// Name of the daemon.
    pub name: String,
    /// Data centre.
    pub data_centre: String,
    /// Backend server; its announce URL is filled in.
    pub backend: BackendSettings,
    /// Further lines of the daemon's settings.
    pub settings: Vec<String>,
}

/// One daemon with its backend server.
#[derive(Debug)]
pub struct Node {
    /// What it was started from.
    pub place: Place,
    /// The daemon; absent while it is stopped.
    pub daemon: Option<Daemon>,
    /// The backend server.
    pub backend: BackendServer,
    relay: Option<Relay>,
    peers: SocketAddr,
    announce: SocketAddr,
}

impl Node {
    /// Address at which other daemons reach this one.
    #[must_use]
    pub fn advertised(&self) -> SocketAddr {
        self.relay.as_ref().map_or(self.peers, Relay::addr)
    }

    /// Addresses of the running daemon.
    #[must_use]
    pub fn addresses(&self) -> Option<Addresses> {
        self.daemon.as_ref().map(Daemon::addresses)
    }

    fn settings_text(&self, log_url: &str, seeds: &[SocketAddr]) -> String {
        let quoted: Vec<String> = seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let mut lines = vec![
            format!("\"daemon\": \"{}\"", self.place.name),
            format!("\"data_centre\": \"{}\"", self.place.data_centre),
            format!("\"log\": \"{log_url}\""),
            format!(
                "\"listen\": {{\"callers\": \"127.0.0.1:0\", \"peers\": \"{}\", \
                 \"backend\": \"{}\", \"operators\": \"127.0.0.1:0\"}}",
                self.peers, self.announce
            ),
            format!("\"advertise_peers\": \"{}\"", self.advertised()),
            format!("\"seeds\": [{}]", quoted.join(", ")),
        ];
        lines.extend(self.place.settings.iter().cloned());
        format!("{{{}}}", lines.join(",\n"))
    }
}

/// Bytes counted since the start.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// Between daemons, both directions.
    pub peers: u64,
    /// Between daemons and the log, both directions.
    pub log: u64,
}

/// Running daemons with their stand-ins.
#[derive(Debug)]
pub struct Fleet {
    /// Log.
    pub log: LogServer,
    /// Nodes in the order of their places.
    pub nodes: Vec<Node>,
    log_relay: Option<Relay>,
    daemons: Runtime,
    stand_ins: Runtime,
    relays: Runtime,
}

/// Address with a port that was free; each process has a loopback address of its own, so that
/// several measurements do not take each other's ports.
fn local(port: u16) -> SocketAddr {
    let [.., high, low] = std::process::id().to_be_bytes();
    SocketAddr::from((Ipv4Addr::new(127, 1, high, low), port))
}

impl Fleet {
    /// Starts the log, the backend servers and, when traffic is to be counted, the relays; no daemon
    /// yet.
    ///
    /// # Errors
    ///
    /// A part cannot be started.
    pub fn prepare(places: Vec<Place>, daemon_threads: usize, counted: bool) -> Result<Self> {
        let stand_ins = runtime(STAND_IN_THREADS, 2)?;
        let relays = runtime("relays", 2)?;
        let daemons = runtime(DAEMON_THREADS, daemon_threads)?;
        let log = stand_ins.block_on(LogServer::start(LogSettings::new()))?;
        let log_relay = match counted {
            true => Some(relays.block_on(Relay::start(log.addr()))?),
            false => None,
        };
        let mut nodes = Vec::new();
        for place in places {
            let (peers, announce) = (local(free_port()), local(free_port()));
            let relay = match counted {
                true => Some(relays.block_on(Relay::start(peers))?),
                false => None,
            };
            let announced = place.backend.clone();
            let announced = announced.announce_url(format!("http://{announce}"));
            let backend = stand_ins.block_on(BackendServer::start(announced))?;
            nodes.push(Node { place, daemon: None, backend, relay, peers, announce });
        }
        Ok(Self { log, nodes, log_relay, daemons, stand_ins, relays })
    }

    /// Starts the daemon of one node.
    ///
    /// # Errors
    ///
    /// Its ports stay in use, or its settings are wrong.
    pub fn start(&mut self, index: usize) -> Result<()> {
        let addr = self.log_relay.as_ref().map_or(self.log.addr(), Relay::addr);
        let seeds = self.seeds(index);
        let node = &mut self.nodes[index];
        let text = node.settings_text(&format!("http://{addr}"), &seeds);
        let settings = settings::parse(&node.place.name, &text)?;
        let begin = Instant::now();
        loop {
            let started = Daemon::start(settings.clone());
            match self.daemons.block_on(started) {
                Ok(daemon) => {
                    node.daemon = Some(daemon);
                    return Ok(());
                }
                // The listeners of an aborted daemon close a moment after the abort.
                Err(e) if begin.elapsed() > REBIND_LIMIT => return Err(e),
                Err(_) => std::thread::sleep(Duration::from_millis(5)),
            }
        }
    }

    /// Ends one daemon as a crash would.
    pub fn crash(&mut self, index: usize) {
        if let Some(daemon) = self.nodes[index].daemon.take() {
            let _entered = self.daemons.enter();
            daemon.abort();
        }
    }

    /// Addresses of some daemons of different data centres.
    fn seeds(&self, except: usize) -> Vec<SocketAddr> {
        let mut found: Vec<(&str, SocketAddr)> = Vec::new();
        for (index, node) in self.nodes.iter().enumerate() {
            let data_centre = node.place.data_centre.as_str();
            let fresh = found.iter().all(|(known, _)| *known != data_centre);
            if index != except && fresh && found.len() < SEEDS {
                found.push((data_centre, node.advertised()));
            }
        }
        found.into_iter().map(|(_, addr)| addr).collect()
    }

    /// Waits until all running daemons serve at `offset` and know all others as ready.
    ///
    /// # Errors
    ///
    /// It is not so within `limit`.
    pub fn wait_ready(&self, offset: u64, limit: Duration) -> Result<Duration> {
        let begin = Instant::now();
        let running: Vec<&Daemon> = self.nodes.iter().filter_map(|n| n.daemon.as_ref()).collect();
        // An entry about an earlier incarnation of a restarted daemon does not count.
        let knows_all = |daemon: &Daemon| {
            let members = daemon.context().members.load();
            running.iter().all(|other| {
                let identity = &other.context().identity;
                members
                    .get(&identity.id)
                    .is_some_and(|m| m.incarnation == identity.incarnation && m.is_able())
            })
        };
        loop {
            let lagging = running.iter().filter(|daemon| {
                let cx = daemon.context();
                cx.config.load().version.offset < offset
                    || cx.phase() != Phase::Serving
                    || !knows_all(daemon)
            });
            let lagging = lagging.count();
            if lagging == 0 {
                return Ok(begin.elapsed());
            }
            if begin.elapsed() > limit {
                bail!("{lagging} of {} daemons are not ready within {limit:?}", running.len());
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    }

    /// Waits until all daemons have `offset` in force; returns the time that each took.
    ///
    /// # Errors
    ///
    /// One of them does not within `limit`.
    pub fn wait_offset(
        &self,
        offset: u64,
        begin: Instant,
        limit: Duration,
    ) -> Result<Vec<Duration>> {
        let mut open: Vec<&Daemon> = self.nodes.iter().filter_map(|n| n.daemon.as_ref()).collect();
        let mut times = Vec::with_capacity(open.len());
        while !open.is_empty() {
            if begin.elapsed() > limit {
                bail!("{} daemons do not have offset {offset} in force", open.len());
            }
            open.retain(|daemon| {
                let arrived = daemon.context().config.load().version.offset >= offset;
                if arrived {
                    times.push(begin.elapsed());
                }
                !arrived
            });
            std::thread::sleep(Duration::from_micros(500));
        }
        Ok(times)
    }

    /// Opens a connection from each daemon to each other one.
    pub fn connect_all(&self) {
        let addresses: Vec<SocketAddr> = self.nodes.iter().map(Node::advertised).collect();
        let mut tasks = JoinSet::new();
        for node in &self.nodes {
            let Some(daemon) = &node.daemon else { continue };
            let own = node.advertised();
            let (cx, addresses) = (Arc::clone(daemon.context()), addresses.clone());
            let connect = async move {
                for to in addresses.into_iter().filter(|to| *to != own) {
                    // The empty message is refused; only the connection is wanted.
                    let sent = cx.peers.control(to, "/peer/v1/probe", Vec::new(), CONNECT_LIMIT);
                    drop(sent.await);
                }
            };
            tasks.spawn_on(connect, self.daemons.handle());
        }
        self.daemons.block_on(async { while tasks.join_next().await.is_some() {} });
    }

    /// Mean number of connections that a daemon has opened.
    #[must_use]
    pub fn connections(&self) -> f64 {
        let running = self.nodes.iter().filter_map(|n| n.daemon.as_ref());
        let opened: usize = running.map(|daemon| daemon.context().peers.len()).sum();
        opened as f64 / self.nodes.len() as f64
    }

    /// Bytes through the relays since the start.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let sum = |relay: &Relay| {
            let counters = relay.counters();
            counters.to_target + counters.from_target
        };
        Traffic {
            peers: self.nodes.iter().filter_map(|n| n.relay.as_ref()).map(sum).sum(),
            log: self.log_relay.as_ref().map_or(0, sum),
        }
    }

    /// Runtime of the daemons.
    #[must_use]
    pub fn daemons(&self) -> &Runtime {
        &self.daemons
    }

    /// Ends all parts without waiting for them.
    pub fn stop(mut self) {
        for index in 0..self.nodes.len() {
            self.crash(index);
        }
        let Self { log, nodes, log_relay, daemons, stand_ins, relays } = self;
        daemons.shutdown_background();
        stand_ins.shutdown_background();
        relays.shutdown_background();
        drop((log, nodes, log_relay));
    }
}
