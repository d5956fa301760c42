//! Proof that a backend server is ready, after a start of the daemon.
//!
//! The daemon may have forgotten in a restart that the backend server is leaving, so it asks the health endpoint, and
//! the daemons that remember it.

use std::sync::atomic::Ordering;
use std::time::Duration;

use baobabreel_core::registration::Report;
use tokio::time::Instant;

use super::BackendTracker;
use crate::context::Cx;
use crate::control::{Control, witnesses};
use crate::proxy::{self, BackendInfo, health_path};

/// Time between two checks for the service of the backend server in the configuration.
const CONFIG_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of queries to the backend server after the start of the daemon.
const MAX_QUERIES: u32 = 8;

/// Pause between two such queries.
const QUERY_INTERVAL: Duration = Duration::from_millis(200);

/// Time for such a query to be answered.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time for the proof that a backend server is ready which reports so. It waits a second for the answer to its
/// report.
const PROOF_TIMEOUT: Duration = Duration::from_millis(600);

impl BackendTracker {
    /// Queries the backend server named in the settings until it answers or reports by itself. After a restart
    /// of the daemon, the next report may be more than a second away.
    pub async fn find(&self, cx: &Cx, control: &Control) {
        let Some(known) = &cx.settings.backend else { return };
        for _ in 0..MAX_QUERIES {
            let Some(path) = self.wait_for_health_path(cx, &known.service).await else { return };
            let (answer, ()) = tokio::join!(
                proxy::ask_backend(known.address, &path, QUERY_TIMEOUT),
                self.recall(cx)
            );
            let Some((info, condition)) = answer.and_then(|answer| answer.describe(cx, known))
            else {
                tokio::time::sleep(QUERY_INTERVAL).await;
                continue;
            };
            // A report received in the meantime carries more information.
            if self.silent_for(cx.clock.now()).is_none() {
                self.take_found(cx, control, &info).await;
                cx.host.record_statement(cx, &info, condition);
            }
            return;
        }
    }

    /// Takes a backend server into use that has just answered that it is ready.
    async fn take_found(&self, cx: &Cx, control: &Control, info: &BackendInfo) {
        let instance = info.instance.clone().unwrap_or_default();
        let found = Report { instance, boot: None, sequence: 0, draining: false };
        let status = self.order().report(found);
        self.take_ordered(cx, control, info.clone(), status).await;
    }

    /// Waits until the configuration contains a service and returns its health path, or `None` once the
    /// backend server has reported by itself.
    async fn wait_for_health_path(&self, cx: &Cx, service: &str) -> Option<String> {
        loop {
            if self.silent_for(cx.clock.now()).is_some() {
                return None;
            }
            if let Some(path) = configured_health_path(cx, service) {
                return Some(path);
            }
            tokio::time::sleep(CONFIG_CHECK_INTERVAL).await;
        }
    }

    /// Whether a report is known not to be a late one of a backend server that is leaving.
    pub(super) async fn is_proven(&self, cx: &Cx, info: &BackendInfo, report: &Report) -> bool {
        if !self.order().needs_proof(report) {
            return true;
        }
        let is_ready = self.is_ready_now(cx, info, &report.instance);
        let (is_ready, ()) =
            tokio::join!(tokio::time::timeout(PROOF_TIMEOUT, is_ready), self.recall(cx));
        // What another daemon remembers tells more than the health endpoint.
        if is_ready.unwrap_or(false) || !self.order().needs_proof(report) {
            return true;
        }
        self.order().count_unproven(report, cx.clock.now())
    }

    /// Learns from other daemons whether the backend server is leaving, which this one may have forgotten in a restart.
    async fn recall(&self, cx: &Cx) {
        if self.has_recalled.load(Ordering::Relaxed) {
            return;
        }
        let Some(recalled) = witnesses::ask(cx).await else { return };
        self.has_recalled.store(true, Ordering::Relaxed);
        for known in recalled {
            tracing::info!(
                instance = known.instance,
                boot = known.boot,
                "another daemon remembers that the backend server is leaving"
            );
            self.order().recall_leaving(&known.instance, known.boot);
        }
    }

    /// Whether the health endpoint of a backend server says that `instance` is ready.
    async fn is_ready_now(&self, cx: &Cx, info: &BackendInfo, instance: &str) -> bool {
        loop {
            let begin = Instant::now();
            let answer = match configured_health_path(cx, &info.service) {
                Some(path) => proxy::ask_backend(info.address, &path, QUERY_TIMEOUT).await,
                None => None,
            };
            if let Some(answer) = answer {
                let answered_by = answer.instance(cx);
                return answer.is_ready && answered_by.is_none_or(|by| by == instance);
            }
            // A connection that is refused fails at once.
            tokio::time::sleep_until(begin + QUERY_TIMEOUT).await;
        }
    }
}

/// Health path of a service, once the configuration contains it.
fn configured_health_path(cx: &Cx, service: &str) -> Option<String> {
    cx.config.load().services.get(service).map(|known| health_path(known).to_owned())
}
