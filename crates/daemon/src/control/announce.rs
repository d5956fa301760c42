//! Announcements of the backend server beside the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_core::id::ServiceName;
use baobabreel_core::membership::MemberState;
use serde::Deserialize;
use std::sync::{Mutex, PoisonError};

use super::Control;
use super::membership::LocalChanged;
use crate::context::Cx;
use crate::proxy::{BackendInfo, Protocol};

/// Time after the last announcement from which the health endpoint is asked: three announcements.
const SILENCE: Duration = Duration::from_secs(3);

/// Time between two looks at the last announcement.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the health endpoint to answer.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// State that a backend server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
enum AnnouncedState {
    Cold,
    Ready,
    Draining,
}

/// Protocol that a backend server announces.
#[derive(Debug, Clone, Copy, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
enum AnnouncedProtocol {
    #[default]
    Http1,
    Http2,
}

/// Announcement of a backend server.
#[derive(Debug, Clone, Deserialize)]
pub struct Announcement {
    service: ServiceName,
    address: SocketAddr,
    #[serde(default)]
    protocol: AnnouncedProtocol,
    slots: u32,
    state: AnnouncedState,
}

impl From<Announcement> for BackendInfo {
    fn from(announcement: Announcement) -> Self {
        let state = match announcement.state {
            AnnouncedState::Cold => MemberState::Cold,
            AnnouncedState::Ready => MemberState::Ready,
            AnnouncedState::Draining => MemberState::Draining,
        };
        let protocol = match announcement.protocol {
            AnnouncedProtocol::Http1 => Protocol::Http1,
            AnnouncedProtocol::Http2 => Protocol::Http2,
        };
        Self {
            service: announcement.service,
            address: announcement.address,
            protocol,
            slots: announcement.slots,
            state,
        }
    }
}

/// Time of the last announcement.
#[derive(Debug, Default)]
pub struct BackendTracker {
    last: Mutex<Option<Duration>>,
}

impl BackendTracker {
    fn heard(&self, now: Duration) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = Some(now);
    }

    fn silent_for(&self, now: Duration) -> Option<Duration> {
        let last = *self.last.lock().unwrap_or_else(PoisonError::into_inner);
        last.map(|last| now.saturating_sub(last))
    }

    /// Takes an announcement.
    pub async fn announced(&self, cx: &Cx, control: &Control, announcement: Announcement) {
        let now = cx.clock.now();
        self.heard(now);
        let info = BackendInfo::from(announcement);
        let changed = cx.host.info().is_none_or(|known| known.state != info.state);
        cx.host.set_backend(Some(info), now);
        if changed {
            self.tell(control).await;
        }
    }

    async fn tell(&self, control: &Control) {
        if control.membership.tell(LocalChanged).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    /// Takes a backend server out that neither announces itself nor answers its health endpoint.
    pub async fn watch(&self, cx: &Cx, control: &Control) {
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let silent = self.silent_for(cx.clock.now()).is_some_and(|time| time >= SILENCE);
            let Some(info) = cx.host.info().filter(|_| silent) else {
                continue;
            };
            if !cx.host.is_healthy(HEALTH_TIMEOUT).await {
                tracing::warn!(address = %info.address, "the backend server is gone");
                cx.host.set_backend(None, cx.clock.now());
                self.tell(control).await;
            }
        }
    }
}
