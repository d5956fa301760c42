//! Query to a backend server about itself.

use std::net::SocketAddr;
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

/// Answer of the health endpoint of a backend server.
#[derive(Debug)]
pub struct HealthAnswer {
    /// Whether the backend server says that it is able to serve and not leaving.
    pub is_ready: bool,
    headers: HeaderMap,
}

impl HealthAnswer {
    /// Identifier of the backend server that answered, if it names it.
    pub fn instance(&self, cx: &Cx) -> Option<&str> {
        let proofs = cx.settings.dialect.proofs.as_ref()?;
        self.headers.get(&proofs.instance)?.to_str().ok()
    }

    /// What the answer tells about the backend server `known`, and what else it states; `None` if it is not ready,
    /// or does not tell its identifier and number of slots.
    pub fn describe(&self, cx: &Cx, known: &StaticBackend) -> Option<(BackendInfo, Condition)> {
        let dialect = &cx.settings.dialect;
        let slots = read_slots(&self.headers, dialect.load.as_ref()?)?;
        let info = BackendInfo {
            service: known.service.clone(),
            address: known.address,
            protocol: Protocol::Http1,
            slots,
            state: MemberState::Ready,
            instance: Some(self.instance(cx)?.to_owned()),
            boot: None,
            release: None,
        };
        self.is_ready.then(|| (info, dialect.condition.read(&self.headers)))
    }
}

/// Asks the health endpoint at `path` of a backend server; `None` if it does not answer within `timeout`.
pub async fn ask_backend(
    address: SocketAddr,
    path: &str,
    timeout: Duration,
) -> Option<HealthAnswer> {
    let pool = Arc::new(ConnectionPool::new(address, Protocol::Http1, 1));
    let mut req = Request::new(ProxyBody::Empty);
    *req.uri_mut() = path.parse().ok()?;
    match tokio::time::timeout(timeout, pool.send(req)).await {
        Ok(Ok((res, _connection))) => {
            let is_ready = res.status().is_success();
            Some(HealthAnswer { is_ready, headers: res.into_parts().0.headers })
        }
        Ok(Err(e)) => {
            tracing::debug!(%address, error = ?e, "failed to query the backend server");
            None
        }
        Err(_) => None,
    }
}

/// Reads the slots from a load header: running requests, queued requests and slots, separated by commas.
fn read_slots(headers: &HeaderMap, name: &HeaderName) -> Option<u32> {
    headers.get(name)?.to_str().ok()?.split(',').nth(2)?.trim().parse().ok()
}
