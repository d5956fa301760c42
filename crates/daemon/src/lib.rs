//! The daemon that runs beside each backend server.
//!
//! It follows the configuration, routes the requests of callers, protects the backend server, and
//! reports where each record stands. The decisions are those of `baobabreel-core`; this crate gives
//! them sockets, clocks, tasks and randomness.

pub mod context;
pub mod control;
pub mod daemon;
pub mod keys;
mod listeners;
mod operators;
pub mod proxy;
pub mod settings;
pub mod telemetry;

pub use daemon::{Addresses, Daemon};
pub use settings::Settings;
