//! Clients that hold what others wait for: how long each has made the daemon wait, and whose place is taken back.
//!
//! A slot of a backend server, or a connection to another daemon, serves one request from its start until its response
//! has been read. A client that does not send its body or does not read its response holds it for as long. So the time
//! for which the holder of a place waited for its client is measured ([`ClientLag`]), and while others wait for a place,
//! the places of the clients that lag most are taken back ([`choose_lagging`]). Without contention nobody is
//! interrupted, however slow.

mod choose;
mod meter;

pub use choose::{HolderId, choose_lagging};
pub use meter::ClientLag;
