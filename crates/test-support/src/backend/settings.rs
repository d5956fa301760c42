//! Settings and faults of a backend server.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Distribution of run times of requests without the header `x-work-us`.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum WorkTime {
    /// Every request runs for the same time.
    Fixed(Duration),
    /// Exponential distribution with a mean.
    Exponential(Duration),
    /// A share (0 to 1) of the requests runs for `long`, the others for `short`.
    LongJobs {
        /// Run time of most requests.
        short: Duration,
        /// Run time of the long jobs.
        long: Duration,
        /// Share of the long jobs.
        share: f64,
    },
}

/// Time in which work is slower, relative to the moment when it is set.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SlowSpell {
    /// Factor on the run time of requests that start in the spell.
    pub factor: f64,
    /// Time until the spell begins.
    pub after: Duration,
    /// Time that it lasts.
    pub lasting: Duration,
}

/// Faults that can be changed at run time, all off by default.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct BackendFaults {
    /// Whether requests (also health checks) are accepted and not answered while it is set.
    /// Announcements go on; see `mute`.
    pub freeze: bool,
    /// Number of next answers to work that break off in the middle.
    pub cut_answers: u32,
    /// Whether announcements stop.
    pub mute: bool,
    /// Age of the load and running numbers that it announces.
    pub load_lag: Duration,
    /// Load that it announces instead of the real one.
    pub false_load: Option<f64>,
}

/// Settings of a [`BackendServer`](super::BackendServer).
#[derive(Debug, Clone)]
pub struct BackendSettings {
    pub(super) name: String,
    pub(super) service: String,
    pub(super) listen: SocketAddr,
    pub(super) slots: u32,
    pub(super) extra: u32,
    pub(super) cold_start: Duration,
    pub(super) work_time: WorkTime,
    pub(super) announce_url: Option<String>,
    pub(super) http2: bool,
    pub(super) announce_interval: Duration,
    pub(super) seed: u64,
    pub(super) journal_file: Option<PathBuf>,
    pub(super) faults: BackendFaults,
}

impl BackendSettings {
    /// Settings of a backend server with 10 slots and a run time of 1 ms on a free port of 127.0.0.1.
    pub fn new(name: impl Into<String>, service: impl Into<String>) -> Self {
        BackendSettings {
            name: name.into(),
            service: service.into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            slots: 10,
            extra: 10,
            cold_start: Duration::ZERO,
            work_time: WorkTime::Fixed(Duration::from_millis(1)),
            announce_url: None,
            http2: false,
            announce_interval: Duration::from_secs(1),
            seed: 1,
            journal_file: None,
            faults: BackendFaults::default(),
        }
    }

    /// Sets the address to listen on.
    pub fn listen(mut self, listen: SocketAddr) -> Self {
        self.listen = listen;
        self
    }

    /// Sets the number of requests that run at the same time.
    pub fn slots(mut self, slots: u32) -> Self {
        self.slots = slots;
        self
    }

    /// Number of requests that run at the same time.
    pub fn slot_count(&self) -> u32 {
        self.slots
    }

    /// Sets how many requests over the slots wait before more are shed with 503 (default 10).
    pub fn shed_above_slots_by(mut self, extra: u32) -> Self {
        self.extra = extra;
        self
    }

    /// Sets the time that it stays cold after the start.
    pub fn cold_start(mut self, cold_start: Duration) -> Self {
        self.cold_start = cold_start;
        self
    }

    /// Sets the run times of requests without the header `x-work-us`.
    pub fn work_time(mut self, work_time: WorkTime) -> Self {
        self.work_time = work_time;
        self
    }

    /// Sets the base URL of the daemon's `backend` listener; nothing is announced without one.
    pub fn announce_url(mut self, url: impl Into<String>) -> Self {
        self.announce_url = Some(url.into());
        self
    }

    /// Sets whether HTTP/2 is announced in place of HTTP/1.1; both are served.
    pub fn http2(mut self, http2: bool) -> Self {
        self.http2 = http2;
        self
    }

    /// Sets the time between two announcements (default 1 s).
    pub fn announce_interval(mut self, interval: Duration) -> Self {
        self.announce_interval = interval;
        self
    }

    /// Sets the seed of the run times.
    pub fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Also writes the journal to a file as JSON lines, one at the start and one at the end of each
    /// request, so that it survives SIGKILL of the process form.
    pub fn journal_file(mut self, path: impl Into<PathBuf>) -> Self {
        self.journal_file = Some(path.into());
        self
    }

    /// Sets the faults at the start.
    pub fn faults(mut self, faults: BackendFaults) -> Self {
        self.faults = faults;
        self
    }
}
