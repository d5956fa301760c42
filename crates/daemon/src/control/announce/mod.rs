//! Announcements, reports and health of the backend server that runs beside the daemon.

mod proof;

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::ServiceName;
use baobabreel_core::membership::MemberState;
use baobabreel_core::registration::{Report, ReportOrder, ReportStatus};
use serde::Deserialize;

use super::Control;
use super::membership::LocalChanged;
use super::witnesses;
use crate::adapter::BackendMessage;
use crate::context::Cx;
use crate::proxy::{BackendInfo, Protocol};
use crate::sync::lock;

/// Time after the last announcement from which the health endpoint is queried; three announcement
/// intervals.
const MAX_SILENCE: Duration = Duration::from_secs(3);

/// Time between two checks of the time since the last announcement.
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
            instance: None,
            boot: None,
            release: None,
        }
    }
}

/// Order and time of the messages from the backend server.
#[derive(Debug, Default)]
pub struct BackendTracker {
    last: Mutex<Option<Duration>>,
    order: Mutex<ReportOrder>,
    /// Whether another daemon has answered what it remembers of the backend server.
    has_recalled: AtomicBool,
}

impl BackendTracker {
    fn record_contact(&self, now: Duration) {
        *lock(&self.last) = Some(now);
    }

    fn silent_for(&self, now: Duration) -> Option<Duration> {
        let last = *lock(&self.last);
        last.map(|last| now.saturating_sub(last))
    }

    fn order(&self) -> MutexGuard<'_, ReportOrder> {
        lock(&self.order)
    }

    /// Handles a message from the backend server.
    pub async fn take(&self, cx: &Cx, control: &Control, message: BackendMessage) {
        match message {
            BackendMessage::Report { info, order } => self.report(cx, control, info, order).await,
            BackendMessage::Leave { instance, boot } => {
                let boot = boot.or(self.order().known_boot(&instance));
                let was_current = self.order().leave(&instance, boot);
                tracing::info!(instance, boot, was_current, "backend server leaves");
                if was_current {
                    self.remove_backend(cx, control).await;
                }
                witnesses::tell(cx, witnesses::leaving(&instance, boot)).await;
            }
        }
    }

    async fn report(&self, cx: &Cx, control: &Control, info: BackendInfo, order: Option<Report>) {
        if let Some(report) = order {
            let (instance, boot, sequence) =
                (report.instance.clone(), report.boot, report.sequence);
            let begins_to_leave = report.draining && !self.order().is_leaving(&instance, boot);
            if !self.is_proven(cx, &info, &report).await {
                tracing::info!(
                    instance,
                    boot,
                    sequence,
                    "ignored a report that may be late: the backend server does not confirm that it is ready"
                );
                return;
            }
            let status = self.order().report(report);
            if status == ReportStatus::Outdated {
                tracing::info!(
                    instance,
                    boot,
                    sequence,
                    "ignored an outdated report of the backend server"
                );
            }
            self.take_ordered(cx, control, info, status).await;
            if begins_to_leave {
                witnesses::tell(cx, witnesses::leaving(&instance, boot)).await;
            }
        } else {
            self.take_current(cx, control, info).await;
        }
    }

    /// Takes the state of a backend server from a report of which `status` tells whether it is current.
    async fn take_ordered(
        &self,
        cx: &Cx,
        control: &Control,
        mut info: BackendInfo,
        status: ReportStatus,
    ) {
        match status {
            ReportStatus::Current { draining: true } => info.state = MemberState::Draining,
            ReportStatus::Current { draining: false } => {}
            ReportStatus::Outdated => return,
        }
        self.take_current(cx, control, info).await;
    }

    /// Takes the state of a backend server from a current report.
    async fn take_current(&self, cx: &Cx, control: &Control, mut info: BackendInfo) {
        let now = cx.clock.now();
        self.record_contact(now);
        let known = cx.host.info();
        info.state = cx.host.set_backend(info.clone(), now);
        let changed = known.as_ref().is_none_or(|known| {
            known.state != info.state || known.instance != info.instance || known.boot != info.boot
        });
        if changed {
            tracing::info!(
                instance = info.instance,
                boot = info.boot,
                service = info.service,
                address = %info.address,
                slots = info.slots,
                state = ?info.state,
                before = ?known.map(|known| known.state),
                "backend server reported"
            );
        }
        if info.state == MemberState::Draining {
            cx.host.refuse_waiting(ErrorKind::Draining, now);
        }
        if changed {
            self.notify_membership(control).await;
        }
    }

    async fn remove_backend(&self, cx: &Cx, control: &Control) {
        let now = cx.clock.now();
        cx.host.remove_backend();
        cx.host.refuse_waiting(ErrorKind::NoBackendServer, now);
        self.notify_membership(control).await;
    }

    async fn notify_membership(&self, control: &Control) {
        if control.membership.tell(LocalChanged).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    /// Removes a backend server that neither announces itself nor answers on its health endpoint.
    pub async fn watch(&self, cx: &Cx, control: &Control) {
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let silent = self.silent_for(cx.clock.now()).filter(|time| *time >= MAX_SILENCE);
            let (Some(silent), Some(info)) = (silent, cx.host.info()) else {
                continue;
            };
            let path = cx.host.health_path(&cx.config.load());
            if !cx.host.is_healthy(&path, HEALTH_TIMEOUT).await {
                tracing::warn!(
                    address = %info.address,
                    ?silent,
                    "removing the backend server: it does not answer health checks"
                );
                self.remove_backend(cx, control).await;
            }
        }
    }
}
