//! Immutable view of one version of the configuration, used to serve requests.
//!
//! A request keeps the same view from start to end, so it never sees a mix of two versions.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::caller_limits::CallerLimits;
use super::record::{Kind, RecordKey, Version};
use super::route_index::RouteIndex;
use super::spec::{BackendServerPolicy, RouteSpec, ServiceSpec, Spec};
use super::state::ConfigState;
use crate::id::{BackendServerName, RouteName, SchemaVersion, ServiceName};
use crate::tenants::TenantTable;

/// A route ready for matching.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the record.
    pub name: RouteName,
    /// Schema version of the form in use.
    pub schema: SchemaVersion,
    /// Parsed content of the form.
    pub spec: RouteSpec,
}

/// Policy of a service.
pub type ServicePolicy = ServiceSpec;

/// One version of the configuration, parsed and indexed.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct CompiledConfig {
    /// Version that the view was made from.
    pub version: Version,
    /// Routes, the most specific first.
    pub routes: Vec<Arc<Route>>,
    pub(super) index: RouteIndex,
    /// Services by name.
    pub services: BTreeMap<ServiceName, ServicePolicy>,
    /// Operator settings of backend servers, by name.
    pub backend_servers: BTreeMap<BackendServerName, BackendServerPolicy>,
    /// Forms of supported schema versions that could not be read and were skipped for a lower
    /// version.
    pub passed_over: Vec<(RecordKey, SchemaVersion)>,
    /// Caller limits that override those of the daemon's settings.
    pub limits: Option<CallerLimits>,
    /// Tenants; without them, requests need no API key.
    pub tenants: Option<TenantTable>,
}

impl CompiledConfig {
    /// The first route that `matches` among those whose prefix can match `path`.
    #[must_use]
    pub fn find_route(&self, path: &str, matches: impl Fn(&Route) -> bool) -> Option<&Arc<Route>> {
        let found = self.index.find(path, |position| matches(&self.routes[position]))?;
        Some(&self.routes[found])
    }

    /// Builds the view for a reader that understands schema versions up to `max_schema`.
    #[must_use]
    pub fn new(state: &ConfigState, max_schema: SchemaVersion) -> Self {
        let mut view = Self { version: state.version(), ..Self::default() };
        for (key, record) in state.records() {
            for (schema, form) in record.forms.range(..=max_schema).rev() {
                match Spec::read(key, *schema, form) {
                    Ok(spec) => {
                        view.insert(key, *schema, spec);
                        break;
                    }
                    Err(_) => view.passed_over.push((key.clone(), *schema)),
                }
            }
        }
        view.sort_routes();
        view
    }

    /// Sorts the routes, the most specific first, and rebuilds their index.
    pub(super) fn sort_routes(&mut self) {
        self.routes.sort_by(|a, b| {
            let specificity = |route: &Route| {
                (
                    route.spec.path_prefix.len(),
                    route.spec.host.is_some(),
                    route.spec.method.is_some(),
                )
            };
            specificity(b).cmp(&specificity(a)).then_with(|| a.name.cmp(&b.name))
        });
        self.index = RouteIndex::new(&self.routes);
    }

    fn insert(&mut self, key: &RecordKey, schema: SchemaVersion, spec: Spec) {
        match spec {
            Spec::Route(spec) => {
                self.routes.push(Arc::new(Route { name: key.name.clone(), schema, spec }));
            }
            Spec::Service(spec) => {
                self.services.insert(key.name.clone(), spec);
            }
            Spec::BackendServer(spec) => {
                self.backend_servers.insert(key.name.clone(), spec);
            }
        }
    }

    /// References from routes and backend servers to services that do not exist in the view.
    #[must_use]
    pub fn dangling(&self) -> Vec<(RecordKey, ServiceName)> {
        let routes = self.routes.iter().flat_map(|route| {
            std::iter::once(&route.spec.service)
                .chain(route.spec.fallback.as_ref())
                .map(|service| (RecordKey::new(Kind::Route, route.name.clone()), service))
        });
        let servers = self.backend_servers.iter().map(|(name, policy)| {
            (RecordKey::new(Kind::BackendServer, name.clone()), &policy.service)
        });
        routes
            .chain(servers)
            .filter(|(_, service)| !self.services.contains_key(*service))
            .map(|(key, service)| (key, service.clone()))
            .collect()
    }
}
