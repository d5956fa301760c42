//! What a load run sends, and when.

use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rand::RngExt;
use rand::rngs::SmallRng;

/// Header `idempotency-key` of a template's requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Key {
    /// None.
    None,
    /// UUID version 7 (holds its time of issue).
    UuidV7,
    /// Text without a time.
    Untimed,
}

/// Kind of request of a load run.
#[derive(Debug, Clone)]
pub struct RequestTemplate {
    pub(super) class: String,
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) weight: f64,
    pub(super) at_most_once: bool,
    pub(super) key: Key,
    pub(super) headers: Vec<(String, String)>,
    pub(super) body_bytes: usize,
    pub(super) response_bytes: Option<usize>,
}

impl RequestTemplate {
    /// Idempotent GET requests of weight 1; `class` is the name under which they are reported.
    pub fn lookup(class: impl Into<String>, path: impl Into<String>) -> Self {
        RequestTemplate {
            class: class.into(),
            method: Method::GET,
            path: path.into(),
            weight: 1.0,
            at_most_once: false,
            key: Key::None,
            headers: Vec::new(),
            body_bytes: 0,
            response_bytes: None,
        }
    }

    /// POST requests of weight 1 that must run at most once.
    pub fn command(class: impl Into<String>, path: impl Into<String>, key: Key) -> Self {
        let lookup = Self::lookup(class, path);
        RequestTemplate { method: Method::POST, at_most_once: true, key, ..lookup }
    }

    /// Sets the method.
    pub fn method(mut self, method: Method) -> Self {
        self.method = method;
        self
    }

    /// Sets the share of the requests, relative to the other templates.
    pub fn weight(mut self, weight: f64) -> Self {
        self.weight = weight;
        self
    }

    /// Adds a header, for example `x-work-us`.
    pub fn header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }

    /// Sets the length of the request body.
    pub fn body_bytes(mut self, length: usize) -> Self {
        self.body_bytes = length;
        self
    }

    /// Asks the backend server for an answer of this length, and checks it.
    pub fn response_bytes(mut self, length: usize) -> Self {
        self.response_bytes = Some(length);
        self
    }
}

/// Load run; at least one target, template and step are needed.
#[derive(Debug, Clone)]
pub struct LoadPlan {
    pub(super) targets: Vec<SocketAddr>,
    pub(super) templates: Vec<RequestTemplate>,
    pub(super) steps: Vec<(Duration, f64)>,
    pub(super) concurrency: usize,
    pub(super) deadline: Duration,
    pub(super) repeats: u32,
    pub(super) seed: u64,
}

impl LoadPlan {
    /// Empty plan: at most 1,000 requests at once, deadline 5 s, no repeats.
    pub fn new(seed: u64) -> Self {
        LoadPlan {
            targets: Vec::new(),
            templates: Vec::new(),
            steps: Vec::new(),
            concurrency: 1_000,
            deadline: Duration::from_secs(5),
            repeats: 0,
            seed,
        }
    }

    /// Adds the callers' address of a daemon; each request goes to one chosen at random.
    pub fn target(mut self, target: SocketAddr) -> Self {
        self.targets.push(target);
        self
    }

    /// Adds a kind of request.
    pub fn template(mut self, template: RequestTemplate) -> Self {
        self.templates.push(template);
        self
    }

    /// Adds a step: `rate` requests a second on average, in exponential intervals.
    pub fn step(mut self, lasting: Duration, rate: f64) -> Self {
        self.steps.push((lasting, rate));
        self
    }

    /// Sets the most requests at once; more wait, and their wait counts as latency.
    pub fn concurrency(mut self, most: usize) -> Self {
        self.concurrency = most;
        self
    }

    /// Sets the deadline of each request, sent as `baobabreel-timeout-ms`.
    pub fn deadline(mut self, deadline: Duration) -> Self {
        self.deadline = deadline;
        self
    }

    /// Sets how often a keyed request without a certain answer is repeated, with the same key and
    /// request id, at a target chosen anew.
    pub fn repeats(mut self, repeats: u32) -> Self {
        self.repeats = repeats;
        self
    }

    /// Intended start times, relative to the start of the run.
    pub(super) fn schedule(&self, rng: &mut SmallRng) -> Vec<Duration> {
        let mut starts = Vec::new();
        let mut step_start = Duration::ZERO;
        for (lasting, rate) in &self.steps {
            let mut at = exponential_interval(*rate, rng);
            while at < lasting.as_secs_f64() {
                starts.push(step_start + Duration::from_secs_f64(at));
                at += exponential_interval(*rate, rng);
            }
            step_start += *lasting;
        }
        starts
    }

    /// Index of a template, by weight.
    pub(super) fn pick_template(&self, rng: &mut SmallRng) -> usize {
        let total: f64 = self.templates.iter().map(|template| template.weight).sum();
        let mut left = rng.random::<f64>() * total;
        for (index, template) in self.templates.iter().enumerate() {
            left -= template.weight;
            if left < 0.0 {
                return index;
            }
        }
        self.templates.len() - 1
    }
}

/// Interval in seconds; endless at rate zero.
fn exponential_interval(rate: f64, rng: &mut SmallRng) -> f64 {
    let uniform: f64 = rng.random();
    if rate > 0.0 { -(1.0 - uniform).ln() / rate } else { f64::INFINITY }
}
