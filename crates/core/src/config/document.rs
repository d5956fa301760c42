//! Complete configurations from a source that orders and checks them itself.
//!
//! Where the platform keeps the newest configuration as one record, there are no conflicting
//! changes to resolve: the document with the highest version replaces the previous one as a whole.
//! Daemons forward documents to each other in this form.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::MAX_SCHEMA;
use super::caller_limits::CallerLimits;
use super::compiled::{CompiledConfig, Route};
use super::record::Version;
use super::spec::{Class, RouteSpec, ServiceSpec, WeightedService};
use crate::id::{RouteName, ServiceName};
use crate::tenants::{SharedKeyError, Tenant, TenantTable};

/// Generation of all versions that are made from documents.
const DOCUMENT_GENERATION: u64 = 1;

/// Maximum number of queued requests at each backend server.
const QUEUE_CAPACITY: u32 = 128;

/// Time over which a new backend server is ramped up to full load, in milliseconds.
const SLOW_START_MS: u64 = 3_000;

/// Version of a document; a higher one is newer.
pub type DocumentVersion = u64;

/// Complete configuration.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Document {
    /// Version of the document.
    pub version: DocumentVersion,
    /// All routes.
    pub routes: Vec<DocumentRoute>,
    /// All services.
    pub services: Vec<DocumentService>,
    /// Limits on the requests that callers may send.
    pub limits: CallerLimits,
    /// All tenants; absent if requests need no API key.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenants: Option<Vec<Tenant>>,
}

/// Route of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentRoute {
    /// Name, unique among the routes.
    pub name: RouteName,
    /// Host that must match.
    pub host: String,
    /// Prefix of the path that must match.
    pub path_prefix: String,
    /// Services that share the requests by weight; at least one.
    pub services: Vec<WeightedService>,
    /// Class of the requests.
    pub class: Class,
    /// Whether it is safe to run a request more than once.
    pub idempotent: bool,
    /// Maximum time for one request.
    pub timeout: Duration,
    /// Time within which an answer is fully useful to the caller.
    pub target_latency: Option<Duration>,
    /// Maximum number of backend servers that one request is sent to.
    pub max_attempts: u32,
    /// Whether its requests need no API key.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub anonymous: bool,
}

/// Service of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentService {
    /// Name, unique among the services.
    pub name: ServiceName,
    /// Path of the health endpoint of a backend server.
    pub health_path: String,
}

impl Document {
    /// Version of the compiled configuration.
    #[must_use]
    pub fn compiled_version(&self) -> Version {
        Version { generation: DOCUMENT_GENERATION, offset: self.version }
    }
}

impl From<&DocumentRoute> for RouteSpec {
    fn from(route: &DocumentRoute) -> Self {
        let (service, split) = match route.services.as_slice() {
            [] => (ServiceName::new(), Vec::new()),
            [only] => (only.service.clone(), Vec::new()),
            [first, ..] => (first.service.clone(), route.services.clone()),
        };
        Self {
            host: Some(route.host.to_ascii_lowercase()),
            path_prefix: route.path_prefix.clone(),
            method: None,
            service,
            fallback: None,
            split,
            class: route.class,
            idempotent: route.idempotent,
            timeout_ms: u64::try_from(route.timeout.as_millis()).unwrap_or(u64::MAX),
            target_latency: route.target_latency,
            retries: route.max_attempts.saturating_sub(1),
            hedge: route.idempotent,
            anonymous: route.anonymous,
        }
    }
}

impl From<&DocumentService> for ServiceSpec {
    fn from(service: &DocumentService) -> Self {
        Self {
            queue: QUEUE_CAPACITY,
            bulk_share: 1.0,
            slow_start_ms: SLOW_START_MS,
            health_path: Some(service.health_path.clone()),
        }
    }
}

impl TryFrom<&Document> for CompiledConfig {
    type Error = SharedKeyError;

    fn try_from(document: &Document) -> Result<Self, SharedKeyError> {
        let routes = document.routes.iter().map(|route| {
            let spec = RouteSpec::from(route);
            Arc::new(Route { name: route.name.clone(), schema: MAX_SCHEMA, spec })
        });
        let services =
            document.services.iter().map(|s| (s.name.clone(), ServiceSpec::from(s))).collect();
        let mut config = Self {
            version: document.compiled_version(),
            routes: routes.collect(),
            services,
            limits: Some(document.limits.clone()),
            tenants: document.tenants.clone().map(TenantTable::new).transpose()?,
            ..Self::default()
        };
        config.sort_routes();
        Ok(config)
    }
}
