//! Connections to backend servers and to other daemons.

mod http1;
mod peer;

pub use http1::{Http1Connection, Http1Pool, SendError};
pub use peer::{PeerError, PeerPool};

use std::error::Error;

/// Text of an error with its causes; hyper's own text leaves them out.
fn describe(e: &hyper::Error) -> String {
    let causes = std::iter::successors(e.source(), |cause| (*cause).source());
    causes.fold(e.to_string(), |text, cause| format!("{text}: {cause}"))
}
