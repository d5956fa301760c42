//! Wire types and HTTP clients of the log and of the daemons.
//!
//! The log and the operators' endpoints use JSON over HTTP/1.1; daemons exchange MessagePack
//! (rmp-serde) over HTTP. Wire types are separate from the types of `baobabreel-core`, so that
//! either can change without the other.

pub mod log;
pub mod operator;
pub mod transport;
pub mod wire;
