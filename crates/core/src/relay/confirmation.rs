//! Proof of how far the log had got, and when.
//!
//! A lease depends on the age of the proof, so the age may be overestimated but never
//! underestimated, whatever messages, sockets and pauses do in between. Clocks of two daemons are
//! never compared. Instead the receiver dates each proof from a challenge of its own:
//!
//! 1. The receiver draws a nonce and notes its own time `c` before it sends the nonce, in a pull or in
//!    the answer to a push.
//! 2. The sender notes its own time `q` when it receives the nonce.
//! 3. When it later sends its proof, dated `p` on its own clock, it adds the nonce and `p - q`, which
//!    is negative if the proof is older than the challenge.
//! 4. The receiver dates the proof `c + (p - q)`.
//!
//! The nonce was received after it was sent, so `q` is no earlier than `c`, and the date is no later
//! than the true one. The time that the challenge was under way is the only error; the time that the
//! proof itself spent in a socket buffer or behind a paused receiver does not matter. The date of
//! arrival is not used at all: a push that waited for a paused receiver would count as fresh.
//! Each hop applies the rule again, so errors add up in the safe direction.
//!
//! The rule needs clocks that run equally fast; [`CLOCK_DRIFT_DIVISOR`] covers the difference. They must also be of
//! the kind that does not stop while the instance is suspended.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::Offset;

/// Age from which a proof no longer supports a lease.
pub const LEASE: Duration = Duration::from_secs(5);
/// Time for which a challenge can be answered; bounds the effect of clock drift.
pub const CHALLENGE_LIFE: Duration = Duration::from_secs(30);
/// One part in this many of each measured interval is allowed for clocks that run unequally fast.
pub const CLOCK_DRIFT_DIVISOR: i64 = 1_000;
/// Challenges without an answer that are remembered.
const MAX_CHALLENGES: usize = 256;

/// A challenge as the challenged daemon received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReceivedChallenge {
    /// The challenger's nonce.
    pub nonce: u64,
    /// When it was received, on the clock of the challenged daemon.
    pub received_at: Duration,
}

/// A proof on its way to the daemon whose challenge it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attestation {
    /// Nonce of the receiver's challenge.
    pub nonce: u64,
    /// Generation of the log.
    pub generation: u64,
    /// Offset after the last entry.
    pub head: Offset,
    /// Time from the receipt of the challenge to the proof, in microseconds; negative for a proof
    /// that is older than the challenge.
    pub since_us: i64,
}

/// The challenges that a daemon sent.
#[derive(Debug, Default)]
pub struct Challenges {
    sent: VecDeque<(u64, Duration)>,
}

impl Challenges {
    /// Makes a challenge; `now` must be read before it is sent, and `random` must not repeat.
    pub fn issue(&mut self, now: Duration, random: u64) -> u64 {
        if self.sent.len() >= MAX_CHALLENGES {
            self.sent.pop_front();
        }
        self.sent.push_back((random, now));
        random
    }

    /// Latest date that is certainly no later than the true date of the attested proof.
    #[must_use]
    pub fn date(&self, attestation: &Attestation, now: Duration) -> Option<Duration> {
        let (_, sent) = self.sent.iter().find(|(nonce, _)| *nonce == attestation.nonce)?;
        if now.saturating_sub(*sent) > CHALLENGE_LIFE {
            return None;
        }
        let since = attestation.since_us;
        let drift =
            i64::try_from(since.unsigned_abs().div_ceil(CLOCK_DRIFT_DIVISOR as u64)).ok()?;
        let since = since.checked_sub(drift)?;
        let shift = Duration::from_micros(since.unsigned_abs());
        // A date before the start of the clock cannot be expressed; rounding it up would make the
        // proof younger than it is.
        let date = if since < 0 { sent.checked_sub(shift) } else { sent.checked_add(shift) };
        // A proof from the future shows that a clock runs wrong.
        date.filter(|date| *date <= now)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Proof {
    generation: u64,
    head: Offset,
    proven_at: Duration,
}

/// The newest proof that a daemon has.
#[derive(Debug, Clone, Default)]
pub struct Confirmation {
    newest: Option<Proof>,
}

impl Confirmation {
    /// The daemon itself read the log up to its head. `requested_at` is the time before the request was
    /// sent; a long poll therefore proves nothing newer than its start.
    pub fn confirm(&mut self, generation: u64, head: Offset, requested_at: Duration) {
        let proof = Proof { generation, head, proven_at: requested_at };
        self.keep(proof);
    }

    /// Takes over a proof from another daemon; returns whether its date is known.
    pub fn accept(
        &mut self,
        attestation: &Attestation,
        challenges: &Challenges,
        now: Duration,
    ) -> bool {
        let Some(proven_at) = challenges.date(attestation, now) else {
            return false;
        };
        self.keep(Proof { generation: attestation.generation, head: attestation.head, proven_at });
        true
    }

    /// A head once proven stays a lower bound, so a later proof with a lower one cannot take it back.
    fn keep(&mut self, proof: Proof) {
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

    /// The newest proof as an answer to a challenge.
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

    /// Age of the newest proof.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.newest.map(|proof| now.saturating_sub(proof.proven_at))
    }

    /// Whether a fold that has reached `next` (the first offset not folded) of this generation was
    /// certainly complete at some time within the last `within`.
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
    let whole = |nanos: u128| i64::try_from(nanos).ok();
    match to.checked_sub(from) {
        Some(after) => whole(after.as_nanos() / 1_000),
        None => whole((from - to).as_nanos().div_ceil(1_000)).map(|micros| -micros),
    }
}
