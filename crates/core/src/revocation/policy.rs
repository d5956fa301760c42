//! Which daemon gets a proof from whom, and when.
//!
//! Reads of the platform and queries between data centres are expensive. Normally one relay of each data centre reads
//! the platform, and the others query relays. The older the proof of a daemon is, the more daemons it queries, until
//! it reads the platform itself.

use std::time::Duration;

use crate::membership::Member;
use crate::relay::{document_relays, first_other_reader};

/// Age of the proof, as a share of the bound, from which the first relay reads the platform; with a bound of 5 s it
/// reads once a second.
const READ_AGE: f64 = 0.2;

/// Age that is added for each relay before, which has to read first.
const RANK_STEP: f64 = 0.06;

/// Most relays that are waited for. The last ones leave half of the bound for their reads.
const MAX_RANK: usize = 5;

/// Age from which a daemon reads again if its newest proof comes from its own read, since no other daemon seems to have
/// a newer one. It is above [`READ_AGE`], so that the first relay reads instead as soon as it can.
const READ_AGE_OF_READER: f64 = 0.22;

/// Age from which other daemons read, and the part that is spread among them.
const READ_AGE_OF_OTHERS: (f64, f64) = (0.5, 0.2);

/// Shortest time between two reads of a daemon; shorter than [`READ_AGE`], since reads start at checks in intervals.
const MIN_READ_INTERVAL: f64 = 0.16;

/// First delay after a failed read, before jitter. It doubles with each failure.
const READ_RETRY_DELAY: f64 = 0.2;

/// Time for which the first relay waits for a proof from others if it has none. Daemons that start together first have
/// to learn of each other; until then each of them takes itself for the first.
const START_DELAY: f64 = 0.04;

/// Longest delay after a failed read of daemons that are no relays, before jitter. While the platform answers nobody,
/// reads by all daemons are of no use, and as soon as it answers one the others get the proof from there.
const MAX_READ_RETRY_DELAY: f64 = 2.0;

/// Age from which a relay queries the one that has to read before it, and the time between two such queries. Its proof
/// is younger than the age at which it would read itself.
const QUERY_READER: (f64, f64) = (0.14, 0.04);

/// Age from which a daemon queries some relay, in whatever data centre.
const QUERY_ONE_AGE: f64 = 0.3;

/// Age from which a daemon queries several others.
const QUERY_SEVERAL_AGE: f64 = 0.5;

/// Time between two such queries.
const QUERY_INTERVAL: f64 = 0.1;

/// Number of daemons that are queried at once besides a relay. They are drawn among all, since the only daemon that
/// the platform answers may be no relay; by such queries its proof reaches all others in a few rounds.
const DRAWN_PEERS: usize = 2;

/// What others rely on a daemon for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofRole {
    /// It reads the platform for its data centre if those before it do not.
    Reader {
        /// Number of daemons that read before it does.
        rank: usize,
    },
    /// Nothing.
    Other,
}

/// Daemons that are queried for a proof.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProofQuery {
    /// None.
    Nobody,
    /// The relay of the data centre that has to read first.
    FirstReader,
    /// One of the relays.
    OneRelay,
    /// One of the relays and some of all daemons.
    Several,
}

/// Decides when a daemon queries others for a proof and when it reads the platform.
#[derive(Debug, Clone)]
pub struct ProofPolicy {
    bound: Duration,
    /// Place of this daemon, from 0 to 1, in the spread of the reads of daemons that are no relays.
    place: f64,
    /// When a proof was needed for the first time.
    needed_since: Option<Duration>,
    queried_at: Option<Duration>,
    next_read_at: Duration,
    is_reading: bool,
    failed_reads: u32,
    /// Whether the newest proof comes from a read of this daemon.
    is_own: bool,
}

impl ProofPolicy {
    /// Creates the policy of a daemon that has just started; `place`, from 0 to 1, is drawn at random.
    #[must_use]
    pub fn new(bound: Duration, place: f64) -> Self {
        Self {
            bound,
            place,
            needed_since: None,
            queried_at: None,
            next_read_at: Duration::ZERO,
            is_reading: false,
            failed_reads: 0,
            is_own: false,
        }
    }

    fn part(&self, share: f64) -> Duration {
        self.bound.mul_f64(share)
    }

    /// Time between two checks whether a query or a read is due.
    #[must_use]
    pub fn check_interval(&self) -> Duration {
        self.part(0.02)
    }

    /// Time for the answer to a query.
    #[must_use]
    pub fn query_timeout(&self) -> Duration {
        self.part(QUERY_INTERVAL)
    }

    /// Time for the answer to a read. Later than this, the proof would be of little use.
    #[must_use]
    pub fn read_timeout(&self) -> Duration {
        self.part(READ_AGE)
    }

    /// Whom the daemon queries now; `age` is that of its newest proof. Records that it does so.
    pub fn query(&mut self, role: ProofRole, age: Option<Duration>, now: Duration) -> ProofQuery {
        let (query, interval) = match age {
            Some(age) if age < self.part(QUERY_READER.0) => return ProofQuery::Nobody,
            Some(age) if age < self.part(QUERY_ONE_AGE) => match role {
                ProofRole::Reader { rank } if rank > 0 => (ProofQuery::FirstReader, QUERY_READER.1),
                ProofRole::Reader { .. } | ProofRole::Other => return ProofQuery::Nobody,
            },
            Some(age) if age < self.part(QUERY_SEVERAL_AGE) => {
                (ProofQuery::OneRelay, QUERY_INTERVAL)
            }
            _ => (ProofQuery::Several, QUERY_INTERVAL),
        };
        if self.queried_at.is_some_and(|at| now < at + self.part(interval)) {
            return ProofQuery::Nobody;
        }
        self.queried_at = Some(now);
        query
    }

    /// Time until a daemon without a valid lease queries others again.
    #[must_use]
    pub fn next_query_in(&self, now: Duration) -> Duration {
        let next = self.queried_at.map_or(now, |at| at + self.part(QUERY_INTERVAL));
        next.saturating_sub(now)
    }

    /// Whether the daemon has to read the platform now; `age` is that of its newest proof.
    pub fn is_read_due(&mut self, role: ProofRole, age: Option<Duration>, now: Duration) -> bool {
        let needed_since = *self.needed_since.get_or_insert(now);
        if self.is_reading || now < self.next_read_at {
            return false;
        }
        let limit = match role {
            ProofRole::Reader { rank: 0 } => READ_AGE,
            _ if self.is_own => READ_AGE_OF_READER,
            ProofRole::Reader { rank } => READ_AGE + RANK_STEP * rank.min(MAX_RANK) as f64,
            ProofRole::Other => READ_AGE_OF_OTHERS.0 + READ_AGE_OF_OTHERS.1 * self.place,
        };
        let age = age.unwrap_or_else(|| {
            let waited = now.saturating_sub(needed_since);
            waited + self.part(READ_AGE - START_DELAY)
        });
        age >= self.part(limit)
    }

    /// Records that a read begins.
    pub fn read_began(&mut self, now: Duration) {
        self.is_reading = true;
        self.next_read_at = now + self.part(MIN_READ_INTERVAL);
    }

    /// Records that a read failed; `jitter`, from 0 to 1, is drawn at random.
    pub fn read_failed(&mut self, role: ProofRole, jitter: f64, now: Duration) {
        self.is_reading = false;
        self.failed_reads = self.failed_reads.saturating_add(1);
        let longest = match role {
            ProofRole::Reader { rank } => READ_RETRY_DELAY * (rank.min(MAX_RANK) + 1) as f64,
            ProofRole::Other => MAX_READ_RETRY_DELAY,
        };
        let doubled = READ_RETRY_DELAY * f64::from(1_u32 << (self.failed_reads - 1).min(8));
        self.next_read_at = now + self.part(doubled.min(longest) * (0.5 + jitter));
    }

    /// Records that a read ended without a failure.
    pub fn read_ended(&mut self) {
        self.is_reading = false;
        self.failed_reads = 0;
    }

    /// Records that a read ended and gave a proof that is newer than those known.
    pub fn read_proved(&mut self) {
        self.read_ended();
        self.is_own = true;
    }

    /// Records that another daemon gave a proof that is newer than those known.
    pub fn peer_proved(&mut self) {
        self.is_own = false;
    }
}

/// Daemons that a daemon queries for a proof: the one of its data centre that has to read first, then the relays. Those
/// of its data centre and of others alternate, since either may have lost the platform at once.
#[must_use]
pub fn proof_sources<'a>(
    members: &[&'a Member],
    own: &Member,
    can_read: impl Fn(&Member) -> bool,
) -> Vec<&'a Member> {
    let (local, remote) = document_relays(members.iter().copied(), own);
    let mut sources = Vec::with_capacity(1 + local.len() + remote.len());
    // Where the relays cannot read, it is none of them.
    sources.extend(first_other_reader(members, own, can_read));
    let (mut local, mut remote) = (local.into_iter(), remote.into_iter());
    while local.len() + remote.len() > 0 {
        sources.extend(remote.next());
        sources.extend(local.next());
    }
    sources
}

impl ProofQuery {
    /// Chooses daemons among those of [`proof_sources`] and all other daemons in `peers`; `turn` counts the queries and
    /// `random` is drawn anew for each.
    #[must_use]
    pub fn targets<'a>(
        self,
        sources: &[&'a Member],
        peers: &[&'a Member],
        turn: usize,
        random: u64,
    ) -> Vec<&'a Member> {
        let relay = || turn.checked_rem(sources.len()).map(|at| sources[at]);
        let mut targets: Vec<&Member> = match self {
            Self::Nobody => return Vec::new(),
            Self::FirstReader => sources.first().copied().into_iter().collect(),
            Self::OneRelay | Self::Several => relay().into_iter().collect(),
        };
        if self == Self::Several {
            let first = usize::try_from(random >> 1).unwrap_or_default();
            let drawn = (0..DRAWN_PEERS.min(peers.len()))
                .map(|at| peers[first.wrapping_add(at) % peers.len()]);
            for peer in drawn {
                if targets.iter().all(|known| known.id != peer.id) {
                    targets.push(peer);
                }
            }
        }
        targets
    }
}
