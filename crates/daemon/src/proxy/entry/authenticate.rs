//! Tenants of callers' requests, told by their API keys.

use std::sync::Arc;

use baobabreel_client::wire::TenantHead;
use baobabreel_core::config::{Class, CompiledConfig, Route};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::tenants::{Tenant, digest_key};
use http::HeaderMap;
use http::header::AUTHORIZATION;

use crate::context::Cx;
use crate::proxy::call_error::CallError;
use crate::proxy::{headers, lease};

/// Start of the value of `Authorization`; the API key follows.
const SCHEME: &str = "Bearer ";

/// Tenant of a request, and what the host daemon is told of it.
#[derive(Debug, Clone)]
pub(super) struct Authenticated {
    /// The tenant.
    pub tenant: Arc<Tenant>,
    /// What is sent to the host daemon.
    pub head: TenantHead,
}

/// Finds the tenant of a request; `None` if its route needs no API key.
///
/// # Errors
///
/// [`ErrorKind::Unauthenticated`] if the request has no valid key, [`ErrorKind::NotReady`] if the configuration may be
/// too old to tell.
pub(super) fn authenticate(
    cx: &Cx,
    config: &CompiledConfig,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Option<Authenticated>, CallError> {
    let Some(tenants) = config.tenants.as_ref().filter(|_| !route.spec.anonymous) else {
        return Ok(None);
    };
    lease::check_version(cx, config.version)?;
    let found = read_key(headers).and_then(|key| {
        let tenant =
            tenants.find(key).ok_or_else(|| unauthenticated("the API key is not known"))?;
        Ok((key, tenant))
    });
    let (key, tenant) = found.map_err(|e| {
        // A newer one may know the key, or a route that needs none.
        if cx.documents.is_unconfirmed() {
            let detail = "no known API key, by a configuration that may be old";
            CallError::new(ErrorKind::NotReady, detail)
        } else {
            e
        }
    })?;
    let (name, key_digest) = (tenant.name.clone(), digest_key(key));
    let head = TenantHead { name, key_digest, lease_ms: None };
    Ok(Some(Authenticated { tenant: Arc::clone(tenant), head }))
}

/// Reads the API key of a request.
fn read_key(headers: &HeaderMap) -> Result<&str, CallError> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or_else(|| unauthenticated("the request has no API key"))?;
    if values.next().is_some() {
        return Err(unauthenticated("the request has several headers `Authorization`"));
    }
    let key = value.to_str().ok().and_then(|value| value.strip_prefix(SCHEME));
    key.ok_or_else(|| unauthenticated("header `Authorization` is not `Bearer` and an API key"))
}

fn unauthenticated(detail: &str) -> CallError {
    CallError::new(ErrorKind::Unauthenticated, detail)
}

/// Replaces the headers about the tenant: the API key is not passed on, and the backend server learns the tenant from
/// the daemon alone.
pub(super) fn write_headers(
    cx: &Cx,
    config: &CompiledConfig,
    authenticated: Option<&Authenticated>,
    headers: &mut HeaderMap,
) {
    if config.tenants.is_none() {
        return;
    }
    headers.remove(AUTHORIZATION);
    if let Some(name) = &cx.settings.dialect.tenant {
        headers.remove(name);
        if let Some(authenticated) = authenticated {
            headers::write_text(headers, name, &authenticated.tenant.name);
        }
    }
    if let Some(authenticated) = authenticated {
        headers.insert(headers::TENANT_HEAD, (&authenticated.head).into());
    }
}

/// Checks the lease again before an attempt, and tells the host daemon how long it lasts.
///
/// # Errors
///
/// [`ErrorKind::NotReady`] if it has ended.
pub(super) fn renew_lease(
    cx: &Cx,
    config: &CompiledConfig,
    authenticated: Option<&Authenticated>,
    headers: &mut HeaderMap,
) -> Result<(), CallError> {
    let Some(Authenticated { head, .. }) = authenticated else { return Ok(()) };
    if let Some(left) = lease::time_left(cx, config.version, head)? {
        let head = TenantHead { lease_ms: Some(lease::to_millis(left)), ..head.clone() };
        headers.insert(headers::TENANT_HEAD, (&head).into());
    }
    Ok(())
}

/// Class of a request: that of its tenant, if it has one, otherwise that of its route.
pub(super) fn class_of(route: &Route, authenticated: Option<&Authenticated>) -> Class {
    authenticated.and_then(|found| found.tenant.class).unwrap_or(route.spec.class)
}
