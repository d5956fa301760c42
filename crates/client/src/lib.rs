//! Wire types and clients.
//!
//! The log and the operators' endpoints speak JSON over HTTP/1.1; daemons speak rmp-serde over HTTP
//! to each other. Wire types are separate from the types of `baobabreel-core`, so that either side
//! can change without the other.

pub mod log;
pub mod operator;
pub mod transport;
pub mod wire;
