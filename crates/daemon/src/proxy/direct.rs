//! Calls to backend servers without the daemon beside them, over granted connections.
//!
//! Who has a grant and until when is decided in `baobabreel-core`; here are its messages and
//! connections.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use baobabreel_client::wire::{CallHead, GrantAnswer, GrantQuery};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::grant::{Ask, Holder};
use baobabreel_core::id::{DaemonId, Incarnation};
use http::{Request, Response};
use hyper::body::Incoming;

use super::answer::CallError;
use super::body::ProxyBody;
use super::host;
use super::pool::{Http1Connection, Http1Pool};
use crate::context::{Cx, Phase, is_able};

/// Path of questions about grants.
pub const GRANT_PATH: &str = "/peer/v1/grant";

/// Time between two looks at the grants.
const TICK: Duration = Duration::from_millis(250);

/// Time for an answer to a question; a renewal may be lost once before a grant ends.
const ASK_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without a grant of a backend server after a failed call.
const FAILED_PAUSE: Duration = Duration::from_secs(3);

/// Time without a grant of a backend server that cannot be connected to; only its daemon may be able
/// to reach it.
const UNREACHABLE_PAUSE: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Target {
    incarnation: Incarnation,
    address: SocketAddr,
    connections: u32,
    pool: Arc<Http1Pool>,
}

#[derive(Debug, Default)]
struct State {
    holder: Holder,
    targets: HashMap<DaemonId, Target>,
}

/// Grants that this daemon holds, with their connections.
#[derive(Debug, Default)]
pub struct Direct {
    state: Mutex<State>,
}

impl Direct {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a granted connection for one call of `service`.
    pub fn take(cx: &Cx, service: &str) -> Option<DirectCall> {
        let now = cx.clock.now();
        let (config, view) = (cx.config.load(), cx.view.load());
        let able = |host: &str, incarnation| {
            let member =
                view.find(service, host).filter(|member| member.incarnation == incarnation);
            member.is_some_and(|member| is_able(&config, service, member))
                && cx.balance.is_fit(service, host, now)
        };
        let mut state = cx.direct.lock();
        let (host, incarnation) = state.holder.take(service, now, able)?;
        let target = state.targets.get(&host);
        let Some(target) = target.filter(|target| target.incarnation == incarnation) else {
            state.holder.release(&host, incarnation);
            return None;
        };
        let (address, pool) = (target.address, Arc::clone(&target.pool));
        Some(DirectCall { cx: Arc::clone(cx), host, incarnation, address, pool })
    }

    /// Asks for a grant in a task of its own after a call of `service` through `host`.
    pub fn want(cx: &Cx, service: &str, host: &str) {
        if host == cx.identity.id || cx.phase() != Phase::Serving {
            return;
        }
        let incarnation = cx.view.load().find(service, host).map(|member| member.incarnation);
        let Some(incarnation) = incarnation else { return };
        let ask = cx.direct.lock().holder.want(service, host, incarnation, cx.clock.now());
        if let Some(ask) = ask {
            tokio::spawn(exchange(Arc::clone(cx), ask));
        }
    }

    /// Renews and returns grants, and takes back the slots of those that have ended; never ends.
    pub async fn keep(cx: Cx) {
        loop {
            tokio::time::sleep(TICK).await;
            cx.host.granted(cx.clock.now());
            let asks = {
                let mut state = cx.direct.lock();
                let state = &mut *state;
                let asks = state.holder.tick(cx.clock.now());
                state.targets.retain(|host, _| state.holder.get(host).is_some());
                asks
            };
            for ask in asks {
                tokio::spawn(exchange(Arc::clone(&cx), ask));
            }
        }
    }
}

async fn exchange(cx: Cx, ask: Ask) {
    let to = cx.view.load().find(&ask.service, &ask.host).map(|member| member.peer_addr);
    let Some(to) = to else { return };
    let query = GrantQuery {
        holder: cx.identity.id.clone(),
        holder_incarnation: cx.identity.incarnation,
        incarnation: ask.incarnation,
        service: ask.service.clone(),
        sequence: ask.sequence,
        want: ask.want,
        busy: ask.busy,
    };
    let answer: Option<GrantAnswer> = cx.ask_peer(to, GRANT_PATH, &query, ASK_TIMEOUT).await;
    let Some(answer) = answer else { return };
    let mut state = cx.direct.lock();
    state.holder.answered(&ask, answer.connections, cx.clock.now());
    let Some(address) = answer.address else { return };
    let (incarnation, connections) = (ask.incarnation, answer.connections);
    let is_same = |known: &Target| {
        (known.incarnation, known.address, known.connections) == (incarnation, address, connections)
    };
    if state.targets.get(&ask.host).is_some_and(is_same) {
        return;
    }
    let limit = usize::try_from(connections).unwrap_or(usize::MAX);
    let pool = Arc::new(Http1Pool::new(address, limit));
    state.targets.insert(ask.host, Target { incarnation, address, connections, pool });
}

/// Granted connection that is taken for one call until it is dropped.
pub struct DirectCall {
    cx: Cx,
    host: DaemonId,
    incarnation: Incarnation,
    address: SocketAddr,
    pool: Arc<Http1Pool>,
}

impl std::fmt::Debug for DirectCall {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("DirectCall").field("host", &self.host).finish_non_exhaustive()
    }
}

impl DirectCall {
    /// Daemon beside the backend server.
    #[must_use]
    pub fn host(&self) -> &str {
        &self.host
    }

    /// Sends the call to the backend server; the grant is given up when that fails.
    ///
    /// # Errors
    ///
    /// Those of a call from the daemon beside the backend server.
    pub async fn send(
        &self,
        head: &CallHead,
        req: Request<ProxyBody>,
        deadline: Duration,
    ) -> Result<(Response<Incoming>, Http1Connection), CallError> {
        let sent = host::send(&self.cx, head, req, &self.pool, self.address, deadline).await;
        let answered = sent.and_then(|answered| host::check_answer(&answered.0).map(|()| answered));
        match &answered {
            Ok(_) => self.cx.metrics.direct(),
            Err(e) => {
                let pause = match e.kind {
                    ErrorKind::NoBackendServer => UNREACHABLE_PAUSE,
                    _ => FAILED_PAUSE,
                };
                let until = self.cx.clock.now() + pause;
                self.cx.direct.lock().holder.give_up(&self.host, until);
            }
        }
        answered
    }
}

impl Drop for DirectCall {
    fn drop(&mut self) {
        self.cx.direct.lock().holder.release(&self.host, self.incarnation);
    }
}
