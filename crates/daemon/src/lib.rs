//! The daemon that runs beside each backend server.
//!
//! It follows the configuration, routes the requests of callers, protects the backend server from
//! overload, and reports which state of each configuration record it uses. The decision logic is in
//! `baobabreel-core`; this crate supplies it with sockets, clocks, tasks and randomness.

pub mod adapter;
pub mod buffers;
pub mod callers;
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
pub use control::{Rollouts, StoreGeneration};
pub use daemon::{Addresses, Daemon, Handle};
pub use dialect::Dialect;
pub use proxy::{Quarantine, Share};
pub use settings::Settings;
