//! Ports for child processes that cannot report the one they got.

use std::net::{Ipv4Addr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Ports below the range from which Linux takes the ports of outgoing connections (from 32,768),
/// so that no connection takes a port before the child listens on it.
const PORTS: std::ops::Range<u32> = 20_000..32_000;

/// Calls of [`free_port`] in this process.
static CALLS: AtomicU32 = AtomicU32::new(0);

/// Held while a port is probed, and while a child is started: it inherits all sockets until it runs its program.
static PROBE_OR_START: Mutex<()> = Mutex::new(());

/// Waits until no port is probed; none is until the returned guard is dropped.
pub(super) fn no_probes() -> MutexGuard<'static, ()> {
    PROBE_OR_START.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Port of 127.0.0.1 that is free for TCP and UDP, and that this process has not returned before.
///
/// # Panics
/// No port of the range is free.
pub fn free_port() -> u16 {
    // Test processes that run at the same time start at different places of the range.
    let start = std::process::id().wrapping_mul(97);
    let _no_child_starts = no_probes();
    for _ in PORTS {
        let call = CALLS.fetch_add(1, Ordering::Relaxed);
        let port = PORTS.start + start.wrapping_add(call) % (PORTS.end - PORTS.start);
        let port = u16::try_from(port).expect("the range is within 16 bits");
        let address = (Ipv4Addr::LOCALHOST, port);
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return port;
        }
    }
    panic!("no port of {PORTS:?} is free");
}
