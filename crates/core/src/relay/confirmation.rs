//! Proofs of where the end of the log was at a given time.
//!
//! A daemon that reads the log learns its head, the offset after the last entry, and passes this
//! proof on to others. A lease depends on the age of the proof, so the age may be overestimated but
//! never underestimated, even if messages are delayed or processes pause. The clocks of two daemons
//! are never compared. Instead the receiver dates each proof by a challenge that it sent:
//!
//! 1. The receiver draws a nonce and records its own time `c` before it sends the nonce, in a pull
//!    or in the answer to a push.
//! 2. The sender records its own time `q` when it receives the nonce.
//! 3. When it later sends its proof, dated `p` on its own clock, it adds the nonce and `p - q`,
//!    which is negative if the proof is older than the challenge.
//! 4. The receiver dates the proof `c + (p - q)`.
//!
//! The nonce was received after it was sent, so `q` is no earlier than `c` in true time, and the
//! computed date is no later than the true one. The only error is the transit time of the
//! challenge. The time that the proof itself spent in a socket buffer or waiting for a paused
//! receiver does not matter. The time of arrival is not used, because a push that waited for a
//! paused receiver would count as fresh. Each hop applies the rule again, so errors add up in the
//! safe direction.
//!
//! The rule needs clocks that run equally fast; [`CLOCK_DRIFT_DIVISOR`] allows for the difference.
//! The clocks must also continue to run while the instance is suspended.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Offset;

/// Maximum age of a proof on which a lease may be based.
pub const LEASE: Duration = Duration::from_secs(5);
/// Time after which a proof that answers a challenge is refused; bounds the effect of clock drift.
pub const CHALLENGE_LIFETIME: Duration = Duration::from_secs(30);
/// Divisor of the drift allowance: a measured interval may be wrong by one part in this many,
/// because the clocks of two daemons run at slightly different rates.
pub const CLOCK_DRIFT_DIVISOR: i64 = 1_000;
/// Maximum number of challenges that are kept; the oldest ones are dropped first.
const MAX_CHALLENGES: usize = 256;

/// A challenge that was received from another daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedChallenge {
    /// The challenger's nonce.
    pub nonce: u64,
    /// Time of receipt on the clock of the daemon that received it.
    pub received_at: Duration,
}

/// A proof of the head of the log as it is sent to the daemon whose challenge it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// Nonce of the receiver's challenge.
    pub nonce: u64,
    /// Generation of the log.
    pub generation: u64,
    /// Offset after the last entry.
    pub head: Offset,
    /// Time from the receipt of the challenge to that of the proof, in microseconds; negative for a
    /// proof that is older than the challenge.
    pub since_us: i64,
}

/// The newest challenges that a daemon has sent.
#[derive(Debug, Default)]
pub struct Challenges {
    sent: VecDeque<(u64, Duration)>,
}

impl Challenges {
    /// Records a new challenge and returns its nonce, which is `random`. The caller must read `now`
    /// before it sends the nonce, and must not use the same `random` twice.
    pub fn issue(&mut self, now: Duration, random: u64) -> u64 {
        if self.sent.len() >= MAX_CHALLENGES {
            self.sent.pop_front();
        }
        self.sent.push_back((random, now));
        random
    }

    /// Time of the attested proof on this daemon's clock, never later than the true one.
    ///
    /// Returns `None` when the challenge is unknown or too old, or when the time is before the
    /// start of the clock or after `now`.
    #[must_use]
    pub fn date(&self, attestation: &Attestation, now: Duration) -> Option<Duration> {
        let (_, sent) = self.sent.iter().find(|(nonce, _)| *nonce == attestation.nonce)?;
        if now.saturating_sub(*sent) > CHALLENGE_LIFETIME {
            return None;
        }
        let since = attestation.since_us;
        let drift =
            i64::try_from(since.unsigned_abs().div_ceil(CLOCK_DRIFT_DIVISOR as u64)).ok()?;
        let since = since.checked_sub(drift)?;
        let shift = Duration::from_micros(since.unsigned_abs());
        // A date before the start of the clock cannot be expressed. Rounding it up to zero would
        // make the proof look younger than it is.
        let date = if since < 0 { sent.checked_sub(shift) } else { sent.checked_add(shift) };
        // A date in the future shows that a clock is wrong.
        date.filter(|date| *date <= now)
    }
}

/// The head of the log at a time on this daemon's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Proof {
    generation: u64,
    head: Offset,
    proven_at: Duration,
}

/// The newest proof of the head of the log that a daemon has.
#[derive(Debug, Clone, Default)]
pub struct Confirmation {
    newest: Option<Proof>,
}

impl Confirmation {
    /// Records that this daemon read the log up to its head.
    ///
    /// `requested_at` is the time before the request was sent; a long poll therefore proves nothing
    /// newer than its start.
    pub fn confirm(&mut self, generation: u64, head: Offset, requested_at: Duration) {
        let proof = Proof { generation, head, proven_at: requested_at };
        self.merge(proof);
    }

    /// Records a proof from another daemon; returns false if it cannot be dated, see
    /// [`Challenges::date`].
    pub fn accept(
        &mut self,
        attestation: &Attestation,
        challenges: &Challenges,
        now: Duration,
    ) -> bool {
        let Some(proven_at) = challenges.date(attestation, now) else {
            return false;
        };
        self.merge(Proof { generation: attestation.generation, head: attestation.head, proven_at });
        true
    }

    /// Keeps the newest proof. Within a generation the head never decreases, because a head that
    /// was once proven remains a lower bound.
    fn merge(&mut self, proof: Proof) {
        let Some(known) = &mut self.newest else {
            self.newest = Some(proof);
            return;
        };
        if proof.generation > known.generation {
            *known = proof;
        } else if proof.generation == known.generation && proof.proven_at >= known.proven_at {
            known.proven_at = proof.proven_at;
            known.head = known.head.max(proof.head);
        }
    }

    /// The newest proof as an answer to a challenge; `None` if there is no proof or its distance
    /// from the challenge does not fit into [`Attestation::since_us`].
    #[must_use]
    pub fn attest(&self, challenge: ReceivedChallenge) -> Option<Attestation> {
        let proof = self.newest?;
        Some(Attestation {
            nonce: challenge.nonce,
            generation: proof.generation,
            head: proof.head,
            since_us: micros_between(challenge.received_at, proof.proven_at)?,
        })
    }

    /// Age of the newest proof, if there is one.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.newest.map(|proof| now.saturating_sub(proof.proven_at))
    }

    /// Whether a reader that has folded all entries of `generation` before offset `next` was
    /// certainly up to date at some time within the last `within`.
    #[must_use]
    pub fn covers(&self, generation: u64, next: Offset, within: Duration, now: Duration) -> bool {
        let Some(proof) = self.newest else {
            return false;
        };
        let age = now.saturating_sub(proof.proven_at);
        proof.generation == generation && next >= proof.head && age <= within
    }
}

/// `to - from` in microseconds, rounded down.
fn micros_between(from: Duration, to: Duration) -> Option<i64> {
    let to_i64 = |value: u128| i64::try_from(value).ok();
    match to.checked_sub(from) {
        Some(after) => to_i64(after.as_nanos() / 1_000),
        None => to_i64((from - to).as_nanos().div_ceil(1_000)).map(|micros| -micros),
    }
}
