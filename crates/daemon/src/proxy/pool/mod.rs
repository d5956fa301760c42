//! Connections to backend servers and to other daemons.

mod http1;
mod peer;

pub use http1::{Http1Connection, Http1Pool, SendError};
pub use peer::{PING_INTERVAL, PING_TIMEOUT, PeerError, PeerPool};
