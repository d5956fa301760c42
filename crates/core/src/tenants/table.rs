//! Index of the tenants of one configuration version.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::sync::Arc;

use super::{KeyDigest, Tenant};
use crate::id::TenantName;

/// Error: two tenants have the same API key, so that the owner of a request is not known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SharedKeyError {
    /// Names of the two tenants; the key is left out, as it is a secret.
    pub tenants: (TenantName, TenantName),
}

impl fmt::Display for SharedKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (first, second) = &self.tenants;
        write!(f, "tenants {first} and {second} have an API key in common")
    }
}

impl std::error::Error for SharedKeyError {}

/// Tenants by name and by API key.
#[derive(Clone, Default, PartialEq)]
pub struct TenantTable {
    by_name: BTreeMap<TenantName, Arc<Tenant>>,
    /// With the hash of the standard library, which callers cannot force to collide.
    by_key: HashMap<String, Arc<Tenant>>,
}

/// Leaves out the keys, which are secrets.
impl fmt::Debug for TenantTable {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_set().entries(self.by_name.keys()).finish()
    }
}

impl TenantTable {
    /// Builds the index.
    ///
    /// # Errors
    ///
    /// Two tenants have a key in common.
    pub fn new(tenants: impl IntoIterator<Item = Tenant>) -> Result<Self, SharedKeyError> {
        let mut table = Self::default();
        for tenant in tenants {
            let tenant = Arc::new(tenant);
            for key in &tenant.keys {
                let earlier = table.by_key.insert(key.clone(), Arc::clone(&tenant));
                if let Some(earlier) = earlier.filter(|earlier| earlier.name != tenant.name) {
                    return Err(SharedKeyError {
                        tenants: (earlier.name.clone(), tenant.name.clone()),
                    });
                }
            }
            table.by_name.insert(tenant.name.clone(), tenant);
        }
        Ok(table)
    }

    /// Tenant that owns an API key.
    #[must_use]
    pub fn find(&self, key: &str) -> Option<&Arc<Tenant>> {
        self.by_key.get(key)
    }

    /// Tenant that owns an API key with this digest. Looks at all keys, so it is for what is rare.
    #[must_use]
    pub fn find_digest(&self, digest: KeyDigest) -> Option<&Arc<Tenant>> {
        self.iter().find(|tenant| tenant.has_key(digest))
    }

    /// Tenant with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&Arc<Tenant>> {
        self.by_name.get(name)
    }

    /// All tenants, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Arc<Tenant>> {
        self.by_name.values()
    }

    /// Whether any tenant has a quota.
    #[must_use]
    pub fn has_quotas(&self) -> bool {
        self.iter().any(|tenant| tenant.quota.is_some())
    }

    /// Number of tenants.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether there are no tenants.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
