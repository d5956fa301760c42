//! Places that requests hold and that can be taken back from clients that lag: a slot of the backend server, or a
//! connection to another daemon.
//!
//! `baobabreel_core::lag` decides whose place is taken back; this module measures and carries it out.

use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use baobabreel_core::lag::ClientLag;

use super::body::ProxyBody;
use super::pool::PooledConnection;
use super::request_body::RequestBody;
use crate::context::Clock;
use crate::sync::lock;

/// Place of one request.
#[derive(Debug)]
pub struct Place {
    clock: Clock,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    lag: ClientLag,
    /// Connection that the response arrives on.
    connection: Option<PooledConnection>,
    is_taken_back: bool,
    has_broken_body: bool,
    waker: Option<Waker>,
}

impl Place {
    /// Place without a connection.
    #[must_use]
    pub fn new(clock: Clock) -> Arc<Self> {
        Arc::new(Self { clock, state: Mutex::default() })
    }

    /// Records that the request waits for its client from now on.
    pub fn wait(&self) {
        lock(&self.state).lag.wait(self.clock.now());
    }

    /// Records that the client sent or took so many bytes, and is not waited for any more.
    pub fn record_progress(&self, bytes: usize) {
        lock(&self.state).lag.record_progress(bytes as u64, self.clock.now());
    }

    /// Time by which the client lags.
    pub fn lag(&self) -> Duration {
        lock(&self.state).lag.at(self.clock.now())
    }

    /// Whether the client lags by more than an ordinary one ever does.
    pub fn is_lagging(&self) -> bool {
        lock(&self.state).lag.is_lagging(self.clock.now())
    }

    /// Measures how long a body that is streamed makes the request wait.
    pub fn watch(self: &Arc<Self>, body: ProxyBody) -> ProxyBody {
        match body {
            ProxyBody::Stream { inner, left } => {
                let place = Arc::clone(self);
                let inner = RequestBody::Watched { inner: Box::new(inner), place };
                ProxyBody::Stream { inner, left }
            }
            other => other,
        }
    }

    /// Records that the client's body broke off or was malformed.
    pub fn record_broken_body(&self) {
        lock(&self.state).has_broken_body = true;
    }

    /// Whether the client's body broke off or was malformed.
    pub fn has_broken_body(&self) -> bool {
        lock(&self.state).has_broken_body
    }

    /// Keeps a connection until the response has ended; it is closed if the place was taken back.
    pub fn keep(&self, connection: PooledConnection) {
        let mut state = lock(&self.state);
        if state.is_taken_back {
            connection.close();
        } else {
            state.connection = Some(connection);
        }
    }

    /// Removes the connection.
    pub fn take_connection(&self) -> Option<PooledConnection> {
        lock(&self.state).connection.take()
    }

    /// Takes the place back: closes its connection and ends its request.
    pub fn take_back(&self) {
        let mut state = lock(&self.state);
        state.is_taken_back = true;
        let (connection, waker) = (state.connection.take(), state.waker.take());
        drop(state);
        if let Some(connection) = connection {
            connection.close();
        }
        if let Some(waker) = waker {
            waker.wake();
        }
    }

    /// Ready once the place has been taken back.
    pub fn poll_taken_back(&self, cx: &mut Context<'_>) -> Poll<()> {
        let mut state = lock(&self.state);
        if state.is_taken_back {
            return Poll::Ready(());
        }
        match &mut state.waker {
            Some(waker) => waker.clone_from(cx.waker()),
            waker => *waker = Some(cx.waker().clone()),
        }
        Poll::Pending
    }

    /// Waits until the place has been taken back.
    pub async fn taken_back(&self) {
        std::future::poll_fn(|cx| self.poll_taken_back(cx)).await;
    }
}
