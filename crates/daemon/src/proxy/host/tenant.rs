//! Check of a call's tenant at the host daemon, right before the request is sent to the backend server.

use baobabreel_client::wire::{CallHead, TenantHead};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::TenantName;

use crate::context::Cx;
use crate::proxy::call_error::CallError;

/// Checks that a configuration newer than the entry daemon's has not taken the API key away. Returns the tenant that has
/// it now, if that is another one.
///
/// # Errors
///
/// [`ErrorKind::Unauthenticated`] if it has.
pub(super) fn check_key(
    cx: &Cx,
    head: &CallHead,
    tenant: &TenantHead,
) -> Result<Option<TenantName>, CallError> {
    let config = cx.config.load();
    let Some(tenants) = config.tenants.as_ref().filter(|_| config.version > head.version) else {
        return Ok(None);
    };
    let has_key = tenants.get(&tenant.name).is_some_and(|known| known.has_key(tenant.key_digest));
    if has_key {
        return Ok(None);
    }
    if let Some(other) = tenants.find_digest(tenant.key_digest) {
        return Ok(Some(other.name.clone()));
    }
    let detail = "a newer configuration has taken the API key away";
    Err(CallError::new(ErrorKind::Unauthenticated, detail))
}
