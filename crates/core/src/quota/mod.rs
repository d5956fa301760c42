//! Quotas of tenants, shared by all daemons.
//!
//! Each tenant has one account, at the daemon that ranks first for its name among the members that a daemon is in
//! contact with. Entry daemons lease tokens from it for a short time. The state of a daemon has two parts: [`Accounts`]
//! holds the accounts of the tenants for which it ranks first, and [`Allowances`] the leased tokens that requests of
//! callers spend.
//!
//! The bound on the requests in a window is (rate x window + burst) x (1 + overage) + slack. Half of the overage covers
//! tokens that were leased before the window began, a quarter the dead members that are no longer counted, and a
//! quarter together with the slack is the reserve for times when no account answers.
//!
//! `now` is a time on a clock that goes on while the machine is suspended, as leases must have expired afterwards.

mod account;
mod allowance;
mod contact;
mod reserve;

pub use account::{Accounts, Ask, Decision};
pub use allowance::{Allowance, Allowances, Token};
pub use contact::{Contacts, Sighting, ViewDigest};

use std::time::Duration;

use crate::tenants::Quota;

/// Time for which tokens are leased that an entry daemon keeps in stock. Longer ones save messages; the holder limits
/// them, and knows how many were not used.
pub const STOCK_LEASE: Duration = Duration::from_secs(1);
/// Longest and shortest time for which tokens are leased that requests wait for.
const MAX_LEASE: Duration = Duration::from_millis(500);
const MIN_LEASE: Duration = Duration::from_millis(100);
/// Time that a new holder of an account waits, if the previous one may still grant tokens. The two sides of a partition
/// notice it at most [`CONTACT_TIMEOUT`] and one answer apart.
pub const HANDOVER: Duration = Duration::from_millis(1_500);
/// Time without any message from a data centre after which it is out of contact.
pub const CONTACT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time without any message from a data centre after which one of its daemons is asked for one.
pub const ASK_CONTACT_AFTER: Duration = Duration::from_millis(400);
/// Gap between two steps of this daemon after which others may have taken over its accounts: a daemon that does not
/// answer is suspected after 1.2 s.
pub const PAUSE: Duration = Duration::from_secs(1);

/// Bounds of all quotas.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bounds {
    /// Time over which the requests of a tenant are summed.
    pub window: Duration,
    /// Part of the requests that a quota allows in a window that may be sent beyond it.
    pub overage: f64,
    /// Number of requests in a window that may be sent beyond that.
    pub slack: f64,
}

impl Bounds {
    /// Time for which tokens are leased that requests wait for. At the rate of the quota, [`Bounds::leased`] covers
    /// them.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.window.mul_f64((self.overage / 2.0).clamp(0.0, 1.0)).clamp(MIN_LEASE, MAX_LEASE)
    }

    /// Number of tokens by which the balance and the leases together may exceed the burst; half of the overage.
    fn leased(&self, quota: &Quota) -> f64 {
        self.allowed(quota) * self.overage / 2.0
    }

    /// Largest number of tokens in the stocks of all entry daemons. A tenth of the burst, which other daemons cannot
    /// use then, is less than 2 % of what a window allows.
    fn stocked(&self, quota: &Quota) -> f64 {
        self.leased(quota) + quota.burst * 0.1
    }

    fn allowed(&self, quota: &Quota) -> f64 {
        quota.per_sec * self.window.as_secs_f64() + quota.burst
    }

    /// Part of the members that are taken to be dead for good, and no longer counted; a quarter of the overage.
    fn forgettable_share(&self) -> f64 {
        self.overage / 4.0
    }

    /// Requests of a tenant that all daemons together may send in a window while no account answers.
    fn reserve(&self, quota: &Quota) -> f64 {
        self.allowed(quota) * self.overage / 4.0 + self.slack
    }
}
