//! Check of a call's tenant at the host daemon, right before the request is sent to the backend server.

use baobabreel_client::wire::{CallHead, TenantHead};
use baobabreel_core::error::ErrorKind;

use crate::context::Cx;
use crate::proxy::call_error::CallError;

/// Checks that a configuration newer than the entry daemon's has not taken the API key away.
///
/// # Errors
///
/// [`ErrorKind::Unauthenticated`] if it has.
pub(super) fn check_key(cx: &Cx, head: &CallHead, tenant: &TenantHead) -> Result<(), CallError> {
    let config = cx.config.load();
    let Some(tenants) = config.tenants.as_ref().filter(|_| config.version > head.version) else {
        return Ok(());
    };
    let has_key = tenants.get(&tenant.name).is_some_and(|known| known.has_key(tenant.key_digest));
    if has_key {
        return Ok(());
    }
    let detail = "a newer configuration has taken the API key away";
    Err(CallError::new(ErrorKind::Unauthenticated, detail))
}
