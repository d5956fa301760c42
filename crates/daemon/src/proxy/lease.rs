//! Checks of requests with API keys against the lease on the configuration.
//!
//! A request is checked when it arrives, which alone keeps the bound on revocation, and again before each attempt and
//! right before it is sent to the backend server, so that none that waited is started without a lease.

use std::time::Duration;

use baobabreel_client::wire::TenantHead;
use baobabreel_core::config::Version;
use baobabreel_core::error::ErrorKind;

use super::call_error::CallError;
use crate::context::Cx;

/// Checks that there is a lease on `version`, before an API key is judged by it.
///
/// # Errors
///
/// [`ErrorKind::NotReady`] if there is none.
pub(super) fn check_version(cx: &Cx, version: Version) -> Result<(), CallError> {
    match cx.lease.left(cx, version) {
        Some(Duration::ZERO) => Err(refusal(cx)),
        Some(_) | None => Ok(()),
    }
}

/// Time for which a request that `version` has admitted may still be sent; `None` if revocation has no bound.
///
/// If there is no lease on that version any more, one on a newer version counts that still gives the key to the tenant.
///
/// # Errors
///
/// [`ErrorKind::NotReady`] if there is no such lease.
pub(super) fn time_left(
    cx: &Cx,
    version: Version,
    tenant: &TenantHead,
) -> Result<Option<Duration>, CallError> {
    match left(cx, version, tenant) {
        Some(Duration::ZERO) => Err(refusal(cx)),
        left => Ok(left),
    }
}

/// Whether the lack of a lease is the cause that a call of this tenant failed, which then says nothing about the
/// backend server.
pub(super) fn is_cause(
    cx: &Cx,
    version: Version,
    tenant: Option<&TenantHead>,
    e: &CallError,
) -> bool {
    let has_none = |tenant| left(cx, version, tenant) == Some(Duration::ZERO);
    e.kind == ErrorKind::NotReady && tenant.is_some_and(has_none)
}

/// Like [`time_left`], but zero if there is no lease.
fn left(cx: &Cx, version: Version, tenant: &TenantHead) -> Option<Duration> {
    let left = cx.lease.left(cx, version)?;
    let config = cx.config.load();
    if !left.is_zero() || config.version <= version {
        return Some(left);
    }
    let has_key = config.tenants.as_ref().is_none_or(|tenants| {
        tenants.get(&tenant.name).is_some_and(|known| known.has_key(tenant.key_digest))
    });
    if has_key { cx.lease.left(cx, config.version) } else { Some(left) }
}

/// Milliseconds for [`TenantHead::lease_ms`], rounded down.
pub(super) fn to_millis(left: Duration) -> u64 {
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// Time on the boot clock until which a call that arrives now may be started by the lease of its entry daemon.
pub(super) fn end_at_entry(cx: &Cx, tenant: &TenantHead) -> Duration {
    cx.clock.boot() + Duration::from_millis(tenant.lease_ms.unwrap_or_default())
}

/// Checks, right before a call is sent to the backend server, that its entry daemon or this one has a lease.
///
/// # Errors
///
/// [`ErrorKind::NotReady`] if neither has.
pub(super) fn check_at_host(cx: &Cx, end_at_entry: Duration) -> Result<(), CallError> {
    let own = cx.lease.left(cx, cx.config.load().version);
    match own {
        Some(Duration::ZERO) if cx.clock.boot() >= end_at_entry => Err(refusal(cx)),
        Some(_) | None => Ok(()),
    }
}

fn refusal(cx: &Cx) -> CallError {
    let detail =
        "the configuration is not known to be the newest one, so API keys cannot be checked";
    CallError::new(ErrorKind::NotReady, detail).with_retry_after(cx.lease.refused(cx))
}
