//! Requests of a backend server: slots, run times, faults and answers.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::sync::{Semaphore, SemaphorePermit, watch};
use tokio::time::Instant;

use super::journal::{Journal, JournalEntry, WorkResult};
use super::settings::{BackendFaults, BackendSettings, SlowSpell, WorkTime};
use super::{BackendCounters, DRAIN_GRACE, Phase};
use crate::serve::{self, Body, CloseConnection, Handler, checksum, lock};
use crate::timer;

/// Largest body that `x-response-bytes` may ask for.
const MAX_RESPONSE: usize = 64 * 1024 * 1024;

type Answer = Result<Response<Body>, CloseConnection>;

#[derive(Debug)]
struct State {
    phase: Phase,
    drained_at: Option<Instant>,
    faults: BackendFaults,
    spells: Vec<(Instant, Instant, f64)>,
    rng: SmallRng,
    journal: Journal,
    running: u64,
    waiting: u64,
    peak_running: u64,
    late_work: u64,
}

/// Shared state of a backend server.
#[derive(Debug)]
pub(super) struct Backend {
    pub(super) settings: BackendSettings,
    pub(super) addr: SocketAddr,
    state: Mutex<State>,
    slots: Semaphore,
    /// Counts changes of the phase; the announcer waits on it.
    phases: watch::Sender<u64>,
    frozen: watch::Sender<bool>,
    /// Counts ended requests.
    ended: watch::Sender<u64>,
    announced: AtomicU64,
    announce_failures: AtomicU64,
}

/// Request that waits or runs; journalled as cancelled when it is dropped before its end.
struct Job<'a> {
    backend: &'a Backend,
    entry: usize,
    result: WorkResult,
    /// Slot that it holds; fields are dropped after `drop` has run, so the job leaves the count of
    /// running jobs before another one can take its slot.
    slot: Option<SemaphorePermit<'a>>,
}

impl<'a> Job<'a> {
    fn start(&mut self, slot: SemaphorePermit<'a>) {
        let mut state = lock(&self.backend.state);
        self.slot = Some(slot);
        state.waiting -= 1;
        state.running += 1;
        state.peak_running = state.peak_running.max(state.running);
        state.journal.start(self.entry);
    }
}

impl Drop for Job<'_> {
    fn drop(&mut self) {
        {
            let mut state = lock(&self.backend.state);
            if self.slot.is_some() {
                state.running -= 1;
            } else {
                state.waiting -= 1;
            }
            state.journal.end(self.entry, self.result);
        }
        self.backend.ended.send_modify(|ended| *ended += 1);
    }
}

impl Backend {
    pub(super) fn new(settings: BackendSettings, addr: SocketAddr) -> eyre::Result<Self> {
        let phase = if settings.cold_start.is_zero() { Phase::Ready } else { Phase::Cold };
        let state = State {
            phase,
            drained_at: None,
            faults: settings.faults.clone(),
            spells: Vec::new(),
            rng: SmallRng::seed_from_u64(settings.seed),
            journal: Journal::new(settings.journal_file.as_deref())?,
            running: 0,
            waiting: 0,
            peak_running: 0,
            late_work: 0,
        };
        Ok(Backend {
            slots: Semaphore::new(settings.slots as usize),
            addr,
            state: Mutex::new(state),
            phases: watch::Sender::new(0),
            frozen: watch::Sender::new(settings.faults.freeze),
            ended: watch::Sender::new(0),
            announced: AtomicU64::new(0),
            announce_failures: AtomicU64::new(0),
            settings,
        })
    }

    pub(super) fn phase(&self) -> Phase {
        lock(&self.state).phase
    }

    pub(super) fn phase_changes(&self) -> watch::Receiver<u64> {
        self.phases.subscribe()
    }

    pub(super) fn become_ready(&self) {
        let mut state = lock(&self.state);
        if state.phase == Phase::Cold {
            state.phase = Phase::Ready;
        }
    }

    pub(super) fn drain(&self) {
        {
            let mut state = lock(&self.state);
            state.phase = Phase::Draining;
            state.drained_at.get_or_insert_with(Instant::now);
        }
        self.phases.send_modify(|changes| *changes += 1);
    }

    pub(super) fn faults(&self) -> BackendFaults {
        lock(&self.state).faults.clone()
    }

    pub(super) fn set_faults(&self, change: impl FnOnce(&mut BackendFaults)) {
        let freeze = {
            let faults = &mut lock(&self.state).faults;
            change(faults);
            faults.freeze
        };
        self.frozen.send_replace(freeze);
    }

    async fn wait_while_frozen(&self) {
        // The sender lives in `self`, so the wait ends only with the freeze.
        drop(self.frozen.subscribe().wait_for(|frozen| !frozen).await);
    }

    pub(super) fn end_spells(&self) {
        lock(&self.state).spells.clear();
    }

    pub(super) fn add_spell(&self, spell: SlowSpell) {
        let from = Instant::now() + spell.after;
        lock(&self.state).spells.push((from, from + spell.lasting, spell.factor));
    }

    pub(super) fn journal(&self) -> Vec<JournalEntry> {
        lock(&self.state).journal.entries().to_vec()
    }

    pub(super) fn counters(&self) -> BackendCounters {
        let state = lock(&self.state);
        BackendCounters {
            running: state.running,
            waiting: state.waiting,
            peak_running: state.peak_running,
            late_work: state.late_work,
            announced: self.announced.load(Ordering::Relaxed),
            announce_failures: self.announce_failures.load(Ordering::Relaxed),
        }
    }

    pub(super) fn count_announcement(&self, success: bool) {
        let counter = if success { &self.announced } else { &self.announce_failures };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) async fn wait_idle(&self, limit: Duration) -> bool {
        let mut ended = self.ended.subscribe();
        let idle = ended.wait_for(|_| {
            let counters = self.counters();
            counters.running + counters.waiting == 0
        });
        matches!(tokio::time::timeout(limit, idle).await, Ok(Ok(_)))
    }

    /// Enters a request in the journal, as shed (`None`) or as a job that waits for a slot.
    fn arrive(&self, headers: &HeaderMap, path: &str) -> Option<Job<'_>> {
        let text = |name| serve::header(headers, name).map(str::to_owned);
        let mut state = lock(&self.state);
        if state.drained_at.is_some_and(|at| at.elapsed() > DRAIN_GRACE) {
            state.late_work += 1;
        }
        let (id, key) = (text("x-request-id"), text("idempotency-key"));
        let entry = state.journal.arrive(id, key, path.to_owned());
        let most = u64::from(self.settings.slots) + u64::from(self.settings.extra);
        if state.phase == Phase::Cold || state.running + state.waiting >= most {
            state.journal.end(entry, WorkResult::Shed);
            return None;
        }
        state.waiting += 1;
        drop(state);
        Some(Job { backend: self, entry, result: WorkResult::Cancelled, slot: None })
    }

    fn run_time(&self, headers: &HeaderMap) -> Duration {
        let mut state = lock(&self.state);
        let time = match serve::number(headers, "x-work-us") {
            Some(micros) => Duration::from_micros(micros),
            None => draw(self.settings.work_time, &mut state.rng),
        };
        let now = Instant::now();
        let active = state.spells.iter().filter(|(from, to, _)| *from <= now && now < *to);
        let factor: f64 = active.map(|(_, _, factor)| factor.max(0.0)).product();
        time.mul_f64(factor)
    }

    async fn work(&self, req: Request<Incoming>) -> Answer {
        let (parts, body) = req.into_parts();
        let Some(mut job) = self.arrive(&parts.headers, parts.uri.path()) else {
            return Ok(shed());
        };
        let Ok(body) = body.collect().await else {
            return Err(CloseConnection);
        };
        let body = body.to_bytes();
        let limit = serve::number(&parts.headers, "baobabreel-timeout-ms")
            .map_or(Duration::MAX, Duration::from_millis);
        let ran = tokio::time::timeout(limit, async {
            let slot = self.slots.acquire().await.expect("the semaphore is never closed");
            job.start(slot);
            timer::sleep(self.run_time(&parts.headers)).await;
        });
        if ran.await.is_err() {
            return Ok(serve::error(StatusCode::GATEWAY_TIMEOUT, "deadline exceeded"));
        }
        job.result = WorkResult::Finished;
        let entry = job.entry;
        drop(job);
        let answer = self.echo(&parts, &body, entry);
        if self.take_cut() {
            return Ok(serve::cut_in_the_middle(answer).await);
        }
        Ok(answer)
    }

    fn echo(&self, parts: &http::request::Parts, body: &Bytes, entry: usize) -> Response<Body> {
        let request_id = serve::header(&parts.headers, "x-request-id").unwrap_or_default();
        let content = match serve::number::<usize>(&parts.headers, "x-response-bytes") {
            Some(length) => pattern(request_id, length.min(MAX_RESPONSE)),
            None => {
                let echo = json!({
                    "method": parts.method.as_str(),
                    "path": parts.uri.path(),
                    "body_bytes": body.len(),
                    "id": format!("{}-{entry}", self.settings.name),
                });
                Bytes::from(echo.to_string())
            }
        };
        let mut headers = vec![
            ("x-body-fnv", checksum(&content)),
            ("x-request-bytes", body.len().to_string()),
            ("x-request-fnv", checksum(body)),
            ("x-request-version", format!("{:?}", parts.version)),
            ("x-served-by", self.settings.name.clone()),
        ];
        if !request_id.is_empty() {
            headers.push(("x-request-id", request_id.to_owned()));
        }
        let mut answer = Response::new(serve::full(content));
        for (name, value) in headers {
            let value = HeaderValue::try_from(value).expect("values are visible ASCII");
            answer.headers_mut().insert(HeaderName::from_static(name), value);
        }
        answer
    }

    fn take_cut(&self) -> bool {
        let faults = &mut lock(&self.state).faults;
        let cut = faults.cut_answers > 0;
        faults.cut_answers = faults.cut_answers.saturating_sub(1);
        cut
    }

    fn health(&self) -> Response<Body> {
        let phase = self.phase();
        let status = match phase {
            Phase::Ready => StatusCode::OK,
            Phase::Cold | Phase::Draining => StatusCode::SERVICE_UNAVAILABLE,
        };
        serve::json(status, &json!({ "state": phase }))
    }
}

impl Handler for Arc<Backend> {
    fn admits_connection(&self) -> bool {
        true
    }

    async fn handle(&self, req: Request<Incoming>) -> Answer {
        if req.uri().path() == "/journal" {
            let lines = lock(&self.state).journal.lines();
            return Ok(Response::new(serve::full(lines)));
        }
        self.wait_while_frozen().await;
        let answer = match req.uri().path() {
            "/health" => self.health(),
            _ => self.work(req).await?,
        };
        self.wait_while_frozen().await;
        Ok(answer)
    }
}

fn shed() -> Response<Body> {
    let mut answer = serve::error(StatusCode::SERVICE_UNAVAILABLE, "shed");
    let headers = answer.headers_mut();
    headers.insert(http::header::RETRY_AFTER, HeaderValue::from_static("1"));
    headers.insert("x-shed", HeaderValue::from_static("1"));
    headers.insert("baobabreel-outcome", HeaderValue::from_static("not_run"));
    answer
}

fn draw(work_time: WorkTime, rng: &mut SmallRng) -> Duration {
    match work_time {
        WorkTime::Fixed(time) => time,
        WorkTime::Exponential(mean) => {
            let uniform: f64 = rng.random();
            mean.mul_f64(-(1.0 - uniform).ln())
        }
        WorkTime::LongJobs { short, long, share } => {
            if rng.random_bool(share.clamp(0.0, 1.0)) {
                long
            } else {
                short
            }
        }
    }
}

/// Bytes that differ from request to request, so that swapped answers are found.
fn pattern(request_id: &str, length: usize) -> Bytes {
    let seed = request_id
        .bytes()
        .fold(7_u64, |seed, byte| seed.wrapping_mul(31).wrapping_add(u64::from(byte)));
    let mut content = vec![0; length];
    rand::Rng::fill_bytes(&mut SmallRng::seed_from_u64(seed), &mut content);
    Bytes::from(content)
}
