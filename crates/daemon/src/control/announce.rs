//! Announcements of the backend server beside the daemon.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use baobabreel_core::id::ServiceName;
use baobabreel_core::membership::MemberState;
use baobabreel_core::registration::{Report, ReportOrder, ReportStatus};
use serde::Deserialize;

use super::Control;
use super::membership::LocalChanged;
use crate::adapter::BackendMessage;
use crate::context::Cx;
use crate::proxy::{self, BackendInfo, Protocol, health_path};
use crate::sync::lock;

/// Time after the last announcement from which the health endpoint is asked: three announcements.
const SILENCE: Duration = Duration::from_secs(3);

/// Time between two looks at the last announcement.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Time for the health endpoint to answer.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two looks at whether the configuration names the service of the backend server.
const CONFIG_CHECK: Duration = Duration::from_millis(20);

/// Questions to the backend server after the start of the daemon.
const MAX_QUESTIONS: u32 = 8;

/// Time between two such questions.
const QUESTION_INTERVAL: Duration = Duration::from_millis(200);

/// Time for such a question to be answered.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(200);

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
        }
    }
}

/// What is known from the messages of the backend server.
#[derive(Debug, Default)]
pub struct BackendTracker {
    last: Mutex<Option<Duration>>,
    order: Mutex<ReportOrder>,
}

impl BackendTracker {
    fn heard(&self, now: Duration) {
        *lock(&self.last) = Some(now);
    }

    fn silent_for(&self, now: Duration) -> Option<Duration> {
        let last = *lock(&self.last);
        last.map(|last| now.saturating_sub(last))
    }

    fn order(&self) -> MutexGuard<'_, ReportOrder> {
        lock(&self.order)
    }

    /// Takes a message of the backend server.
    pub async fn take(&self, cx: &Cx, control: &Control, message: BackendMessage) {
        match message {
            BackendMessage::Report { info, order } => self.report(cx, control, info, order).await,
            BackendMessage::Leave { instance, boot } => {
                let was_current = self.order().leave(&instance, boot);
                tracing::info!(instance, boot, was_current, "backend server leaves");
                if was_current {
                    self.take_out(cx, control).await;
                }
            }
        }
    }

    async fn report(
        &self,
        cx: &Cx,
        control: &Control,
        mut info: BackendInfo,
        order: Option<Report>,
    ) {
        if let Some(report) = order {
            let (instance, boot, sequence) =
                (report.instance.clone(), report.boot, report.sequence);
            match self.order().report(report) {
                ReportStatus::Current { draining: true } => info.state = MemberState::Draining,
                ReportStatus::Current { draining: false } => {}
                ReportStatus::Outdated => {
                    tracing::info!(instance, boot, sequence, "outdated report ignored");
                    return;
                }
            }
        }
        let now = cx.clock.now();
        self.heard(now);
        let known = cx.host.info();
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
        let refuses = info.state == MemberState::Draining;
        cx.host.set_backend(Some(info), now);
        if refuses {
            cx.host.refuse_waiting(ErrorKind::Draining, now);
        }
        if changed {
            self.tell(control).await;
        }
    }

    async fn take_out(&self, cx: &Cx, control: &Control) {
        let now = cx.clock.now();
        cx.host.set_backend(None, now);
        cx.host.refuse_waiting(ErrorKind::NoBackendServer, now);
        self.tell(control).await;
    }

    async fn tell(&self, control: &Control) {
        if control.membership.tell(LocalChanged).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    }

    /// Asks the backend server that the settings name about itself, until it answers or reports: after a
    /// restart of the daemon its next report may be more than a second away.
    pub async fn find(&self, cx: &Cx, control: &Control) {
        let Some(known) = &cx.settings.backend else { return };
        for _ in 0..MAX_QUESTIONS {
            let Some(path) = self.health_path_of(cx, &known.service).await else { return };
            let Some(info) = proxy::ask_backend(cx, known, &path, QUESTION_TIMEOUT).await else {
                tokio::time::sleep(QUESTION_INTERVAL).await;
                continue;
            };
            // A report that came meanwhile knows more.
            if self.silent_for(cx.clock.now()).is_none() {
                let instance = info.instance.clone().unwrap_or_default();
                let order = Report { instance, boot: None, sequence: 0, draining: false };
                self.report(cx, control, info, Some(order)).await;
            }
            return;
        }
    }

    /// Waits until the configuration names a service; none when the backend server has reported by then.
    async fn health_path_of(&self, cx: &Cx, service: &str) -> Option<String> {
        loop {
            if self.silent_for(cx.clock.now()).is_some() {
                return None;
            }
            if let Some(known) = cx.config.load().services.get(service) {
                return Some(health_path(known).to_owned());
            }
            tokio::time::sleep(CONFIG_CHECK).await;
        }
    }

    /// Takes a backend server out that neither announces itself nor answers its health endpoint.
    pub async fn watch(&self, cx: &Cx, control: &Control) {
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            let silent = self.silent_for(cx.clock.now()).filter(|time| *time >= SILENCE);
            let (Some(silent), Some(info)) = (silent, cx.host.info()) else {
                continue;
            };
            let path = cx.host.health_path(&cx.config.load());
            if !cx.host.is_healthy(&path, HEALTH_TIMEOUT).await {
                tracing::warn!(address = %info.address, ?silent, "the backend server is gone");
                self.take_out(cx, control).await;
            }
        }
    }
}
