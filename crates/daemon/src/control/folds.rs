//! Folding of the two streams of the log in the distribution actor.
//!
//! Everything that changes the current configuration is in this module: entries, snapshots, and a log
//! that the platform replaced.

use std::sync::Arc;
use std::time::Duration;

use baobabreel_client::wire::Stream;
use baobabreel_core::config::{Adoption, CompiledConfig, ConfigState, FoldError, Snapshot};
use baobabreel_core::id::Offset;

use super::distribution::Distribution;
use super::registrations;

/// Offset of the first entry of a stream.
const FIRST_OFFSET: Offset = 1;

impl Distribution {
    /// Starts to follow a stream of the first generation of the log that this daemon learns of.
    pub(super) fn start_first_generation(&mut self, stream: Stream, generation: u64) {
        match stream {
            Stream::Config => {
                self.state =
                    ConfigState::new(generation).with_max_schema(self.cx.settings.max_schema);
                self.config.window.restart(generation, FIRST_OFFSET);
            }
            Stream::Members => self.start_members(generation),
        }
    }

    pub(super) fn handle_replaced_log(&mut self, stream: Stream, generation: u64) {
        match stream {
            Stream::Config => {
                if self.replaced_at.is_none() {
                    self.replaced_at = Some(self.cx.clock.now());
                    self.state.hold_on_newer_generation(generation);
                    self.report_hold();
                }
                self.cx.follower.request_snapshot();
            }
            Stream::Members => self.start_members(generation),
        }
    }

    /// Starts to follow stream `members` of a generation, at its first entry.
    ///
    /// Only the log can tell that earlier entries have expired. A fold that starts at the position of a
    /// peer lacks the owners registered earlier, so that calls with their keys would run again.
    pub(super) fn start_members(&mut self, generation: u64) {
        self.members.window.restart(generation, FIRST_OFFSET);
    }

    /// Generation of a replaced log that no snapshot continues yet, and the time since it was noticed.
    pub(super) fn pending_generation(&self) -> Option<(u64, Duration)> {
        let since = self.replaced_at?;
        match &self.state.hold()?.cause {
            FoldError::NewGeneration { generation } => {
                Some((*generation, self.cx.clock.now().saturating_sub(since)))
            }
            _ => None,
        }
    }

    fn report_hold(&self) {
        if let Some(hold) = self.state.hold() {
            let version = self.state.version();
            tracing::error!(%version, at = %hold.at, cause = %hold.cause, "configuration is held");
            self.cx.metrics.record_config(version.offset, true);
        }
    }

    pub(super) fn fold_config(&mut self, first: u64, entries: &[Arc<str>]) {
        for (offset, entry) in (first..).zip(entries) {
            match self.state.fold(offset, entry) {
                Ok(verdict) => {
                    let version = self.state.version();
                    tracing::info!(%version, verdict = ?verdict, "folded a configuration change");
                }
                Err(e @ FoldError::Gap { .. }) => {
                    tracing::error!(error = %e, "configuration entries are out of order");
                    return;
                }
                Err(_) => {
                    self.report_hold();
                    break;
                }
            }
        }
        self.publish_config();
    }

    /// Replaces the configuration with a snapshot if the snapshot is newer.
    pub(super) fn restore(&mut self, text: &str) {
        let max_schema = self.cx.settings.max_schema;
        let was_uninitialized = self.config.is_uninitialized();
        let adopted = Snapshot::decode(text).and_then(|snapshot| {
            if was_uninitialized {
                self.state = ConfigState::restore(snapshot, max_schema)?;
                return Ok(Adoption::Replaced);
            }
            self.state.adopt(snapshot)
        });
        match adopted {
            Ok(Adoption::Replaced) => {
                let version = self.state.version();
                tracing::info!(%version, "configuration continues from a snapshot");
                self.config.window.restart(version.generation, version.offset + 1);
                self.publish_config();
            }
            Ok(Adoption::Same | Adoption::Older) => {}
            Err(e) => tracing::error!(error = %e, "a snapshot was refused"),
        }
    }

    pub(super) fn publish_config(&mut self) {
        let view = CompiledConfig::new(&self.state, self.cx.settings.max_schema);
        let now = self.cx.clock.now();
        self.cx.metrics.record_config(view.version.offset, self.state.hold().is_some());
        self.cx.set_config(view, now);
    }

    pub(super) fn fold_members(&mut self, first: u64, entries: &[Arc<str>]) {
        let generation = self.members.window.generation();
        self.cx.keys.fold(generation, first, entries);
        if let Some(membership) = self.cx.membership() {
            registrations::forward_entries(&self.cx, membership, entries);
        }
    }
}
