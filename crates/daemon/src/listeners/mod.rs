//! Listeners for callers, peers, the backend server and operators.
//!
//! They are separate sockets, so that a caller cannot reach what is meant for daemons or operators.

mod callers;
mod peers;
mod small;

pub use callers::serve_callers;
pub use peers::serve_peers;
pub use small::{Reply, serve_small};

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr};
use tokio::net::{TcpListener, TcpStream};

/// Pause after a failed accept, for example when no file descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Binds a listener.
///
/// # Errors
///
/// The address cannot be bound.
pub async fn bind(name: &str, addr: SocketAddr) -> Result<TcpListener> {
    TcpListener::bind(addr).await.wrap_err_with(|| format!("failed to listen for {name} on {addr}"))
}

/// Accepts the next connection.
async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Err(e) = stream.set_nodelay(true) {
                    tracing::debug!(error = %e, "failed to set TCP_NODELAY");
                }
                return stream;
            }
            Err(e) => {
                tracing::warn!(error = %e, "failed to accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
