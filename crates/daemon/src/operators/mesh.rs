//! States of all members, collected from them over the peers' listener.

use std::time::Duration;

use baobabreel_client::wire::{MemberDoc, StatusDoc};
use baobabreel_core::membership::Member;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::time::Instant;

use super::{member_doc, status};
use crate::context::Cx;
use crate::control::Control;

/// Path of a daemon's state on the peers' listener.
pub const STATUS_PATH: &str = "/peer/v1/status";

/// Members that are asked at once.
const CONCURRENCY: usize = 32;

/// Time for all members to answer; the client of the endpoint waits 3 s.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for one member to answer. Silent members of a lost data centre, 88 of 960, then take 1.5 s of
/// the whole time and do not keep the others from being asked.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// States of all members that have not departed; a member that does not answer in time comes with what is
/// known about it. Absent while this daemon is stopping.
pub async fn collect(cx: &Cx, control: &Control) -> Option<Vec<Result<StatusDoc, MemberDoc>>> {
    let own = status(cx, control).await?;
    let members = cx.members.load_full();
    let others: Vec<Member> =
        members.iter().filter(|m| !m.is_departed() && m.id != cx.identity.id).cloned().collect();
    let deadline = Instant::now() + COLLECT_TIMEOUT;
    let answers =
        stream::iter(others).map(|member| ask(cx, member, deadline)).buffer_unordered(CONCURRENCY);
    let mut docs: Vec<_> = answers.collect().await;
    docs.push(Ok(own));
    docs.sort_by(|a, b| id(a).cmp(id(b)));
    Some(docs)
}

async fn ask(cx: &Cx, member: Member, deadline: Instant) -> Result<StatusDoc, MemberDoc> {
    let left = deadline.saturating_duration_since(Instant::now());
    let answer = if left.is_zero() {
        None
    } else {
        let timeout = left.min(MEMBER_TIMEOUT);
        cx.ask_peer(member.peer_addr, STATUS_PATH, &(), timeout).await
    };
    answer.ok_or_else(|| member_doc(&cx.config.load(), &member))
}

fn id(doc: &Result<StatusDoc, MemberDoc>) -> &str {
    match doc {
        Ok(status) => &status.daemon,
        Err(member) => &member.id,
    }
}
