//! Messages about the quotas of tenants between daemons.

use std::time::Duration;

use baobabreel_core::id::{DaemonId, TenantName};
use baobabreel_core::quota::{Ask, Decision, Sighting, ViewDigest};
use serde::{Deserialize, Serialize};

/// Asks the daemon that holds the accounts of some tenants for tokens. Without tenants, it only shows that the two
/// daemons are in contact.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Daemon that asks.
    pub from: DaemonId,
    /// What its state shows to the receiver.
    pub seen: SightingWire,
    /// Tokens that it asks for.
    pub tenants: Vec<AskedTokens>,
}

/// Tokens of one tenant that are asked for.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AskedTokens {
    /// The tenant.
    pub tenant: TenantName,
    /// Number of tokens that requests wait for.
    pub needed: u32,
    /// Number of further tokens that the entry daemon wants in stock.
    pub extra: u32,
    /// Number of tokens in its stock.
    pub held: u32,
}

impl AskedTokens {
    /// Request for tokens of a tenant.
    #[must_use]
    pub fn new(tenant: TenantName, ask: Ask) -> Self {
        let Ask { needed, extra, held } = ask;
        Self { tenant, needed, extra, held }
    }

    /// Numbers of tokens.
    #[must_use]
    pub fn ask(&self) -> Ask {
        Ask { needed: self.needed, extra: self.extra, held: self.held }
    }
}

/// Answer to a [`QuotaRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// What the state of the answering daemon shows to the asking one.
    pub seen: SightingWire,
    /// Answers in the order of the request. Leases begin when the request was sent.
    pub tenants: Vec<GrantedTokens>,
}

/// Tokens of one tenant that are granted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantedTokens {
    /// Whether the answering daemon may grant tokens of the tenant.
    pub is_held: bool,
    /// Number of tokens for requests that wait.
    pub tokens: u32,
    /// Number of tokens for the stock, with a longer lease.
    pub stocked: u32,
    /// Milliseconds until the account has a further token.
    pub wait_ms: u32,
}

/// [`Sighting`] in a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SightingWire {
    /// Digest of the data centres that the sender is in contact with, once it knows them.
    pub view: Option<ViewDigest>,
    /// Whether the sender knows the receiver as a member.
    pub knows_receiver: bool,
}

impl From<Sighting> for SightingWire {
    fn from(seen: Sighting) -> Self {
        Self { view: seen.view, knows_receiver: seen.knows_receiver }
    }
}

impl From<SightingWire> for Sighting {
    fn from(seen: SightingWire) -> Self {
        Self { view: seen.view, knows_receiver: seen.knows_receiver }
    }
}

impl From<Decision> for GrantedTokens {
    fn from(decision: Decision) -> Self {
        match decision {
            Decision::Granted { tokens, stocked, wait } => {
                let wait_ms = u32::try_from(wait.as_millis()).unwrap_or(u32::MAX);
                Self { is_held: true, tokens, stocked, wait_ms }
            }
            Decision::NotHeld => Self { is_held: false, tokens: 0, stocked: 0, wait_ms: 0 },
        }
    }
}

impl From<GrantedTokens> for Decision {
    fn from(granted: GrantedTokens) -> Self {
        if !granted.is_held {
            return Self::NotHeld;
        }
        let wait = Duration::from_millis(granted.wait_ms.into());
        Self::Granted { tokens: granted.tokens, stocked: granted.stocked, wait }
    }
}
