//! Questions of a daemon to the relays on which it relies for documents.

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_core::relay::{
    ASK_TIMEOUT, SubstituteGroup, is_document_relay, other_document_relays, substitute_group,
};
use tokio::task::JoinSet;
use tokio::time::Instant;

use super::documents::ask_for_news;
use crate::context::{Cx, Phase};

/// Time until a daemon that relies on no relay looks again.
const IDLE_INTERVAL: Duration = Duration::from_millis(500);

/// Asks one relay after another whether there is news, so that this daemon soon reads the platform itself once no
/// relay answers.
pub async fn run(cx: Cx) {
    loop {
        let delay = cx.documents.relay_watch().delay();
        tokio::time::sleep(delay).await;
        let Some((relays, group)) = relays(&cx) else {
            cx.documents.relay_watch().answered(cx.clock.now());
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        };
        let asked = cx.documents.relay_watch().begin_round(relays.len(), group);
        let end = Instant::now() + ASK_TIMEOUT;
        if ask_any(&cx, asked.into_iter().map(|index| relays[index]).collect()).await {
            cx.documents.relay_watch().answered(cx.clock.now());
            continue;
        }
        // Relays that refuse connections do so at once.
        tokio::time::sleep_until(end).await;
        let is_loss = cx.documents.relay_watch().unanswered(cx.clock.now());
        if is_loss {
            tracing::warn!(relays = relays.len(), "no relay answers");
            cx.readers.raise_alarm();
        }
    }
}

/// Addresses of the relays on which this daemon relies, and its place among those that read in their place; `None`
/// if it relies on none.
fn relays(cx: &Cx) -> Option<(Vec<SocketAddr>, SubstituteGroup)> {
    if cx.phase() == Phase::Starting {
        return None;
    }
    let members = cx.members.load();
    let own = members.get(&cx.identity.id)?;
    if is_document_relay(members.live(), own) {
        return None;
    }
    let relays = other_document_relays(members.live(), own);
    let addresses: Vec<SocketAddr> = relays.into_iter().map(|relay| relay.peer_addr).collect();
    (!addresses.is_empty()).then(|| (addresses, substitute_group(members.live(), own)))
}

/// Asks relays at the same time; returns whether any of them answers in time.
async fn ask_any(cx: &Cx, relays: Vec<SocketAddr>) -> bool {
    let mut questions = JoinSet::new();
    for relay in relays {
        let cx = Cx::clone(cx);
        questions.spawn(async move { ask_for_news(&cx, relay, ASK_TIMEOUT).await });
    }
    while let Some(answered) = questions.join_next().await {
        if answered.unwrap_or(false) {
            return true;
        }
    }
    false
}
