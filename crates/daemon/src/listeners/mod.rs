//! Listeners for callers, peers, the backend server and operators.
//!
//! Each has a socket of its own, so that callers cannot reach the interfaces for daemons and operators.

mod callers;
mod delivery;
mod peers;
mod prefixed;
mod small;

pub use callers::serve_callers;
pub use peers::serve_peers;
pub use small::{Reply, serve_simple_http};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Pause after a failed accept, for example when the process is out of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds the listener with this name to an address.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(name: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("failed to listen for {name} on {addr}"))
}

/// Listener with a limit on open connections; further ones wait in the backlog of the kernel.
struct BoundedListener {
    listener: TcpListener,
    permits: Arc<Semaphore>,
}

impl BoundedListener {
    fn new(listener: TcpListener, max_connections: usize) -> Self {
        Self { listener, permits: Arc::new(Semaphore::new(max_connections)) }
    }

    /// Accepts the next connection, which counts towards the limit until its permit is dropped.
    async fn accept(&self) -> (TcpStream, Option<OwnedSemaphorePermit>) {
        let permit = Arc::clone(&self.permits).acquire_owned().await.ok();
        loop {
            match self.listener.accept().await {
                Ok((stream, _)) => {
                    if let Err(e) = stream.set_nodelay(true) {
                        tracing::debug!(error = %e, "failed to set TCP_NODELAY");
                    }
                    return (stream, permit);
                }
                Err(e) => {
                    tracing::warn!(error = %e, "failed to accept a connection");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }
}
