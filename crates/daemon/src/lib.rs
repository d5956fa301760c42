//! The daemon that runs beside each backend server.
//!
//! It follows the configuration, routes the requests of callers, protects the backend server from
//! overload, and reports the version of the configuration that it uses. The decision logic is in
//! `baobabreel-core`, which does no I/O; this crate supplies sockets, clocks, tasks and randomness.

pub mod adapter;
pub mod context;
pub mod control;
pub mod daemon;
pub mod dialect;
pub mod http1;
pub mod keys;
pub mod listeners;
mod operators;
pub mod proxy;
pub mod settings;
mod sync;
pub mod telemetry;

pub use adapter::{Adapter, BackendMessage, NativeAdapter};
pub use daemon::{Addresses, Daemon, Handle};
pub use dialect::Dialect;
pub use settings::Settings;
