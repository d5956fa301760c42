//! Immutable snapshot of the members that the routing of requests uses.

use std::collections::BTreeMap;

use baobabreel_core::config::{BackendServerState, CompiledConfig};
use baobabreel_core::id::ServiceName;
use baobabreel_core::membership::Member;

/// Members grouped by the service of their backend server; members without one are left out.
#[derive(Debug, Default)]
pub struct MeshView {
    by_service: BTreeMap<ServiceName, Vec<Member>>,
}

impl MeshView {
    /// Groups `members` by service.
    #[must_use]
    pub fn new<'a>(members: impl IntoIterator<Item = &'a Member>) -> Self {
        let mut by_service: BTreeMap<ServiceName, Vec<Member>> = BTreeMap::new();
        for member in members {
            if let Some(service) = &member.service {
                by_service.entry(service.clone()).or_default().push(member.clone());
            }
        }
        Self { by_service }
    }

    /// Members whose backend server belongs to `service`.
    #[must_use]
    pub fn of_service(&self, service: &str) -> &[Member] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Finds the member with this id among those of `service`.
    #[must_use]
    pub fn find(&self, service: &str, id: &str) -> Option<&Member> {
        self.of_service(service).iter().find(|member| member.id == id)
    }

    /// Number of members with a service.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_service.values().map(Vec::len).sum()
    }

    /// Whether no member has a service.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_service.is_empty()
    }

    /// All services with their members, in the order of the names of the services.
    pub fn services(&self) -> impl Iterator<Item = (&ServiceName, &[Member])> {
        self.by_service.iter().map(|(service, members)| (service, members.as_slice()))
    }
}

/// Whether new work may be sent to a member for `service`.
///
/// Its own state must allow it, and so must its record in the configuration, if there is one.
#[must_use]
pub fn is_able(config: &CompiledConfig, service: &str, member: &Member) -> bool {
    let is_enabled = config.backend_servers.get(&member.id).is_none_or(|policy| {
        policy.service == service && policy.state == BackendServerState::Enabled
    });
    member.is_able() && is_enabled
}
