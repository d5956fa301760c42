//! Quick start and measurements.
//!
//! Everything runs on loopback against the real code of the daemon, with stand-ins for the log and
//! the backend servers.

pub mod fit;
pub mod fleet;
pub mod path;
pub mod plots;
pub mod policy;
pub mod process;
pub mod pure;
pub mod scale;
pub mod table;
