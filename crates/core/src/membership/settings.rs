//! Settings of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of [`super::Swim`]. Each setter states its default.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SwimSettings {
    pub(super) seeds: Vec<SocketAddr>,
    pub(super) probe_interval: Duration,
    pub(super) probe_timeout: Duration,
    pub(super) indirect_timeout: Duration,
    pub(super) suspicion_timeout: Duration,
    pub(super) evict_after: Duration,
    pub(super) evict_data_centre_after: Duration,
    pub(super) forget_after: Duration,
    pub(super) tombstone_lifetime: Duration,
    pub(super) pause_threshold: Duration,
    pub(super) renews_incarnation: bool,
}

impl Default for SwimSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            probe_interval: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(500),
            // Covers the probe timeout of the daemon that was asked, and the request and its
            // answer.
            indirect_timeout: Duration::from_millis(700),
            suspicion_timeout: Duration::from_secs(3),
            evict_after: Duration::from_secs(10),
            // No member loses its registration in a partition between data centres that ends
            // earlier.
            evict_data_centre_after: Duration::from_secs(60),
            forget_after: Duration::from_secs(15 * 60),
            // Longer than any pause or partition after which an outdated statement can still
            // arrive.
            tombstone_lifetime: Duration::from_secs(24 * 3_600),
            pause_threshold: Duration::from_secs(2),
            renews_incarnation: false,
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $ty:ty;)*) => {
        impl SwimSettings {
            /// Returns the default settings.
            #[must_use]
            pub fn new() -> Self {
                Self::default()
            }

            $($(#[$doc])*
            #[must_use]
            pub fn $name(mut self, value: $ty) -> Self {
                self.$name = value;
                self
            })*
        }
    };
}

setters! {
    /// Addresses of daemons through which to find the others, none by default. Name some in each
    /// data centre: after a partition that lasts longer than `forget_after`, the two sides find
    /// each other only through the seeds.
    seeds: Vec<SocketAddr>;
    /// Time between two scheduled probes; 1 s by default.
    probe_interval: Duration;
    /// Time without an ack after which a probe has failed; 500 ms by default.
    probe_timeout: Duration;
    /// Time without a positive answer after which the indirect probes of a member have failed;
    /// 700 ms by default.
    indirect_timeout: Duration;
    /// Time that a suspect has to refute the suspicion; 3 s by default.
    suspicion_timeout: Duration;
    /// Time from a death to the proposal to evict the member, and between two proposals; 10 s by
    /// default.
    evict_after: Duration;
    /// Time from a death to the proposal to evict the member if no daemon of its data centre is
    /// live; 60 s by default.
    evict_data_centre_after: Duration;
    /// Time that departed members stay in the member table; 15 min by default.
    forget_after: Duration;
    /// Time that the last incarnation and sequence number of a member are kept after its removal
    /// from the member table; 24 h by default.
    tombstone_lifetime: Duration;
    /// Time between ticks above which the daemon assumes that it was paused; 2 s by default.
    pause_threshold: Duration;
    /// Whether the daemon, when told of a newer incarnation of itself, assumes that this was an
    /// earlier start with a clock that was ahead, and moves on to a still newer incarnation. Safe
    /// only on a platform that never runs two processes with the same id; off by default.
    renews_incarnation: bool;
}
