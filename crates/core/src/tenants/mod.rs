//! Tenants: the owners of the API keys that requests carry.
//!
//! The entry daemon looks up the key of a request once, in the configuration version that the request is pinned to.
//! From then on the request belongs to the tenant, and the key is not needed any more.

mod digest;
mod table;

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::config::Class;
use crate::id::TenantName;

pub use digest::{KeyDigest, digest_key};
pub use table::{SharedKeyError, TenantTable};

/// Quota of a tenant, shared by all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Quota {
    /// Requests per second.
    pub per_sec: f64,
    /// Requests that may be sent at once beyond that.
    pub burst: f64,
}

/// Owner of API keys.
#[derive(Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// Name, unique among the tenants.
    pub name: TenantName,
    /// API keys; a request with any of them belongs to the tenant.
    pub keys: Vec<String>,
    /// Class of its requests, in place of the class of their routes.
    pub class: Option<Class>,
    /// Quota; none if the tenant may send any number of requests.
    pub quota: Option<Quota>,
}

/// Leaves out the keys, which are secrets.
impl fmt::Debug for Tenant {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Tenant")
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("class", &self.class)
            .field("quota", &self.quota)
            .finish()
    }
}

impl Tenant {
    /// Whether one of the keys of the tenant has this digest.
    #[must_use]
    pub fn has_key(&self, digest: KeyDigest) -> bool {
        self.keys.iter().any(|key| digest_key(key) == digest)
    }
}
