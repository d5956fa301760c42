//! Sending of the requests of a load run.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use eyre::{WrapErr, ensure};
use http::{HeaderMap, Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::Semaphore;
use tokio::task::JoinSet;

use super::plan::{Key, LoadPlan, RequestTemplate};
use super::report::{Call, CallEnd, LoadReport, Mismatch, Outcome};
use crate::serve::{checksum, header, number};
use crate::timer;

/// Time after the deadline at which the generator gives up.
const GRACE: Duration = Duration::from_secs(1);

type Http = Client<HttpConnector, Full<Bytes>>;

/// One planned request, with its own random numbers.
struct Planned {
    template: usize,
    intended: Duration,
    request_id: String,
    rng: SmallRng,
}

impl LoadPlan {
    /// Runs the plan, and returns when all requests have ended.
    ///
    /// # Errors
    /// The plan has no target, template or step, or a template makes no valid request.
    pub async fn run(self) -> eyre::Result<LoadReport> {
        ensure!(!self.targets.is_empty(), "failed to run a load plan without targets");
        ensure!(!self.templates.is_empty(), "failed to run a load plan without templates");
        ensure!(!self.steps.is_empty(), "failed to run a load plan without steps");
        let planned = self.plan_calls();
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http: Http = Client::builder(TokioExecutor::new()).build(connector);
        let permits = Arc::new(Semaphore::new(self.concurrency.max(1)));
        let plan = Arc::new(self);
        let start = Instant::now();
        let mut tasks = JoinSet::new();
        let mut calls = Vec::with_capacity(planned.len());
        for planned in planned {
            timer::sleep_until(start + planned.intended).await;
            let permits = Arc::clone(&permits);
            let permit = permits.acquire_owned().await.wrap_err("failed to wait for a permit")?;
            let (plan, http) = (Arc::clone(&plan), http.clone());
            tasks.spawn(async move {
                let call = plan.call(&http, start, planned).await;
                drop(permit);
                call
            });
            while let Some(done) = tasks.try_join_next() {
                calls.push(done.wrap_err("failed to run a call")??);
            }
        }
        while let Some(done) = tasks.join_next().await {
            calls.push(done.wrap_err("failed to run a call")??);
        }
        calls.sort_by_key(|call| call.intended);
        Ok(LoadReport::new(start.elapsed(), calls))
    }

    fn plan_calls(&self) -> Vec<Planned> {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let starts = self.schedule(&mut rng);
        let plan_call = |(number, intended)| Planned {
            template: self.pick_template(&mut rng),
            intended,
            request_id: format!("load-{:x}-{number}", self.seed),
            rng: SmallRng::seed_from_u64(rng.random()),
        };
        starts.into_iter().enumerate().map(plan_call).collect()
    }

    async fn call(&self, http: &Http, start: Instant, planned: Planned) -> eyre::Result<Call> {
        let mut rng = planned.rng;
        let template = &self.templates[planned.template];
        let mut call = Call {
            idempotency_key: new_key(template.key, &planned.request_id, &mut rng),
            request_id: planned.request_id,
            class: template.class.clone(),
            at_most_once: template.at_most_once,
            intended: planned.intended,
            latency: Duration::ZERO,
            service_time: Duration::ZERO,
            repeats: 0,
            end: CallEnd::Unreached,
        };
        let sent = Instant::now();
        loop {
            let target = self.targets[rng.random_range(0..self.targets.len())];
            let req = self.request(template, &call, target)?;
            call.end = self.send(http, template, &call.request_id, req).await;
            let again = call.idempotency_key.is_some() && call.end.is_uncertain();
            if !again || call.repeats >= self.repeats {
                break;
            }
            call.repeats += 1;
        }
        call.service_time = sent.elapsed();
        call.latency = start.elapsed().saturating_sub(call.intended);
        Ok(call)
    }

    fn request(
        &self,
        template: &RequestTemplate,
        call: &Call,
        target: SocketAddr,
    ) -> eyre::Result<Request<Full<Bytes>>> {
        let mut req = Request::builder()
            .method(template.method.clone())
            .uri(format!("http://{target}{}", template.path))
            .header("x-request-id", &call.request_id)
            .header("baobabreel-timeout-ms", self.deadline.as_millis().to_string());
        if let Some(key) = &call.idempotency_key {
            req = req.header("idempotency-key", key);
        }
        if let Some(length) = template.response_bytes {
            req = req.header("x-response-bytes", length);
        }
        for (name, value) in &template.headers {
            req = req.header(name, value);
        }
        let body = request_body(&call.request_id, template.body_bytes);
        req.body(Full::new(body)).wrap_err("failed to make a request from its template")
    }

    async fn send(
        &self,
        http: &Http,
        template: &RequestTemplate,
        request_id: &str,
        req: Request<Full<Bytes>>,
    ) -> CallEnd {
        let exchange = async {
            match http.request(req).await {
                Ok(answer) => read_answer(answer, template, request_id).await,
                Err(failure) if failure.is_connect() => CallEnd::Unreached,
                Err(_) => CallEnd::Broken,
            }
        };
        tokio::time::timeout(self.deadline + GRACE, exchange).await.unwrap_or(CallEnd::TimedOut)
    }
}

async fn read_answer(
    answer: Response<Incoming>,
    template: &RequestTemplate,
    request_id: &str,
) -> CallEnd {
    let (parts, body) = answer.into_parts();
    let Ok(body) = body.collect().await else {
        return CallEnd::Broken;
    };
    let outcome = match header(&parts.headers, "baobabreel-outcome") {
        Some("ran") => Outcome::Ran,
        Some("not_run") => Outcome::NotRun,
        Some("unknown") => Outcome::Unknown,
        _ => Outcome::Absent,
    };
    let mismatch = match parts.status.is_success() {
        true => find_mismatch(&parts.headers, &body.to_bytes(), template, request_id),
        false => None,
    };
    CallEnd::Answered { status: parts.status.as_u16(), outcome, mismatch }
}

fn find_mismatch(
    headers: &HeaderMap,
    body: &Bytes,
    template: &RequestTemplate,
    request_id: &str,
) -> Option<Mismatch> {
    if header(headers, "x-request-id") != Some(request_id) {
        return Some(Mismatch::Foreign);
    }
    if template.response_bytes.is_some_and(|length| length != body.len()) {
        return Some(Mismatch::Length);
    }
    if header(headers, "x-body-fnv") != Some(&checksum(body)) {
        return Some(Mismatch::Checksum);
    }
    let sent = request_body(request_id, template.body_bytes);
    let whole = number(headers, "x-request-bytes") == Some(sent.len())
        && header(headers, "x-request-fnv") == Some(&checksum(&sent));
    (!whole).then_some(Mismatch::RequestBody)
}

/// Body that differs from request to request.
fn request_body(request_id: &str, length: usize) -> Bytes {
    request_id.bytes().chain(*b"/").cycle().take(length).collect()
}

fn new_key(key: Key, request_id: &str, rng: &mut SmallRng) -> Option<String> {
    match key {
        Key::None => None,
        Key::Untimed => Some(format!("key-{request_id}-{:016x}", rng.random::<u64>())),
        Key::UuidV7 => {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let time = since.as_millis() & 0xffff_ffff_ffff;
            let random = rng.random::<u128>() & 0x0fff_3fff_ffff_ffff_ffff;
            Some(uuid_text(time << 80 | 0x7000_8000_0000_0000_0000 | random))
        }
    }
}

fn uuid_text(uuid: u128) -> String {
    let hex = format!("{uuid:032x}");
    let parts = [&hex[..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..]];
    parts.join("-")
}
