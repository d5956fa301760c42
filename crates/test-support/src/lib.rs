//! Stand-ins for the systems around baobabreel, for tests and measurements.
//!
//! All of them listen on loopback inside the test process and speak real HTTP over real sockets,
//! so that the code under test needs no hooks of its own. Faults are set at run time through the
//! handle of each stand-in.

pub mod backend;
pub mod load;
pub mod log;
pub mod mesh;
pub mod net;
pub mod options;
pub mod process;
mod serve;
mod timer;

pub use serve::checksum;
