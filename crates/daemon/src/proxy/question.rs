//! Question to a backend server about itself.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::membership::MemberState;
use http::{HeaderMap, HeaderName, Request};

use super::body::ProxyBody;
use super::host::BackendInfo;
use super::pool::{ConnectionPool, Protocol};
use crate::context::Cx;
use crate::settings::StaticBackend;

/// Asks a backend server at its health endpoint who it is and how many slots it has; none when it is not
/// well or does not tell.
pub async fn ask_backend(
    cx: &Cx,
    known: &StaticBackend,
    path: &str,
    timeout: Duration,
) -> Option<BackendInfo> {
    let dialect = &cx.settings.dialect;
    let (proofs, load) = (dialect.proofs.as_ref()?, dialect.load.as_ref()?);
    let pool = Arc::new(ConnectionPool::new(known.address, Protocol::Http1, 1));
    let mut req = Request::new(ProxyBody::Empty);
    *req.uri_mut() = path.parse().ok()?;
    let answer = tokio::time::timeout(timeout, pool.send(req)).await;
    let (res, _connection) = match answer {
        Ok(Ok(answered)) => answered,
        Ok(Err(e)) => {
            tracing::debug!(address = %known.address, error = ?e, "the backend server is silent");
            return None;
        }
        Err(_) => return None,
    };
    if !res.status().is_success() {
        return None;
    }
    let instance = res.headers().get(&proofs.instance)?.to_str().ok()?;
    Some(BackendInfo {
        service: known.service.clone(),
        address: known.address,
        protocol: Protocol::Http1,
        slots: slots(res.headers(), load)?,
        state: MemberState::Ready,
        instance: Some(instance.to_owned()),
        boot: None,
    })
}

/// Slots in a load header: running requests, waiting requests and slots, separated by commas.
fn slots(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.split(',').nth(2)?.trim().parse().ok()
}
