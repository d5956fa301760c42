//! HTTP side of the log.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::{Body as _, Incoming};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::sync::watch;
use tokio::time::Instant;

use super::LogCounters;
use super::faults::{LogFaults, Outage};
use super::store::{Page, Retention, Store, StoredRecord};
use crate::serve::{self, Body, CloseConnection, Handler, lock};

/// Largest record, in bytes.
const MAX_RECORD: usize = 1024 * 1024;
/// Records of one answer when the reader sets no limit.
const DEFAULT_LIMIT: usize = 256;
/// Longest wait of a long poll, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;
/// Share of a second whose appends may come at once under `appends_per_second`.
const BURST_SECONDS: f64 = 0.1;

type Answer = Result<Response<Body>, CloseConnection>;

#[derive(Debug)]
struct State {
    store: Store,
    faults: LogFaults,
    rng: SmallRng,
    tokens: f64,
    refilled: Instant,
}

/// Shared state of a log server.
#[derive(Debug)]
pub(super) struct Api {
    state: Mutex<State>,
    /// Counts appends and changes of faults or generation; long polls wait on it.
    changes: watch::Sender<u64>,
    appends: AtomicU64,
    reads: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    open_polls: AtomicU64,
}

/// Question of a read request.
#[derive(Debug, Default)]
struct Query {
    from: Option<u64>,
    limit: Option<usize>,
    wait_ms: u64,
}

impl Query {
    fn parse(text: &str) -> Option<Query> {
        let mut query = Query::default();
        for pair in text.split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=')?;
            match key {
                "from" => query.from = Some(value.parse().ok()?),
                "limit" => query.limit = Some(value.parse().ok()?),
                "wait_ms" => query.wait_ms = value.parse().ok()?,
                _ => return None,
            }
        }
        Some(query)
    }
}

/// Counts a long poll for as long as it waits, also when its client goes away.
struct OpenPoll<'a>(&'a AtomicU64);

impl Drop for OpenPoll<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl State {
    fn retention(&self) -> Retention {
        Retention { count: self.faults.retain_count, age: self.faults.retain_age }
    }

    fn take_append_token(&mut self) -> bool {
        let Some(rate) = self.faults.appends_per_second.map(f64::from) else {
            return true;
        };
        let now = Instant::now();
        let refill = now.duration_since(self.refilled).as_secs_f64() * rate;
        self.refilled = now;
        self.tokens = (self.tokens + refill).min((rate * BURST_SECONDS).max(1.0));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn take_lost_answer(&mut self) -> bool {
        if self.faults.lose_answers > 0 {
            self.faults.lose_answers -= 1;
            return true;
        }
        let probability = self.faults.lose_probability.clamp(0.0, 1.0);
        probability > 0.0 && self.rng.random_bool(probability)
    }
}

impl Api {
    pub(super) fn new(seed: u64, faults: LogFaults) -> Self {
        let state = State {
            store: Store::new(),
            faults,
            rng: SmallRng::seed_from_u64(seed),
            tokens: 1.0,
            refilled: Instant::now(),
        };
        Api {
            state: Mutex::new(state),
            changes: watch::Sender::new(0),
            appends: AtomicU64::new(0),
            reads: AtomicU64::new(0),
            bytes_in: AtomicU64::new(0),
            bytes_out: AtomicU64::new(0),
            open_polls: AtomicU64::new(0),
        }
    }

    pub(super) fn set_faults(&self, change: impl FnOnce(&mut LogFaults)) {
        change(&mut lock(&self.state).faults);
        self.notify();
    }

    pub(super) fn faults(&self) -> LogFaults {
        lock(&self.state).faults.clone()
    }

    pub(super) fn replace_generation(&self) -> u64 {
        let generation = lock(&self.state).store.replace();
        self.notify();
        generation
    }

    pub(super) fn append(&self, stream: &str, data: &str) -> u64 {
        let offset = {
            let mut state = lock(&self.state);
            let retention = state.retention();
            state.store.append(stream, data.to_owned(), retention)
        };
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.notify();
        offset
    }

    pub(super) fn records(&self, stream: &str) -> Vec<StoredRecord> {
        let mut state = lock(&self.state);
        let retention = state.retention();
        state.store.read(stream, None, usize::MAX, retention).records
    }

    pub(super) fn counters(&self) -> LogCounters {
        LogCounters {
            appends: self.appends.load(Ordering::Relaxed),
            reads: self.reads.load(Ordering::Relaxed),
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            open_polls: self.open_polls.load(Ordering::Relaxed),
        }
    }

    fn notify(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    /// Applies the faults that stand before any effect of a request.
    async fn check_reach(&self, client: &str) -> Result<(), CloseConnection> {
        let outage = {
            let state = lock(&self.state);
            if state.faults.cut_clients.contains(client) {
                return Err(CloseConnection);
            }
            state.faults.outage
        };
        match outage {
            Outage::None => Ok(()),
            Outage::Close => Err(CloseConnection),
            Outage::Silent => std::future::pending().await,
        }
    }

    async fn route(&self, client: &str, req: Request<Incoming>) -> Answer {
        let path = req.uri().path().to_owned();
        let stream = path.strip_prefix("/streams/").and_then(|rest| rest.strip_suffix("/records"));
        let Some(stream) = stream.filter(|name| !name.is_empty() && !name.contains('/')) else {
            return Ok(serve::error(StatusCode::NOT_FOUND, "unknown path"));
        };
        match *req.method() {
            Method::POST => self.post(client, stream, req).await,
            Method::GET => match Query::parse(req.uri().query().unwrap_or_default()) {
                Some(query) => self.get(client, stream, query).await,
                None => Ok(serve::error(StatusCode::BAD_REQUEST, "failed to read the query")),
            },
            _ => Ok(serve::error(StatusCode::METHOD_NOT_ALLOWED, "unknown method")),
        }
    }

    async fn post(&self, client: &str, stream: &str, req: Request<Incoming>) -> Answer {
        let body = match Limited::new(req.into_body(), MAX_RECORD).collect().await {
            Ok(body) => body.to_bytes(),
            Err(cause) if cause.is::<LengthLimitError>() => {
                return Ok(serve::error(StatusCode::PAYLOAD_TOO_LARGE, "record over 1 MiB"));
            }
            Err(_) => return Err(CloseConnection),
        };
        self.bytes_in.fetch_add(body.len() as u64, Ordering::Relaxed);
        let Ok(data) = String::from_utf8(body.into()) else {
            return Ok(serve::error(StatusCode::BAD_REQUEST, "record is not UTF-8"));
        };
        // An outage that began while the body was on its way comes before the effect.
        self.check_reach(client).await?;
        let (generation, offset, lost) = {
            let mut state = lock(&self.state);
            if !state.take_append_token() {
                return Ok(too_many());
            }
            let retention = state.retention();
            let offset = state.store.append(stream, data, retention);
            (state.store.generation(), offset, state.take_lost_answer())
        };
        self.appends.fetch_add(1, Ordering::Relaxed);
        self.notify();
        if lost {
            return Err(CloseConnection);
        }
        Ok(serve::json(StatusCode::OK, &json!({ "generation": generation, "offset": offset })))
    }

    async fn get(&self, client: &str, stream: &str, query: Query) -> Answer {
        self.reads.fetch_add(1, Ordering::Relaxed);
        let deadline = Instant::now() + Duration::from_millis(query.wait_ms.min(MAX_WAIT_MS));
        let mut changes = self.changes.subscribe();
        let mut open = None;
        let mut generation = None;
        loop {
            changes.mark_unchanged();
            self.check_reach(client).await?;
            let page = self.read(stream, &query);
            let replaced = *generation.get_or_insert(page.generation) != page.generation;
            if query.from.is_some_and(|from| from < page.first) {
                return Ok(gone(&page));
            }
            if !page.records.is_empty() || replaced || Instant::now() >= deadline {
                return Ok(serve::json(StatusCode::OK, &page));
            }
            open.get_or_insert_with(|| self.open_poll());
            // The sender lives in `self`, so only the deadline or a change ends the wait.
            drop(tokio::time::timeout_at(deadline, changes.changed()).await);
        }
    }

    fn read(&self, stream: &str, query: &Query) -> Page {
        let mut state = lock(&self.state);
        let retention = state.retention();
        let limit = query.limit.unwrap_or(DEFAULT_LIMIT);
        state.store.read(stream, query.from, limit, retention)
    }

    fn open_poll(&self) -> OpenPoll<'_> {
        self.open_polls.fetch_add(1, Ordering::Relaxed);
        OpenPoll(&self.open_polls)
    }

    fn take_cut(&self) -> bool {
        let faults = &mut lock(&self.state).faults;
        let cut = faults.cut_answers > 0;
        faults.cut_answers = faults.cut_answers.saturating_sub(1);
        cut
    }
}

impl Handler for Arc<Api> {
    fn admits_connection(&self) -> bool {
        lock(&self.state).faults.outage != Outage::Close
    }

    async fn handle(&self, req: Request<Incoming>) -> Answer {
        let client = serve::header(req.headers(), "x-client").unwrap_or_default().to_owned();
        self.check_reach(&client).await?;
        let (delay, refuse, rate) = {
            let faults = &lock(&self.state).faults;
            (faults.delay, faults.refuse, faults.bytes_per_second)
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let answer = if refuse {
            serve::error(StatusCode::SERVICE_UNAVAILABLE, "refused")
        } else {
            self.route(&client, req).await?
        };
        let bytes = answer.body().size_hint().lower();
        self.bytes_out.fetch_add(bytes, Ordering::Relaxed);
        if let Some(rate) = rate {
            tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / f64::from(rate))).await;
        }
        if self.take_cut() {
            return Ok(serve::cut_in_the_middle(answer).await);
        }
        Ok(answer)
    }
}

fn too_many() -> Response<Body> {
    let mut answer = serve::error(StatusCode::TOO_MANY_REQUESTS, "too many appends");
    answer.headers_mut().insert(http::header::RETRY_AFTER, http::HeaderValue::from_static("1"));
    answer
}

fn gone(page: &Page) -> Response<Body> {
    let bounds = json!({ "generation": page.generation, "first": page.first, "next": page.next });
    serve::json(StatusCode::GONE, &bounds)
}
