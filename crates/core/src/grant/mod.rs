//! Grants of connections to backend servers.
//!
//! An entry daemon that holds a grant of the daemon beside a backend server sends idempotent lookups
//! to that backend server itself, which saves one hop. A grant ends by itself: the holder counts its
//! time from when it asked, and the granting daemon from when it was asked, which is later. So the
//! holder has always stopped before the granting daemon gives the slots to others, even when no
//! message arrives. A withdrawal is an unanswered or refused renewal.

mod holder;
mod ledger;

use std::time::Duration;

pub use holder::{Ask, Held, Holder};
pub use ledger::{Asked, Conditions, Ledger};

/// Time that a grant lasts; new work must stop within 3 s of a drain.
pub const GRANT_TIME: Duration = Duration::from_secs(2);

/// Time after which a grant in use is renewed; one renewal may be lost.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(750);
