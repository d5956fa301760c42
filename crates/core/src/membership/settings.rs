//! Settings of the membership state machine.

use std::net::SocketAddr;
use std::time::Duration;

/// Settings of [`super::Swim`]; the defaults are those of the design page.
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
            // Covers the third daemon's own probe timeout and two hops.
            indirect_timeout: Duration::from_millis(700),
            suspicion_timeout: Duration::from_secs(3),
            evict_after: Duration::from_secs(10),
            // A partition that ends earlier costs no member its registration.
            evict_data_centre_after: Duration::from_secs(60),
            forget_after: Duration::from_secs(15 * 60),
            // Longer than any pause or partition after which an outdated statement may still arrive.
            tombstone_lifetime: Duration::from_secs(24 * 3_600),
            pause_threshold: Duration::from_secs(2),
            renews_incarnation: false,
        }
    }
}

macro_rules! setters {
    ($($(#[$doc:meta])* $name:ident: $ty:ty;)*) => {
        impl SwimSettings {
            /// The defaults of the design page.
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
    /// Addresses of daemons to find the others by; name some of each data centre, because a
    /// partition that outlives `forget_after` heals only through them.
    seeds: Vec<SocketAddr>;
    /// Time between two probes, 1 s.
    probe_interval: Duration;
    /// Time after which a probe has failed, 500 ms.
    probe_timeout: Duration;
    /// Time that indirect probes may take, 700 ms.
    indirect_timeout: Duration;
    /// Time that a suspect has to refute the suspicion, 3 s.
    suspicion_timeout: Duration;
    /// Time from death to the proposal to evict, 10 s; also the time between proposals.
    evict_after: Duration;
    /// Time from death to the proposal to evict a member whose whole data centre is gone, 60 s.
    evict_data_centre_after: Duration;
    /// Time that departed members stay in the table, 15 min.
    forget_after: Duration;
    /// Time that the last incarnation and sequence number of a forgotten member are kept, 24 h.
    tombstone_lifetime: Duration;
    /// Gap between ticks above which the daemon assumes that it was paused, 2 s.
    pause_threshold: Duration;
    /// Whether a newer incarnation of this daemon is taken for an earlier start whose clock was ahead, off.
    /// This needs a platform that never runs two processes under one id.
    renews_incarnation: bool;
}
