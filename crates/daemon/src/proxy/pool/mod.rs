//! Connections to backend servers and to other daemons.

mod backend;
mod peer;

pub use backend::{BackendConnection, BackendPool, SendError};
pub use peer::{PING_INTERVAL, PING_TIMEOUT, PeerError, PeerPool, peer_uri};
