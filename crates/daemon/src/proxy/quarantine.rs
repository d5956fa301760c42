//! Requests that crash backend servers: the evidence that this daemon knows of, and its part in the trials.
//!
//! `baobabreel-core` decides. The daemons tell each other of the evidence. The platform adapter shares it as well
//! ([`Share`]), keeps it over restarts, and makes sure that each trial has only one daemon.

use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use baobabreel_core::error::ErrorKind;
use baobabreel_core::quarantine::{CrashId, Ledger, RequestDigest, RunDecision, Suspicion};
use tokio::sync::{mpsc, oneshot};

use super::call_error::CallError;
use crate::sync::lock;

/// Changes that wait to be sent to other daemons, and changes and claims that wait for the adapter; more are dropped.
const SHARE_CAPACITY: usize = 1_024;

/// Longest time to wait for the right to a trial.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(500);

/// What the adapter has to share with the other daemons.
#[derive(Debug)]
pub enum Share {
    /// The evidence against a request has changed, or the request was cleared.
    Changed(RequestDigest),
    /// Other daemons have told of evidence, which the adapter may lack.
    Learnt,
    /// This daemon wants to try a request. The answer tells whether no other daemon changed anything meanwhile.
    Claim(RequestDigest, oneshot::Sender<bool>),
}

/// Suspects that run at the backend server beside this daemon.
#[derive(Debug, Default)]
struct Running {
    has_trial: bool,
    suspects: usize,
}

/// Evidence about requests that crash backend servers.
#[derive(Debug, Default)]
pub struct Quarantine {
    ledger: Mutex<Ledger>,
    running: Mutex<Running>,
    share: OnceLock<mpsc::Sender<Share>>,
    /// Changes that the other daemons have to be told of.
    peers: OnceLock<mpsc::Sender<RequestDigest>>,
}

/// Permission to run a request, until it is dropped.
#[derive(Debug)]
pub struct RunPermit {
    quarantine: Arc<Quarantine>,
    decision: RunDecision,
}

impl Drop for RunPermit {
    fn drop(&mut self) {
        let mut running = lock(&self.quarantine.running);
        match self.decision {
            RunDecision::Trial => running.has_trial = false,
            RunDecision::RunSuspect => running.suspects -= 1,
            RunDecision::Run | RunDecision::Refuse => {}
        }
    }
}

impl Quarantine {
    /// Returns what has to be shared from now on. Later calls return `None`.
    pub fn attach(&self) -> Option<mpsc::Receiver<Share>> {
        let (tx, rx) = mpsc::channel(SHARE_CAPACITY);
        self.share.set(tx).is_ok().then_some(rx)
    }

    /// Returns the requests about which the other daemons have to be told from now on. Later calls return `None`.
    pub fn attach_peers(&self) -> Option<mpsc::Receiver<RequestDigest>> {
        let (tx, rx) = mpsc::channel(SHARE_CAPACITY);
        self.peers.set(tx).is_ok().then_some(rx)
    }

    /// Evidence against a request, if there is any.
    #[must_use]
    pub fn get(&self, digest: RequestDigest) -> Option<Suspicion> {
        lock(&self.ledger).get(digest).cloned()
    }

    /// All suspects that more than one backend server has ended under.
    #[must_use]
    pub fn repeated(&self) -> Vec<(RequestDigest, Suspicion)> {
        let ledger = lock(&self.ledger);
        let repeated = ledger.iter().filter(|(_, suspicion)| suspicion.crash_count() > 1);
        repeated.map(|(digest, suspicion)| (digest, suspicion.clone())).collect()
    }

    /// Adds what other daemons have shared through the adapter; returns whether anything was new.
    pub fn merge(&self, digest: RequestDigest, known: &Suspicion, now: Duration) -> bool {
        let mut ledger = lock(&self.ledger);
        let was_restricted = ledger.get(digest).is_some_and(Suspicion::is_restricted);
        let is_new = ledger.merge(digest, known, now);
        ledger.evict();
        log_if_restricted(&ledger, digest, was_restricted);
        is_new
    }

    /// Adds what another daemon has told of.
    pub fn learn(&self, digest: RequestDigest, known: &Suspicion, now: Duration) {
        if self.merge(digest, known, now) {
            self.share(Share::Learnt);
        }
    }

    /// Clears a request that other daemons have cleared or forgotten.
    pub fn clear(&self, digest: RequestDigest) {
        lock(&self.ledger).clear(digest);
    }

    /// Refuses a request that no backend server may run.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] if so.
    pub fn check(&self, digest: Option<RequestDigest>, now: Duration) -> Result<(), CallError> {
        let is_refused = |digest| lock(&self.ledger).decide(digest, now) == RunDecision::Refuse;
        if digest.is_some_and(is_refused) { Err(refused()) } else { Ok(()) }
    }

    /// Asks whether the backend server beside this daemon may run a request now.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Quarantined`] if it may not, [`ErrorKind::NotReady`] if another one may.
    pub async fn permit(
        self: &Arc<Self>,
        digest: Option<RequestDigest>,
        now: Duration,
    ) -> Result<Option<RunPermit>, CallError> {
        let Some(digest) = digest else { return Ok(None) };
        let decision = lock(&self.ledger).decide(digest, now);
        match decision {
            RunDecision::Run => return Ok(None),
            RunDecision::Refuse => return Err(refused()),
            RunDecision::RunSuspect => {
                let mut running = lock(&self.running);
                if running.has_trial {
                    let detail = "a request that crashed backend servers is on trial here";
                    return Err(CallError::new(ErrorKind::NotReady, detail));
                }
                running.suspects += 1;
            }
            RunDecision::Trial => {
                let mut running = lock(&self.running);
                if running.has_trial || running.suspects > 0 {
                    return Err(refused());
                }
                running.has_trial = true;
            }
        }
        let permit = RunPermit { quarantine: Arc::clone(self), decision };
        if decision == RunDecision::Trial {
            self.claim_trial(digest, now).await?;
        }
        Ok(Some(permit))
    }

    async fn claim_trial(&self, digest: RequestDigest, now: Duration) -> Result<(), CallError> {
        if let Some(share) = self.share.get() {
            let (tx, rx) = oneshot::channel();
            if share.try_send(Share::Claim(digest, tx)).is_err() {
                return Err(refused());
            }
            match tokio::time::timeout(CLAIM_TIMEOUT, rx).await {
                Ok(Ok(true)) => {}
                _ => return Err(refused()),
            }
        }
        lock(&self.ledger).begin_trial(digest, now);
        self.tell_peers(digest);
        tracing::info!(digest = format!("{digest:032x}"), "trial of a suspect request");
        Ok(())
    }

    /// Records that the backend server ended while it ran a request.
    pub fn record_crash(&self, digest: RequestDigest, crash: CrashId, now: Duration) {
        let mut ledger = lock(&self.ledger);
        let was_restricted = ledger.get(digest).is_some_and(Suspicion::is_restricted);
        ledger.record_crash(digest, crash, now);
        log_if_restricted(&ledger, digest, was_restricted);
        let evicted = ledger.evict();
        drop(ledger);
        self.share_change(digest);
        for digest in evicted {
            self.share_change(digest);
        }
    }

    /// Records that the backend server survived a request.
    pub fn record_survival(&self, digest: RequestDigest) {
        let mut ledger = lock(&self.ledger);
        let Some(suspicion) = ledger.get(digest) else { return };
        let crashes = suspicion.crash_count();
        ledger.clear(digest);
        drop(ledger);
        // A single end that the other daemons still know of does not restrict the request.
        if crashes > 1 {
            tracing::info!(digest = format!("{digest:032x}"), crashes, "suspect request cleared");
            self.share_change(digest);
        }
    }

    fn share_change(&self, digest: RequestDigest) {
        self.tell_peers(digest);
        self.share(Share::Changed(digest));
    }

    fn tell_peers(&self, digest: RequestDigest) {
        if self.peers.get().is_some_and(|peers| peers.try_send(digest).is_err()) {
            tracing::warn!("evidence about a suspect request is not sent: too much waits");
        }
    }

    fn share(&self, share: Share) {
        if self.share.get().is_some_and(|adapter| adapter.try_send(share).is_err()) {
            tracing::warn!("evidence about a suspect request is not shared: too much waits");
        }
    }
}

fn refused() -> CallError {
    let detail = "backend servers crashed while they ran the same request";
    CallError::new(ErrorKind::Quarantined, detail)
}

fn log_if_restricted(ledger: &Ledger, digest: RequestDigest, was_restricted: bool) {
    if was_restricted || !ledger.get(digest).is_some_and(Suspicion::is_restricted) {
        return;
    }
    tracing::warn!(
        digest = format!("{digest:032x}"),
        "several backend servers crashed while they ran the same request; it runs in trials only"
    );
}
