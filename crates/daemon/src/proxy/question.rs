//! Query to a backend server about itself.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::condition::Condition;
use baobabreel_core::membership::MemberState;
use http::{HeaderMap, HeaderName, Request};

use super::body::ProxyBody;
use super::host::BackendInfo;
use super::pool::{ConnectionPool, Protocol};
use crate::context::Cx;
use crate::settings::StaticBackend;

/// Asks the health endpoint of a backend server for its instance identifier and number of slots, and what else it
/// states; `None` if it is not healthy or does not report both.
pub async fn ask_backend(
    cx: &Cx,
    known: &StaticBackend,
    path: &str,
    timeout: Duration,
) -> Option<(BackendInfo, Condition)> {
    let dialect = &cx.settings.dialect;
    let (proofs, load) = (dialect.proofs.as_ref()?, dialect.load.as_ref()?);
    let pool = Arc::new(ConnectionPool::new(known.address, Protocol::Http1, 1));
    let mut req = Request::new(ProxyBody::Empty);
    *req.uri_mut() = path.parse().ok()?;
    let answer = tokio::time::timeout(timeout, pool.send(req)).await;
    let (res, _connection) = match answer {
        Ok(Ok(answered)) => answered,
        Ok(Err(e)) => {
            tracing::debug!(
                address = %known.address,
                error = ?e,
                "failed to query the backend server"
            );
            return None;
        }
        Err(_) => return None,
    };
    if !res.status().is_success() {
        return None;
    }
    let instance = res.headers().get(&proofs.instance)?.to_str().ok()?;
    let info = BackendInfo {
        service: known.service.clone(),
        address: known.address,
        protocol: Protocol::Http1,
        slots: read_slots(res.headers(), load)?,
        state: MemberState::Ready,
        instance: Some(instance.to_owned()),
        boot: None,
    };
    Some((info, dialect.condition.read(res.headers())))
}

/// Reads the slots from a load header: running requests, queued requests and slots, separated by commas.
fn read_slots(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.split(',').nth(2)?.trim().parse().ok()
}
