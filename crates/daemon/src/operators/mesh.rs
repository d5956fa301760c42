//! Status of all members, collected by asking each of them through its listener for peers.

use std::time::Duration;

use baobabreel_client::wire::{MemberDoc, StatusDoc};
use baobabreel_core::membership::Member;
use futures_util::StreamExt;
use futures_util::stream;
use tokio::time::Instant;

use super::{member_doc, status};
use crate::context::Cx;
use crate::control::Control;

/// Path of the status of a daemon on its listener for peers.
pub const STATUS_PATH: &str = "/peer/v1/status";

/// Number of members that are asked concurrently.
const CONCURRENCY: usize = 32;

/// Time limit for the answers of all members; less than the 3 s that the client of the endpoint
/// waits.
const COLLECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Time limit for the answer of one member.
///
/// When a data centre with 88 of 960 members is unreachable, its silent members take 1.5 s of
/// [`COLLECT_TIMEOUT`], so that all other members are still asked.
const MEMBER_TIMEOUT: Duration = Duration::from_millis(500);

/// Returns the status of all members that have not departed, ordered by id.
///
/// A member that does not answer in time is an `Err` with what this daemon knows about it. Returns
/// `None` while this daemon is stopping.
pub async fn collect(cx: &Cx, control: &Control) -> Option<Vec<Result<StatusDoc, MemberDoc>>> {
    let own = status(cx, control).await?;
    let members = cx.members.load_full();
    let others: Vec<Member> =
        members.iter().filter(|m| !m.is_departed() && m.id != cx.identity.id).cloned().collect();
    let deadline = Instant::now() + COLLECT_TIMEOUT;
    let answers = stream::iter(others)
        .map(|member| ask_status(cx, member, deadline))
        .buffer_unordered(CONCURRENCY);
    let mut docs: Vec<_> = answers.collect().await;
    docs.push(Ok(own));
    docs.sort_by(|a, b| member_id(a).cmp(member_id(b)));
    Some(docs)
}

async fn ask_status(cx: &Cx, member: Member, deadline: Instant) -> Result<StatusDoc, MemberDoc> {
    let remaining = deadline.saturating_duration_since(Instant::now());
    let answer = if remaining.is_zero() {
        None
    } else {
        let timeout = remaining.min(MEMBER_TIMEOUT);
        cx.ask_peer(member.peer_addr, STATUS_PATH, &(), timeout).await
    };
    answer.ok_or_else(|| member_doc(&cx.config.load(), &member))
}

fn member_id(doc: &Result<StatusDoc, MemberDoc>) -> &str {
    match doc {
        Ok(status) => &status.daemon,
        Err(member) => &member.id,
    }
}
