//! Messages to other daemons and to the log.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::log::{AppendError, LogClient};
use baobabreel_client::wire::{Stream, decode};
use baobabreel_core::membership::Member;
use baobabreel_core::registry::MemberEntry;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::Context;
use crate::control::encoded;

impl Context {
    /// Address of a random live member, from another data centre if possible.
    ///
    /// A daemon asks this peer when it has received no news, and most often its whole data centre
    /// has received none either.
    pub fn random_peer(&self) -> Option<SocketAddr> {
        let members = self.members.load();
        let own = &self.identity;
        let others: Vec<&Member> = members.live().filter(|member| member.id != own.id).collect();
        let remote: Vec<&Member> =
            others.iter().copied().filter(|m| m.data_centre != own.data_centre).collect();
        let candidates = if remote.is_empty() { others } else { remote };
        (!candidates.is_empty())
            .then(|| candidates[rand::random_range(0..candidates.len())].peer_addr)
    }

    /// Sends a control message to a daemon and returns its answer.
    ///
    /// Errors are logged and returned as `None`.
    pub async fn ask_peer<M: Serialize, A: DeserializeOwned>(
        &self,
        to: SocketAddr,
        path: &'static str,
        message: &M,
        timeout: Duration,
    ) -> Option<A> {
        let data = encoded(message)?;
        self.metrics.record_control_bytes("out", data.len());
        let answer = self
            .peers
            .control(to, path, data, timeout)
            .await
            .inspect_err(|e| tracing::debug!(%to, path, error = %e, "a peer did not answer"))
            .ok()?;
        self.metrics.record_control_bytes("in", answer.len());
        decode(&answer)
            .inspect_err(
                |e| tracing::warn!(%to, path, error = %e, "a peer sent a malformed answer"),
            )
            .ok()
    }

    /// Tells a daemon something that it may hear twice, in a separate task. Errors are logged.
    pub fn tell_peer<M: Serialize>(
        self: &Arc<Self>,
        to: SocketAddr,
        path: &'static str,
        message: &M,
    ) {
        let Some(data) = encoded(message) else { return };
        let cx = Arc::clone(self);
        tokio::spawn(async move {
            cx.metrics.record_control_bytes("out", data.len());
            match cx.peers.notice(to, path, data).await {
                Ok(answer) => cx.metrics.record_control_bytes("in", answer.len()),
                Err(e) => tracing::debug!(%to, path, error = %e, "a peer did not answer a notice"),
            }
        });
    }

    /// Appends an entry to stream `members` in a separate task; does nothing without a log.
    pub fn append_member_entry(&self, entry: MemberEntry) {
        let Some(log) = self.log.clone() else { return };
        tokio::spawn(async move { append_entry(&log, &entry).await });
    }
}

/// Appends an entry to stream `members`; returns whether the log confirmed it.
///
/// After `false`, the entry may have been appended all the same.
pub async fn append_entry(log: &LogClient, entry: &MemberEntry) -> bool {
    let data = match serde_json::to_string(entry) {
        Ok(data) => data,
        Err(e) => {
            tracing::error!(error = %e, "failed to encode a member entry");
            return false;
        }
    };
    let appended = log.append(Stream::Members.name(), &data).await;
    if let Err(e @ (AppendError::Refused(_) | AppendError::Unknown(_))) = &appended {
        tracing::warn!(error = %e, "the append of a member entry was not confirmed");
    }
    appended.is_ok()
}
