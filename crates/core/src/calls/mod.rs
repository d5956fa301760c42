//! Calls between two daemons that take long, or whose connection has gone silent.
//!
//! The called daemon keeps the states of the calls that have arrived ([`CallTable`]). The calling daemon
//! asks for the state of a call over another connection, and decides from the answers whether to go on
//! waiting ([`CallWatch`]). A call that the called daemon does not know counts as not run only if no
//! earlier process of that daemon can have run it.

mod table;
mod watch;

pub use table::{Addressee, CallId, CallState, CallTable, RETENTION};
pub use watch::{CallWatch, LossReason, NextStep};
