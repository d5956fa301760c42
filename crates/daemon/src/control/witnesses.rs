//! Daemons that remember for this one that its backend server is leaving.
//!
//! A daemon has no memory beyond its process. What it has acknowledged binds it also after a restart, so it tells a few
//! others before it acknowledges that its backend server leaves, and asks them after a start. They keep it with what
//! they know of the backend servers that they call.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_client::wire::{ConditionWire, LeavingNotice, LeavingQuery};
use baobabreel_core::condition::{Condition, ReportedCondition};
use baobabreel_core::registration::witnesses;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;

use crate::context::Cx;

/// Path at which a daemon is told that the backend server beside another one is leaving.
pub const LEAVING_PATH: &str = "/peer/v1/leaving";

/// Path at which a daemon is asked what it was told so.
pub const LEAVING_QUERY_PATH: &str = "/peer/v1/leaving-query";

/// Time for a witness to answer. The backend server waits a second for the answer to its own message.
const TIMEOUT: Duration = Duration::from_millis(250);

/// Tells the witnesses that a start of the backend server beside this daemon is leaving. Returns once one of them knows,
/// or when none answers in time.
pub async fn tell(cx: &Cx, leaving: ReportedCondition) {
    let notice = LeavingNotice { daemon: cx.identity.peer_addr, condition: leaving.into() };
    let mut told: FuturesUnordered<_> = witness_addresses(cx)
        .into_iter()
        .map(|to| {
            let (cx, notice) = (Cx::clone(cx), notice.clone());
            // The others are still told after the first one has answered.
            tokio::spawn(async move {
                cx.ask_peer::<_, ()>(to, LEAVING_PATH, &notice, TIMEOUT).await.is_some()
            })
        })
        .collect();
    while let Some(is_told) = told.next().await {
        if is_told.unwrap_or(false) {
            return;
        }
    }
    tracing::warn!("no other daemon could be told that the backend server is leaving");
}

/// Asks the witnesses which starts of the backend server beside this daemon are leaving; `None` if none answers.
pub async fn ask(cx: &Cx) -> Option<Vec<ReportedCondition>> {
    let query = LeavingQuery { daemon: cx.identity.peer_addr };
    let answers: FuturesUnordered<_> = witness_addresses(cx)
        .into_iter()
        .map(|to| cx.ask_peer::<_, Option<ConditionWire>>(to, LEAVING_QUERY_PATH, &query, TIMEOUT))
        .collect();
    let answers: Vec<Option<ConditionWire>> =
        answers.filter_map(|answer| async move { answer }).collect().await;
    let known = answers.iter().flatten().cloned().map(ReportedCondition::from);
    let leaving = known.filter(|known| known.condition.is_leaving).collect();
    (!answers.is_empty()).then_some(leaving)
}

fn witness_addresses(cx: &Cx) -> Vec<SocketAddr> {
    let members = cx.members.load();
    let chosen = witnesses(members.live(), &cx.identity.id);
    chosen.into_iter().map(|member| member.peer_addr).collect()
}

/// Remembers what another daemon has said of the backend server beside it.
pub fn note(cx: &Cx, notice: LeavingNotice) {
    let reported = Some(notice.condition.into());
    cx.balance.record_condition(notice.daemon, reported, false, cx.clock.now());
}

/// What this daemon knows of the backend server beside another one.
pub fn answer(cx: &Cx, query: LeavingQuery) -> Option<ConditionWire> {
    cx.balance.condition_at(query.daemon, cx.clock.now()).map(Into::into)
}

/// Statement that a start of a backend server is leaving.
pub fn leaving(instance: &str, boot: Option<u64>) -> ReportedCondition {
    let condition = Condition { is_leaving: true, ..Condition::default() };
    ReportedCondition { instance: instance.to_owned(), boot, condition }
}
