//! TCP forwarder that emulates the network between two ends.
//!
//! It sits on loopback in front of a target and delays, paces, holds, silences or cuts what passes through. What one
//! end has sent before it closes or resets a connection still arrives; a reset arrives as a close.
//! The handshake of a connection is not delayed, and a target that refuses connections shows up as a
//! connection that is closed right after it was established.

mod pump;
mod room;

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;

use room::Room;

/// Wait before the port is bound again when that has failed.
const REBIND_WAIT: Duration = Duration::from_millis(5);

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// What the relay does now; connections have numbers from 1.
#[derive(Debug, Clone, Copy, Default)]
struct Rules {
    delay: Duration,
    /// Bytes per second of one connection in one direction.
    rate: Option<u32>,
    /// Bytes per second of all connections together in one direction.
    shared_rate: Option<u32>,
    hold: bool,
    refuse: bool,
    silenced_up_to: u64,
    cut_up_to: u64,
}

/// When each direction of the link is free again, if its connections share a rate.
#[derive(Debug, Default)]
struct SharedLink {
    to_target: Mutex<Option<Instant>>,
    from_target: Mutex<Option<Instant>>,
}

#[derive(Debug, Default)]
struct Counters {
    accepted: AtomicU64,
    open: AtomicU64,
    to_target: AtomicU64,
    from_target: AtomicU64,
}

/// Numbers counted since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct RelayCounters {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections open now.
    pub open: u64,
    /// Bytes delivered to the target.
    pub to_target: u64,
    /// Bytes delivered from the target.
    pub from_target: u64,
}

/// Running forwarder; dropping it closes its listener and connections.
#[derive(Debug)]
pub struct Relay {
    addr: SocketAddr,
    rules: watch::Sender<Rules>,
    listening: watch::Receiver<bool>,
    counters: Arc<Counters>,
}

impl Relay {
    /// Starts a forwarder to `target` on a free port of 127.0.0.1.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start(target: SocketAddr) -> eyre::Result<Relay> {
        Self::start_on(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)), target).await
    }

    /// Starts a forwarder to `target` on a given address.
    ///
    /// # Errors
    /// The address cannot be listened on.
    pub async fn start_on(listen: SocketAddr, target: SocketAddr) -> eyre::Result<Relay> {
        Self::start_in_room(listen, target, Room::default())
    }

    /// Starts a forwarder to `target` on a free port of 127.0.0.1. About `bytes` fit into each direction of a
    /// connection, so that an end that does not read soon blocks the other one.
    ///
    /// # Errors
    /// No port can be listened on.
    pub async fn start_narrow(target: SocketAddr, bytes: u32) -> eyre::Result<Relay> {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_in_room(listen, target, Room::of_bytes(bytes))
    }

    fn start_in_room(listen: SocketAddr, target: SocketAddr, room: Room) -> eyre::Result<Relay> {
        let listener =
            bind(listen, room).wrap_err_with(|| format!("failed to listen on {listen}"))?;
        let addr = listener.local_addr().wrap_err("failed to read the listening address")?;
        let (rules, rules_rx) = watch::channel(Rules::default());
        let (listening_tx, listening) = watch::channel(true);
        let counters = Arc::new(Counters::default());
        let link = Arc::default();
        let acceptor = Acceptor { addr, target, room, counters: Arc::clone(&counters), link };
        tokio::spawn(acceptor.run(listener, rules_rx, listening_tx));
        Ok(Relay { addr, rules, listening, counters })
    }

    /// Address that stands for the target.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the one-way delay of bytes that arrive from now on, in both directions.
    pub fn set_delay(&self, delay: Duration) {
        self.rules.send_modify(|rules| rules.delay = delay);
    }

    /// Sets the bytes per second that pass in each direction of a connection; without a rate, nothing is paced.
    pub fn set_rate(&self, bytes_per_s: Option<u32>) {
        self.rules.send_modify(|rules| rules.rate = bytes_per_s);
    }

    /// Makes all connections share a rate in bytes per second in each direction. Bytes pass in the order in which they
    /// come, as in the queue of a link.
    pub fn share_rate(&self, bytes_per_s: u32) {
        self.rules.send_modify(|rules| rules.shared_rate = Some(bytes_per_s));
    }

    /// Makes all existing connections silent for good: they stay open and nothing passes. New
    /// connections work.
    pub fn silence_existing(&self) {
        let last = self.counters.accepted.load(Ordering::Relaxed);
        self.rules.send_modify(|rules| rules.silenced_up_to = last);
    }

    /// Holds back all bytes of existing and new connections while it is set, as a partition does;
    /// they are delivered afterwards.
    pub fn hold(&self, hold: bool) {
        self.rules.send_modify(|rules| rules.hold = hold);
    }

    /// Closes all existing connections.
    pub fn cut(&self) {
        let last = self.counters.accepted.load(Ordering::Relaxed);
        self.rules.send_modify(|rules| rules.cut_up_to = last);
    }

    /// Refuses new connections while it is set; returns when that is in force.
    pub async fn refuse(&self, refuse: bool) {
        self.rules.send_modify(|rules| rules.refuse = refuse);
        let mut listening = self.listening.clone();
        // The acceptor lives as long as this relay, so the wait ends only with the change.
        drop(listening.wait_for(|listening| *listening != refuse).await);
    }

    /// Numbers counted since the start.
    pub fn counters(&self) -> RelayCounters {
        RelayCounters {
            accepted: self.counters.accepted.load(Ordering::Relaxed),
            open: self.counters.open.load(Ordering::Relaxed),
            to_target: self.counters.to_target.load(Ordering::Relaxed),
            from_target: self.counters.from_target.load(Ordering::Relaxed),
        }
    }
}

#[derive(Debug)]
struct Acceptor {
    addr: SocketAddr,
    target: SocketAddr,
    room: Room,
    counters: Arc<Counters>,
    link: Arc<SharedLink>,
}

impl Acceptor {
    async fn run(
        self,
        listener: TcpListener,
        mut rules: watch::Receiver<Rules>,
        listening: watch::Sender<bool>,
    ) {
        let mut connections = JoinSet::new();
        let mut listener = Some(listener);
        loop {
            let refuse = rules.borrow_and_update().refuse;
            if refuse {
                // Only a closed listener makes the system refuse connections.
                listener = None;
            } else if listener.is_none() {
                listener = bind(self.addr, self.room).ok();
            }
            let is_listening = listener.is_some();
            listening.send_if_modified(|old| std::mem::replace(old, is_listening) != is_listening);
            tokio::select! {
                changed = rules.changed() => if changed.is_err() { return },
                Some(_) = connections.join_next() => {}
                Some(stream) = accept(listener.as_ref()) => {
                    let id = self.counters.accepted.fetch_add(1, Ordering::Relaxed) + 1;
                    connections.spawn(self.connection(id, stream, rules.clone()));
                }
                () = tokio::time::sleep(REBIND_WAIT), if !refuse && !is_listening => {}
            }
        }
    }

    fn connection(
        &self,
        id: u64,
        stream: TcpStream,
        rules: watch::Receiver<Rules>,
    ) -> impl Future<Output = ()> + Send + use<> {
        let (target, room, counters) = (self.target, self.room, Arc::clone(&self.counters));
        let link = Arc::clone(&self.link);
        async move {
            let _open = OpenConnection::new(&counters.open);
            let mut cut_rules = rules.clone();
            let forward = pump::forward(id, stream, (target, room), rules, (&counters, &link));
            tokio::select! {
                () = forward => {}
                _ = cut_rules.wait_for(|rules| id <= rules.cut_up_to) => {}
            }
        }
    }
}

/// Listens on an address; accepted connections inherit the buffers of the listener.
fn bind(addr: SocketAddr, room: Room) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    room.apply(&socket)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

async fn accept(listener: Option<&TcpListener>) -> Option<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.ok().map(|(stream, _)| stream),
        None => None,
    }
}

struct OpenConnection<'a>(&'a AtomicU64);

impl<'a> OpenConnection<'a> {
    fn new(open: &'a AtomicU64) -> Self {
        open.fetch_add(1, Ordering::Relaxed);
        OpenConnection(open)
    }
}

impl Drop for OpenConnection<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
