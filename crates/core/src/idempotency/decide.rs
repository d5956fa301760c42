//! The decision of a key's owner.

use std::time::Duration;

use super::key::{Key, KeyForm};
use super::lease::{LEASE, Lease, TAKEOVER_WAIT};
use super::table::{KeptAnswer, KeyStatus, OutcomeTable};
use super::{Attempt, CLOCK_DIFFERENCE, ClockReading, EARLIEST_ISSUE, FUTURE_ALLOWANCE, RETENTION};
use crate::error::ErrorKind;
use crate::registry::{Incarnate, OwnershipEnd, PastOwnership, Registry};

/// Time after the takeover up to which a key's issue time counts as before it.
///
/// A previous owner accepts keys from up to 2 s in the future by its clock, which may be 2 s ahead;
/// 1 s is for clock rates and for reading the clocks. A lease ends 3 s before the takeover.
const ISSUE_MARGIN_REMOVED: Duration = Duration::from_secs(2);

/// As [`ISSUE_MARGIN_REMOVED`], after a `leave`, which allows the takeover at once.
///
/// A daemon that stays for so long after its `leave` can be asked about all keys from before it, and
/// none of them that did not run is taken for one that may have run.
pub const ISSUE_MARGIN_LEFT: Duration = Duration::from_secs(5);

const _: () = {
    let accepted_ahead = FUTURE_ALLOWANCE.as_millis() + CLOCK_DIFFERENCE.as_millis();
    let removed = TAKEOVER_WAIT.as_millis() + ISSUE_MARGIN_REMOVED.as_millis();
    assert!(LEASE.as_millis() + accepted_ahead < removed);
    assert!(accepted_ahead < ISSUE_MARGIN_LEFT.as_millis());
};

/// A daemon in its role as an owner of keys.
#[derive(Debug, Clone, Copy)]
pub struct Owner<'a> {
    /// This daemon.
    pub me: &'a Incarnate,
    /// Its fold of the stream of members.
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
    /// Digest of what makes it the same request: method, path and body.
    pub fingerprint: u128,
    /// What the caller says about earlier attempts.
    pub attempt: Attempt,
}

impl KeyedRequest<'_> {
    /// Key of the [`OutcomeTable`]; the same key in another service is another key.
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
    /// It did not answer, or not as the incarnation that was asked.
    Unreachable,
}

/// What to do with a keyed request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// Dispatch it, and then call [`OutcomeTable::finish`]; it is recorded as running.
    Run,
    /// Give this recorded answer.
    Answer(KeptAnswer),
    /// Give this error.
    Refuse(ErrorKind),
    /// Ask these incarnations about the key, and decide again with their answers.
    Ask(Vec<Incarnate>),
}

/// Decides about a keyed request at the daemon that may own its key.
///
/// `answers` has what previous owners answered about this key and fingerprint, if they were asked.
/// With [`Decision::Run`] the key is recorded as running in `table`.
#[must_use]
pub fn decide(
    owner: &Owner<'_>,
    request: &KeyedRequest<'_>,
    reading: ClockReading,
    table: &mut OutcomeTable,
    answers: &[(Incarnate, PriorAnswer)],
) -> Decision {
    let table_key = request.table_key();
    if let Some(known) = table.look_up(&table_key, request.fingerprint, reading.now) {
        return from_record(known, request.attempt);
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
        Ok(()) => match table.begin(&table_key, request.fingerprint, reading.now) {
            KeyStatus::Run => Decision::Run,
            known => from_record(known, request.attempt),
        },
    }
}

/// Answers a later owner that asks about a key.
///
/// When there is no record, this daemon gives the key up, so that the later owner may run it.
#[must_use]
pub fn answer_prior(
    table: &mut OutcomeTable,
    request: &KeyedRequest<'_>,
    now: Duration,
) -> PriorAnswer {
    match table.look_up_or_cede(&request.table_key(), request.fingerprint, now) {
        None => PriorAnswer::NoRecord,
        Some(KeyStatus::Overloaded) => PriorAnswer::Unreachable,
        Some(known) => PriorAnswer::Known(known),
    }
}

fn from_record(known: KeyStatus, attempt: Attempt) -> Decision {
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

fn undecided(attempt: Attempt, otherwise: ErrorKind) -> Decision {
    Decision::Refuse(attempt.not_owner_or(otherwise))
}

/// Only the named incarnation runs the key, so neither fold nor lease is needed.
fn check_issuer(owner: &Owner<'_>, daemon: &Incarnate, attempt: Attempt) -> Result<(), Decision> {
    if daemon == owner.me {
        return Ok(());
    }
    let gone = daemon.id == owner.me.id || !owner.registry.is_registered(daemon);
    let otherwise = if gone { ErrorKind::OutcomeUnknown } else { ErrorKind::OwnerChanging };
    Err(undecided(attempt, otherwise))
}

fn check_ownership(
    owner: &Owner<'_>,
    request: &KeyedRequest<'_>,
    reading: ClockReading,
    answers: &[(Incarnate, PriorAnswer)],
) -> Result<(), Decision> {
    let (service, key) = (request.service, request.key.as_str());
    let wait = || undecided(request.attempt, ErrorKind::OwnerChanging);
    let owned = owner
        .registry
        .owner(service, key)
        .is_some_and(|found| found.id == owner.me.id && found.incarnation == owner.me.incarnation);
    if !owned || !owner.lease.is_valid(reading.now) {
        return Err(wait());
    }
    let takeovers = takeovers(owner, service, key, reading.now);
    if takeovers.iter().any(|takeover| reading.now < takeover.at) {
        return Err(wait());
    }
    let mut asked = Vec::new();
    for takeover in takeovers {
        if !takeover.may_have_started(request.key, reading) {
            continue;
        }
        let gone = || undecided(request.attempt, ErrorKind::OutcomeUnknown);
        let from = takeover.from.ok_or_else(gone)?;
        match answers.iter().find(|(daemon, _)| *daemon == from) {
            Some((_, PriorAnswer::NoRecord)) => {}
            Some((_, PriorAnswer::Known(known))) => {
                return Err(from_prior(known.clone(), request.attempt));
            }
            // One that is registered may answer later; another one has ended, or is taken for dead.
            Some((_, PriorAnswer::Unreachable)) if owner.registry.is_registered(&from) => {
                return Err(wait());
            }
            Some((_, PriorAnswer::Unreachable)) => return Err(gone()),
            None if asked.contains(&from) => {}
            None => asked.push(from),
        }
    }
    if asked.is_empty() { Ok(()) } else { Err(Decision::Ask(asked)) }
}

fn from_prior(known: KeyStatus, attempt: Attempt) -> Decision {
    match known {
        // Neither is a record of the key; whoever sends one does not vouch for anything.
        KeyStatus::Run | KeyStatus::Overloaded => undecided(attempt, ErrorKind::OwnerChanging),
        known => from_record(known, attempt),
    }
}

/// The end of an earlier ownership of a key.
struct Takeover {
    /// Previous owner; `None` when it is not known.
    from: Option<Incarnate>,
    /// From when on the next owner may start requests.
    at: Duration,
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

fn takeovers(owner: &Owner<'_>, service: &str, key: &str, now: Duration) -> Vec<Takeover> {
    let wait = owner.lease.fencing().takeover_wait;
    let removed = |from: Option<Incarnate>, ended_at: Duration| Takeover {
        from,
        at: ended_at + wait,
        margin: ISSUE_MARGIN_REMOVED,
    };
    let unknown = owner.registry.unknown_until();
    let stints = owner.registry.previous_owners(service, key, now);
    let known = stints
        .into_iter()
        // What this incarnation started is in its own table.
        .filter(|stint| stint.owner != *owner.me)
        .map(|stint: PastOwnership| match stint.end {
            OwnershipEnd::Removed => removed(Some(stint.owner), stint.ended_at),
            OwnershipEnd::Left => Takeover {
                from: Some(stint.owner),
                at: stint.ended_at,
                margin: ISSUE_MARGIN_LEFT,
            },
        });
    unknown.map(|until| removed(None, until)).into_iter().chain(known).collect()
}

/// Refuses keys whose outcome may have been forgotten, or whose issue time cannot be right.
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
