//! Decision of a key's owner whether to run, answer or refuse a request.

use std::time::Duration;

use super::key::{Key, KeyForm};
use super::lease::{LEASE, Lease, TAKEOVER_WAIT};
use super::origin::Origin;
use super::table::{KeptAnswer, KeyStatus, OutcomeTable};
use super::{Attempt, CLOCK_DIFFERENCE, ClockReading, EARLIEST_ISSUE, FUTURE_ALLOWANCE, RETENTION};
use crate::error::ErrorKind;
use crate::registry::{Incarnate, OwnershipEnd, PastOwnership, Registry};

/// A key that was issued up to this long after the takeover may have been started by the previous
/// owner.
///
/// The previous owner accepts issue times up to 2 s ahead of its clock, which may itself be 2 s
/// ahead; 1 s more allows for clock rates and for reading the clocks. Its lease ends 3 s before the
/// takeover, which leaves 2 s.
const ISSUE_MARGIN_REMOVED: Duration = Duration::from_secs(2);

/// As [`ISSUE_MARGIN_REMOVED`], but for an owner that sent `leave`, where the takeover is at once.
///
/// A daemon that keeps running for this long after its `leave` can be asked about all keys from
/// before it, so none of them that did not run is treated as one that may have run.
pub const ISSUE_MARGIN_LEFT: Duration = Duration::from_secs(5);

const _: () = {
    let accepted_ahead = FUTURE_ALLOWANCE.as_millis() + CLOCK_DIFFERENCE.as_millis();
    let removed = TAKEOVER_WAIT.as_millis() + ISSUE_MARGIN_REMOVED.as_millis();
    assert!(LEASE.as_millis() + accepted_ahead < removed);
    assert!(accepted_ahead < ISSUE_MARGIN_LEFT.as_millis());
};

/// State of a daemon that its decisions as an owner of keys depend on, except for the outcomes.
#[derive(Debug, Clone, Copy)]
pub struct OwnerView<'a> {
    /// This daemon.
    pub me: &'a Incarnate,
    /// Its registry, folded from the `members` stream.
    pub registry: &'a Registry,
    /// Its lease.
    pub lease: &'a Lease,
}

/// A keyed request.
#[derive(Debug, Clone, Copy)]
pub struct KeyedRequest<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Its idempotency key.
    pub key: &'a Key,
    /// Digest of method, path and body, by which repeats of the request are recognised.
    pub fingerprint: u128,
    /// What the caller states about earlier attempts.
    pub attempt: Attempt,
    /// Whose share of the table of outcomes the key counts towards.
    pub origin: Origin,
}

impl KeyedRequest<'_> {
    /// Key in the [`OutcomeTable`]; it includes the service, since services share no keys.
    #[must_use]
    pub fn table_key(&self) -> String {
        format!("{}\n{}", self.service, self.key.as_str())
    }
}

/// Answer of a previous owner that was asked about a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PriorAnswer {
    /// It has no record and will never run the key.
    NoRecord,
    /// It has this record.
    Known(KeyStatus),
    /// It did not answer, is not the incarnation that was asked, or cannot rule out a run.
    Unreachable,
}

/// What to do with a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch it, and then call [`OutcomeTable::finish`]; it is recorded as running.
    Run,
    /// Return this recorded answer.
    Answer(KeptAnswer),
    /// Return this error.
    Refuse(ErrorKind),
    /// Ask these incarnations about the key, and decide again with their answers.
    Ask(Vec<Incarnate>),
}

/// Decides about a keyed request at the daemon that may own its key.
///
/// `answers` holds the answers of the previous owners that were asked about this key and
/// fingerprint. With [`Decision::Run`] the key is recorded as running in `table`.
#[must_use]
pub fn decide(
    owner: &OwnerView<'_>,
    request: &KeyedRequest<'_>,
    reading: ClockReading,
    table: &mut OutcomeTable,
    answers: &[(Incarnate, PriorAnswer)],
) -> Decision {
    let table_key = request.table_key();
    if let Some(known) = table.look_up(&table_key, request.fingerprint, reading.now) {
        return decision_for_status(known, request.attempt);
    }
    let checked = match request.key.form() {
        KeyForm::Issued { daemon, .. } => check_issuer(owner, daemon, request.attempt),
        KeyForm::Timed { .. } | KeyForm::Opaque => {
            check_ownership(owner, request, reading, answers)
        }
    };
    let checked = checked.and_then(|()| check_issue_time(request, reading));
    match checked {
        Err(decision) => decision,
        Ok(()) => match table.begin(&table_key, request.origin, request.fingerprint, reading.now) {
            KeyStatus::Run => Decision::Run,
            known => decision_for_status(known, request.attempt),
        },
    }
}

/// Answers a later owner that asks about a key.
///
/// Without a record, this daemon gives up the key and never runs it, so that the later owner may.
#[must_use]
pub fn answer_prior(
    table: &mut OutcomeTable,
    request: &KeyedRequest<'_>,
    now: Duration,
) -> PriorAnswer {
    match table.look_up_or_cede(&request.table_key(), request.origin, request.fingerprint, now) {
        None => PriorAnswer::NoRecord,
        Some(KeyStatus::Overloaded) => PriorAnswer::Unreachable,
        Some(known) => PriorAnswer::Known(known),
    }
}

fn decision_for_status(known: KeyStatus, attempt: Attempt) -> Decision {
    Decision::Refuse(match known {
        KeyStatus::Run => return Decision::Run,
        KeyStatus::Done(answer) => return Decision::Answer(answer),
        KeyStatus::InProgress => ErrorKind::InProgress,
        KeyStatus::AnswerNotKept => ErrorKind::AnswerNotKept,
        KeyStatus::OutcomeUnknown => ErrorKind::OutcomeUnknown,
        KeyStatus::KeyReused => ErrorKind::KeyReused,
        KeyStatus::Ceded => attempt.no_owner_error(),
        KeyStatus::Overloaded => ErrorKind::Overloaded,
    })
}

fn refusal(attempt: Attempt, otherwise: ErrorKind) -> Decision {
    Decision::Refuse(attempt.not_owner_or(otherwise))
}

/// Checks that this incarnation issued the key.
///
/// Only the issuer runs it, so neither a complete registry nor a lease is needed.
fn check_issuer(
    owner: &OwnerView<'_>,
    daemon: &Incarnate,
    attempt: Attempt,
) -> Result<(), Decision> {
    if daemon == owner.me {
        return Ok(());
    }
    let issuer_ended = daemon.id == owner.me.id || !owner.registry.is_registered(daemon);
    let otherwise = if issuer_ended { ErrorKind::OutcomeUnknown } else { ErrorKind::OwnerChanging };
    Err(refusal(attempt, otherwise))
}

/// Checks that this daemon owns the key and that no previous owner may have run it.
fn check_ownership(
    owner: &OwnerView<'_>,
    request: &KeyedRequest<'_>,
    reading: ClockReading,
    answers: &[(Incarnate, PriorAnswer)],
) -> Result<(), Decision> {
    let (service, key) = (request.service, request.key.as_str());
    let owner_changing = || refusal(request.attempt, ErrorKind::OwnerChanging);
    let owned = owner
        .registry
        .owner(service, key)
        .is_some_and(|found| found.id == owner.me.id && found.incarnation == owner.me.incarnation);
    if !owned || !owner.lease.is_valid(reading.now) {
        return Err(owner_changing());
    }
    let takeovers = takeovers(owner, service, key, reading.now);
    if takeovers.iter().any(|takeover| reading.now < takeover.at) {
        return Err(owner_changing());
    }
    let mut asked = Vec::new();
    for takeover in takeovers {
        if !takeover.may_have_started(request.key, reading) {
            continue;
        }
        let outcome_unknown = || refusal(request.attempt, ErrorKind::OutcomeUnknown);
        let previous_owner = takeover.previous_owner.ok_or_else(outcome_unknown)?;
        match answers.iter().find(|(daemon, _)| *daemon == previous_owner) {
            Some((_, PriorAnswer::NoRecord)) => {}
            Some((_, PriorAnswer::Known(known))) => {
                return Err(decision_for_prior_status(known.clone(), request.attempt));
            }
            // A registered daemon may answer later; any other has ended or is considered dead.
            Some((_, PriorAnswer::Unreachable))
                if owner.registry.is_registered(&previous_owner) =>
            {
                return Err(owner_changing());
            }
            Some((_, PriorAnswer::Unreachable)) => return Err(outcome_unknown()),
            None if asked.contains(&previous_owner) => {}
            None => asked.push(previous_owner),
        }
    }
    if asked.is_empty() { Ok(()) } else { Err(Decision::Ask(asked)) }
}

fn decision_for_prior_status(known: KeyStatus, attempt: Attempt) -> Decision {
    match known {
        // Neither is a record of the key, so the answer says nothing about earlier runs.
        KeyStatus::Run | KeyStatus::Overloaded => refusal(attempt, ErrorKind::OwnerChanging),
        known => decision_for_status(known, attempt),
    }
}

/// The end of an earlier ownership of a key.
struct Takeover {
    /// Previous owner; `None` if it is not known.
    previous_owner: Option<Incarnate>,
    /// Earliest time at which the next owner may start requests.
    at: Duration,
    /// A key issued up to this long after `at` may have been started by the previous owner.
    margin: Duration,
}

impl Takeover {
    /// Whether the previous owner may have started a request with this key.
    fn may_have_started(&self, key: &Key, reading: ClockReading) -> bool {
        match key.issued_at() {
            Some(issued_at) => issued_at <= reading.wall_at(self.at + self.margin),
            None => reading.now < self.at + RETENTION,
        }
    }
}

/// Takeovers of a key that may still matter; one of them has no known previous owner if the
/// registry lacks the entries of an earlier log.
fn takeovers(owner: &OwnerView<'_>, service: &str, key: &str, now: Duration) -> Vec<Takeover> {
    let wait = owner.lease.fencing().takeover_wait;
    let removed = |previous_owner: Option<Incarnate>, ended_at: Duration| Takeover {
        previous_owner,
        at: ended_at + wait,
        margin: ISSUE_MARGIN_REMOVED,
    };
    let unknown = owner.registry.unknown_until();
    let past = owner.registry.previous_owners(service, key, now);
    let known = past
        .into_iter()
        // Requests that this incarnation started are in its own table.
        .filter(|ownership| ownership.owner != *owner.me)
        .map(|ownership: PastOwnership| match ownership.end {
            OwnershipEnd::Removed => removed(Some(ownership.owner), ownership.ended_at),
            OwnershipEnd::Left => Takeover {
                previous_owner: Some(ownership.owner),
                at: ownership.ended_at,
                margin: ISSUE_MARGIN_LEFT,
            },
        });
    unknown.map(|until| removed(None, until)).into_iter().chain(known).collect()
}

/// Refuses a key whose outcome may have expired, or whose issue time cannot be right.
fn check_issue_time(request: &KeyedRequest<'_>, reading: ClockReading) -> Result<(), Decision> {
    let Some(issued_at) = request.key.issued_at() else {
        return Ok(());
    };
    let in_future = issued_at > reading.wall + FUTURE_ALLOWANCE;
    if in_future || issued_at < EARLIEST_ISSUE {
        return Err(Decision::Refuse(ErrorKind::BadKey));
    }
    if issued_at + RETENTION < reading.wall {
        return Err(Decision::Refuse(match request.attempt {
            Attempt::First => ErrorKind::BadKey,
            Attempt::MayRepeat => ErrorKind::OutcomeUnknown,
        }));
    }
    Ok(())
}
