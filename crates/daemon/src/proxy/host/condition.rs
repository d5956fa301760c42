//! What the responses of the local backend server say about its condition, and what follows from it.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_core::condition::{
    Condition, ConditionChange, HostedCondition, RateStatement, ReportedCondition,
};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::membership::MemberState;

use super::info::BackendInfo;
use super::local::{Backend, LocalBackend};
use super::slots::Admitter;
use crate::context::Cx;
use crate::control::LocalChanged;
use crate::proxy::lines;
use crate::sync::lock;

impl LocalBackend {
    /// Records what a response of the backend server `info` states.
    pub fn record_statement(&self, cx: &Cx, info: &BackendInfo, stated: Condition) {
        if stated.rate == RateStatement::Unreadable {
            lines::log_unreadable_limit(cx, info);
        }
        let now = cx.clock.now();
        self.record_condition(cx, info, |condition| condition.observe(stated, now));
    }

    /// Updates the condition of the backend server `info` by a response, unless another one has taken its place.
    pub(super) fn record_condition(
        &self,
        cx: &Cx,
        info: &BackendInfo,
        update: impl FnOnce(&mut HostedCondition) -> Option<ConditionChange>,
    ) {
        let now = cx.clock.now();
        let mut admitter = lock(&self.admitter);
        if !admitter.described.as_ref().is_some_and(|described| info.may_be_same_start(described)) {
            return;
        }
        let Some(change) = update(&mut admitter.condition) else { return };
        admitter.follow_limit(now);
        self.wake_pacer(&admitter);
        if change.starts_leaving {
            self.drain_backend(&mut admitter, now);
        }
        drop(admitter);
        lines::log_condition(cx, info, &change);
        if change.starts_leaving {
            notify_membership(cx);
        }
    }

    /// What the backend server has stated, for daemons that send it calls.
    pub fn reported_condition(&self) -> Option<ReportedCondition> {
        let admitter = lock(&self.admitter);
        let condition = admitter.condition.stated()?;
        let described = admitter.described.as_ref()?;
        let instance = described.instance.clone()?;
        Some(ReportedCondition { instance, boot: described.boot, condition })
    }

    /// Gives the backend server no more requests, as it is leaving.
    fn drain_backend(&self, admitter: &mut Admitter, now: Duration) {
        if let Some(backend) = self.backend.load_full() {
            let info = BackendInfo { state: MemberState::Draining, ..backend.info.clone() };
            let pool = Arc::clone(&backend.pool);
            self.backend.store(Some(Arc::new(Backend { info, pool })));
        }
        let actions = admitter.admission.refuse_waiting(ErrorKind::Draining, now);
        admitter.apply(actions);
    }
}

/// Tells the membership actor that the state of the backend server has changed.
fn notify_membership(cx: &Cx) {
    let Some(membership) = cx.membership() else { return };
    tokio::spawn(async move {
        if membership.tell(LocalChanged).await.is_err() {
            tracing::debug!("the membership actor has stopped");
        }
    });
}
