//! Lease of this daemon on the freshness of its configuration, and the queries that renew it.
//!
//! [`Lease`] does nothing unless revocation has a bound and the configuration has tenants.

use std::sync::Mutex;
use std::time::Duration;

use baobabreel_client::wire::Position;
use baobabreel_core::config::Version;
use baobabreel_core::membership::Member;
use baobabreel_core::relay::reader_rank;
use baobabreel_core::revocation::{ConfigLease, ProofPolicy, ProofQuery, ProofRole, proof_sources};

use super::documents::ask_for_news;
use crate::context::{Context, Cx};
use crate::settings::RevocationSettings;
use crate::sync::lock;

/// Time for which the rank of this daemon among the readers is kept, since it takes long to compute.
const ROLE_LIFETIME: Duration = Duration::from_millis(250);

/// Time until a daemon that needs no proof looks again.
const IDLE_INTERVAL: Duration = Duration::from_millis(200);

/// Time for the answer to the next query for a proof; part of the `Retry-After` of refused requests.
const ANSWER_TIME: Duration = Duration::from_millis(50);

/// Shortest and longest time over which refused callers are spread when they come back. In between it is
/// [`RETRY_SPREAD_SHARE`] of the time without a lease so far, since an outage mostly lasts for some such time more.
const RETRY_SPREAD: (Duration, Duration) = (Duration::from_millis(250), Duration::from_secs(2));

/// See [`RETRY_SPREAD`].
const RETRY_SPREAD_SHARE: f64 = 0.25;

#[derive(Debug)]
struct State {
    lease: ConfigLease,
    policy: ProofPolicy,
    /// What others rely on this daemon for, and when that was determined.
    role: (Duration, ProofRole),
    /// When the lease ended, and how many requests were refused since; `None` while it is valid.
    ended: Option<Ended>,
}

#[derive(Debug, Clone, Copy)]
struct Ended {
    /// `None` if there has been no lease since the start.
    at: Option<Duration>,
    refused: u64,
}

/// Lease on the freshness of the configuration.
#[derive(Debug)]
pub struct Lease(Option<Mutex<State>>);

impl Lease {
    /// Creates the lease of a daemon that has just started, which has no proof.
    #[must_use]
    pub fn new(settings: Option<RevocationSettings>) -> Self {
        Self(settings.map(|settings| {
            Mutex::new(State {
                lease: ConfigLease::new(settings.bound),
                policy: ProofPolicy::new(settings.bound, rand::random()),
                role: (Duration::ZERO, ProofRole::Other),
                ended: Some(Ended { at: None, refused: 0 }),
            })
        }))
    }

    /// Whether this daemon has to have a lease.
    pub fn is_needed(&self, cx: &Context) -> bool {
        self.0.is_some() && cx.config.load().tenants.is_some()
    }

    /// Time for which requests with API keys that `version` admits may still be sent; `None` without a bound.
    pub fn left(&self, cx: &Context, version: Version) -> Option<Duration> {
        let state = lock(self.0.as_ref()?);
        Some(state.lease.left(version.offset, cx.clock.boot()))
    }

    /// Counts a refused request; returns the time after which the caller may find the lease renewed.
    pub fn refused(&self, cx: &Context) -> Duration {
        let Some(state) = &self.0 else { return ANSWER_TIME };
        let mut state = lock(state);
        let now = cx.clock.boot();
        state.check(cx, now);
        let mut spread = RETRY_SPREAD.0;
        if let Some(ended) = &mut state.ended {
            ended.refused += 1;
            let lasted = ended.at.map_or(Duration::ZERO, |at| now.saturating_sub(at));
            spread = lasted.mul_f64(RETRY_SPREAD_SHARE).clamp(RETRY_SPREAD.0, RETRY_SPREAD.1);
        }
        cx.metrics.record_lease_refusal();
        let spread = spread.mul_f64(rand::random());
        state.policy.next_query_in(now) + ANSWER_TIME + spread
    }

    /// Age in milliseconds of the newest proof for the version in `position`, as sent to other daemons.
    pub(super) fn proof_ms(&self, cx: &Context, position: Position) -> Option<u64> {
        let state = lock(self.0.as_ref()?);
        let age = state.lease.age(position.config.offset, cx.clock.boot())?;
        // Rounded up, so that the proof does not get younger on the way.
        Some(millis(age).saturating_add(1))
    }

    /// Takes over the proof of another daemon, which was queried at `queried_at`.
    pub(super) fn adopt(
        &self,
        cx: &Context,
        position: Position,
        proof_ms: Option<u64>,
        queried_at: Duration,
    ) {
        let (Some(state), Some(proof_ms)) = (&self.0, proof_ms) else { return };
        let age = Duration::from_millis(proof_ms);
        let Some(sent_at) = ConfigLease::adopted_time(queried_at, age) else { return };
        let mut state = lock(state);
        if state.lease.prove(position.config.offset, sent_at) {
            state.policy.peer_proved();
        }
        state.check(cx, cx.clock.boot());
    }

    /// Records that a query to the platform sent at `sent_at` has returned no document above the one in force.
    pub fn prove(&self, cx: &Context, sent_at: Duration) {
        let Some(state) = &self.0 else { return };
        let mut state = lock(state);
        let version = cx.documents.version();
        if version.is_some_and(|version| state.lease.prove(version, sent_at)) {
            state.policy.read_proved();
        } else {
            state.policy.read_ended();
        }
        state.check(cx, cx.clock.boot());
    }

    /// Records that a read for a proof failed.
    pub fn read_failed(&self, cx: &Context) {
        let Some(state) = &self.0 else { return };
        let mut state = lock(state);
        let now = cx.clock.boot();
        let role = state.role(cx, now);
        state.policy.read_failed(role, rand::random(), now);
    }

    /// Waits until this daemon has to read the platform for a proof, and records that it does. Returns the time for the
    /// answer.
    pub async fn read_needed(&self, cx: &Context) -> Duration {
        let Some(state) = &self.0 else { return std::future::pending().await };
        loop {
            if self.is_needed(cx) {
                let mut state = lock(state);
                let now = cx.clock.boot();
                let role = state.role(cx, now);
                let age = state.age(cx, now);
                if state.policy.is_read_due(role, age, now) {
                    state.policy.read_began(now);
                    return state.policy.read_timeout();
                }
            }
            tokio::time::sleep(self.check_interval()).await;
        }
    }

    fn check_interval(&self) -> Duration {
        self.0.as_ref().map_or(IDLE_INTERVAL, |state| lock(state).policy.check_interval())
    }
}

impl State {
    /// Age of the newest proof for the document in force.
    fn age(&self, cx: &Context, now: Duration) -> Option<Duration> {
        self.lease.age(cx.documents.version()?, now)
    }

    /// What others rely on this daemon for.
    fn role(&mut self, cx: &Context, now: Duration) -> ProofRole {
        if now >= self.role.0 + ROLE_LIFETIME {
            self.role = (now, role(cx));
        }
        self.role.1
    }

    /// Logs once that the lease has ended, and once that it is back.
    fn check(&mut self, cx: &Context, now: Duration) {
        if cx.config.load().tenants.is_none() {
            return;
        }
        let Some(version) = cx.documents.version() else { return };
        let is_valid = self.lease.is_valid(version, now);
        match self.ended {
            None if !is_valid => {
                self.ended = Some(Ended { at: Some(now), refused: 0 });
                let is_outdated = self.lease.is_outdated(version);
                let age = self.lease.age(version, now);
                tracing::warn!(
                    version,
                    is_outdated,
                    proof_age_ms = age.map(millis),
                    "the lease on the configuration ended; requests with API keys are refused"
                );
            }
            Some(ended) if is_valid => {
                self.ended = None;
                tracing::info!(
                    version,
                    refused = ended.refused,
                    lasted_ms = ended.at.map(|at| millis(now.saturating_sub(at))),
                    "the lease on the configuration is valid; requests with API keys are served"
                );
            }
            _ => {}
        }
    }
}

/// Whole milliseconds.
fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// What others rely on this daemon for.
fn role(cx: &Context) -> ProofRole {
    let members = cx.members.load();
    let Some(own) = members.get(&cx.identity.id) else { return ProofRole::Other };
    let live: Vec<&Member> = members.live().collect();
    let now = cx.clock.now();
    let rank = reader_rank(&live, own, |other| cx.readers.can_read(other, now));
    rank.map_or(ProofRole::Other, |rank| ProofRole::Reader { rank })
}

/// Queries other daemons for proofs as long as the daemon runs.
pub async fn run(cx: Cx) {
    let Some(state) = &cx.lease.0 else { return };
    let mut turn = rand::random::<u16>().into();
    loop {
        if !cx.lease.is_needed(&cx) {
            tokio::time::sleep(IDLE_INTERVAL).await;
            continue;
        }
        let (query, timeout) = {
            let mut state = lock(state);
            let now = cx.clock.boot();
            state.check(&cx, now);
            let role = state.role(&cx, now);
            let age = state.age(&cx, now);
            if let Some(age) = age {
                cx.metrics.record_proof_age(age);
            }
            (state.policy.query(role, age, now), state.policy.query_timeout())
        };
        if query != ProofQuery::Nobody {
            turn = usize::wrapping_add(turn, 1);
            send_query(&cx, query, turn, timeout);
        }
        tokio::time::sleep(cx.lease.check_interval()).await;
    }
}

/// Queries daemons at the same time, in tasks of their own.
fn send_query(cx: &Cx, query: ProofQuery, turn: usize, timeout: Duration) {
    let members = cx.members.load();
    let Some(own) = members.get(&cx.identity.id) else { return };
    let now = cx.clock.now();
    let can_read = |other: &Member| cx.readers.can_read(other, now);
    let live: Vec<&Member> = members.live().collect();
    let sources = proof_sources(&live, own, can_read);
    let peers: Vec<&Member> = live.into_iter().filter(|member| member.id != own.id).collect();
    for target in query.targets(&sources, &peers, turn, rand::random()) {
        let (cx, addr) = (Cx::clone(cx), target.peer_addr);
        tokio::spawn(async move { ask_for_news(&cx, addr, timeout).await });
    }
}
