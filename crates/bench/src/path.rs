//! Latency that the data path adds to a call.
//!
//! Client, daemons and backend server share one process, each on a runtime of its own, as in
//! production; a daemon with one thread has a single-threaded runtime. The load is open-loop, and
//! latency counts from the intended start, so a stall is not hidden.
//!
//! Forwarders that only copy bytes, each on a thread of its own, show what a hop costs on this
//! machine before any work of a daemon: two reads, two writes and the waking of a thread.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use baobabreel_daemon::{Daemon, Settings, settings};
use baobabreel_test_support::backend::{BackendServer, BackendSettings, WorkTime};
use baobabreel_test_support::load::{LoadPlan, LoadReport, RequestTemplate};
use baobabreel_test_support::log::{LogServer, LogSettings};
use baobabreel_test_support::mesh::{ChangeBuilder, NodeSpec, entry_text, settings_text};
use eyre::{Result, bail};
use hdrhistogram::Histogram;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::sync::oneshot;

use crate::fit::quantile;
use crate::fleet::runtime;
use crate::process::{load_average, threads_time};
use crate::table::{format, row};

/// Most time that the path may add to 99 of 100 calls, in ms.
pub const TARGET_P99_MS: f64 = 0.39;

/// Length of the answers in bytes.
const ANSWER_BYTES: usize = 256;

/// Slots of the backend server; more than the 100 connections to it would only fail.
const SLOTS: u32 = 100;

/// Rate offered to find the saturation, in calls a second.
const SATURATION_RATE: f64 = 20_000.0;

/// Time of one round of one way.
const ROUND: Duration = Duration::from_millis(1_000);

/// Calls at once while saturated.
const SATURATION_CALLS: usize = 64;

/// Longest wait for the daemons to be ready.
const READY_LIMIT: Duration = Duration::from_secs(15);

/// Way from the client to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Way {
    /// Without a daemon.
    Direct,
    /// Through the daemon beside the backend server.
    OneDaemon,
    /// Through another daemon first.
    TwoDaemons,
    /// Through a thread that only copies bytes.
    OneForwarder,
    /// Through two of them.
    TwoForwarders,
}

impl Way {
    const ALL: [Self; 5] =
        [Self::Direct, Self::OneDaemon, Self::TwoDaemons, Self::OneForwarder, Self::TwoForwarders];

    /// Whether the target applies.
    fn has_daemons(self) -> bool {
        matches!(self, Self::OneDaemon | Self::TwoDaemons)
    }
}

/// Figures of one way at one rate; times in ms.
#[derive(Debug, Clone, Serialize)]
pub struct Point {
    /// Way of the calls.
    pub way: Way,
    /// Offered calls a second; `None` at saturation.
    pub rate: Option<f64>,
    /// Calls that were answered with success, a second.
    pub answered: f64,
    /// Calls without success.
    pub failed: u64,
    /// Quantiles of the latency from the intended start: 50, 90, 99 and 99.9 %; each is the median
    /// over the rounds.
    pub latency_ms: [f64; 4],
    /// The same quantiles, each of the round in which it was lowest, that is, least disturbed by
    /// others on the machine.
    pub lowest_ms: [f64; 4],
    /// Quantiles of the latency from the real start.
    pub service_ms: [f64; 4],
    /// Processor time of all daemons or forwarders on the way per call, in microseconds.
    pub cpu_us: f64,
    /// Cumulative distribution of the latency: (ms, share).
    pub distribution: Vec<(f64, f64)>,
}

/// Result of the part.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Load average at the start.
    pub load_average: f64,
    /// Figures by rate and way.
    pub points: Vec<Point>,
}

#[derive(Debug)]
struct Bed {
    client: Runtime,
    daemons: Vec<Daemon>,
    backends: Vec<BackendServer>,
    /// The first is in front of the backend server, the second in front of the first.
    forwarders: [SocketAddr; 2],
    _log: LogServer,
    stand_ins: Runtime,
    /// Each ends the thread of one daemon when it is dropped.
    running: Vec<oneshot::Sender<()>>,
}

/// Starts a daemon on a runtime of its own.
fn start_daemon(settings: Settings, threads: usize) -> Result<(Daemon, oneshot::Sender<()>)> {
    let name = format!("daemon-{}", settings.daemon);
    let runtime = match threads {
        1 => Builder::new_current_thread().enable_all().build()?,
        _ => runtime(&name, threads)?,
    };
    let (started_tx, started_rx) = std::sync::mpsc::channel();
    let (stop_tx, stop_rx) = oneshot::channel::<()>();
    std::thread::Builder::new().name(name).spawn(move || {
        runtime.block_on(async {
            // The receiver waits below until something was sent.
            drop(started_tx.send(Daemon::start(settings).await));
            drop(stop_rx.await);
        });
        runtime.shutdown_background();
    })?;
    Ok((started_rx.recv()??, stop_tx))
}

/// Starts a forwarder on a thread of its own, which ends when the sender is dropped.
fn start_forwarder(target: SocketAddr) -> Result<(SocketAddr, oneshot::Sender<()>)> {
    let runtime = Builder::new_current_thread().enable_all().build()?;
    let listener = runtime.block_on(TcpListener::bind((Ipv4Addr::LOCALHOST, 0)))?;
    let addr = listener.local_addr()?;
    let (stop_tx, stop_rx) = oneshot::channel::<()>();
    std::thread::Builder::new().name("forwarder".to_owned()).spawn(move || {
        runtime.block_on(async {
            tokio::select! {
                _ = stop_rx => {}
                () = forward_all(listener, target) => {}
            }
        });
        runtime.shutdown_background();
    })?;
    Ok((addr, stop_tx))
}

async fn forward_all(listener: TcpListener, target: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        // A connection that breaks shows as failed calls.
        tokio::spawn(async move { drop(forward(stream, target).await) });
    }
}

async fn forward(mut from: TcpStream, target: SocketAddr) -> std::io::Result<()> {
    let mut to = TcpStream::connect(target).await?;
    from.set_nodelay(true)?;
    to.set_nodelay(true)?;
    tokio::io::copy_bidirectional(&mut from, &mut to).await?;
    Ok(())
}

impl Bed {
    fn start(threads: usize) -> Result<Self> {
        let client = runtime("client", 3)?;
        let stand_ins = runtime("stand-ins", 2)?;
        let log = stand_ins.block_on(LogServer::start(LogSettings::new()))?;
        let change = ChangeBuilder::new("first")
            .service("echo")
            .service("other")
            .class_route("echo", "/echo", "echo", "check")
            .build();
        let offset = log.append("config", &entry_text(change));
        let (mut daemons, mut backends) = (Vec::new(), Vec::new());
        let mut running = Vec::new();
        for (name, service) in [("host", "echo"), ("entry", "other")] {
            let spec = NodeSpec::new(name, "hobart-a", service)
                .setting("\"log_filter\": \"off\"")
                .backend(|b| b.slots(SLOTS).work_time(WorkTime::Fixed(Duration::ZERO)));
            let seeds: Vec<SocketAddr> =
                daemons.iter().map(|d: &Daemon| d.addresses().peers).collect();
            let text = settings_text(&spec, &log.url(), &seeds);
            let settings = settings::parse(name, &text)?;
            let (daemon, stop) = start_daemon(settings, threads)?;
            running.push(stop);
            let announce = format!("http://{}", daemon.addresses().backend);
            let backend: BackendSettings = spec.backend.clone().announce_url(announce);
            backends.push(stand_ins.block_on(BackendServer::start(backend))?);
            daemons.push(daemon);
        }
        let (first, stop) = start_forwarder(backends[0].addr())?;
        running.push(stop);
        let (second, stop) = start_forwarder(first)?;
        running.push(stop);
        let forwarders = [first, second];
        let bed = Self { client, daemons, backends, forwarders, _log: log, stand_ins, running };
        bed.wait_ready(offset)?;
        Ok(bed)
    }

    fn wait_ready(&self, offset: u64) -> Result<()> {
        let begin = std::time::Instant::now();
        let is_ready = |daemon: &Daemon| {
            let cx = daemon.context();
            let able = cx.members.load().iter().filter(|m| m.is_able()).count();
            cx.config.load().version.offset >= offset && able == self.daemons.len()
        };
        while !self.daemons.iter().all(is_ready) {
            if begin.elapsed() > READY_LIMIT {
                bail!("the daemons are not ready within {READY_LIMIT:?}");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        Ok(())
    }

    fn target(&self, way: Way) -> SocketAddr {
        match way {
            Way::Direct => self.backends[0].addr(),
            Way::OneDaemon => self.daemons[0].addresses().callers,
            Way::TwoDaemons => self.daemons[1].addresses().callers,
            Way::OneForwarder => self.forwarders[0],
            Way::TwoForwarders => self.forwarders[1],
        }
    }

    fn load(
        &self,
        way: Way,
        rate: f64,
        lasting: Duration,
        calls: usize,
        seed: u64,
    ) -> Result<(LoadReport, Duration)> {
        let template = RequestTemplate::lookup("echo", "/echo").response_bytes(ANSWER_BYTES);
        let plan = LoadPlan::new(seed)
            .target(self.target(way))
            .template(template)
            .concurrency(calls)
            .step(lasting, rate);
        let threads = if way.has_daemons() { "daemon-" } else { "forwarder" };
        let before = threads_time(threads);
        let report = self.client.block_on(self.client.spawn(plan.run()))??;
        Ok((report, threads_time(threads).saturating_sub(before)))
    }

    fn stop(self) {
        drop((self.daemons, self.backends, self.running));
        self.client.shutdown_background();
        self.stand_ins.shutdown_background();
    }
}

fn quantiles(histogram: &Histogram<u64>) -> [f64; 4] {
    [0.5, 0.9, 0.99, 0.999].map(|q| histogram.value_at_quantile(q) as f64 / 1e3)
}

fn distribution(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    (0..=999)
        .map(|permille| f64::from(permille) / 1e3)
        .map(|q| (histogram.value_at_quantile(q) as f64 / 1e3, q))
        .collect()
}

fn point(way: Way, rate: Option<f64>, report: &LoadReport, cpu: Duration) -> Option<Point> {
    let class = report.classes.get("echo")?;
    let answered = class.succeeded as f64;
    Some(Point {
        way,
        rate,
        answered: answered / report.elapsed.as_secs_f64(),
        failed: class.failed + class.not_run,
        latency_ms: quantiles(&class.latency),
        lowest_ms: quantiles(&class.latency),
        service_ms: quantiles(&class.service_time),
        cpu_us: cpu.as_secs_f64() * 1e6 / answered.max(1.0),
        distribution: distribution(&class.latency),
    })
}

/// Median over rounds; the distribution is that of the round with the median 99 %.
fn merge(mut rounds: Vec<Point>) -> Option<Point> {
    rounds.sort_by(|a, b| a.latency_ms[2].total_cmp(&b.latency_ms[2]));
    let mut merged = rounds.get(rounds.len() / 2)?.clone();
    let over = |value: &dyn Fn(&Point) -> f64, q: f64| {
        let values: Vec<f64> = rounds.iter().map(value).collect();
        quantile(&values, q)
    };
    for i in 0..merged.latency_ms.len() {
        merged.latency_ms[i] = over(&|p| p.latency_ms[i], 0.5);
        merged.lowest_ms[i] = over(&|p| p.latency_ms[i], 0.0);
        merged.service_ms[i] = over(&|p| p.service_ms[i], 0.5);
    }
    merged.cpu_us = over(&|p| p.cpu_us, 0.5);
    merged.failed = rounds.iter().map(|p| p.failed).sum();
    Some(merged)
}

/// Measures all ways at all rates, in rounds that alternate between the ways, and at saturation.
///
/// # Errors
///
/// A part cannot be started or the load generator fails.
pub fn run(rates: &[f64], rounds: usize, threads: usize, seed: u64) -> Result<Report> {
    let load_average = load_average();
    let bed = Bed::start(threads)?;
    let mut points = Vec::new();
    // Connections are opened and slow starts end before anything is counted.
    for way in Way::ALL {
        bed.load(way, 1_000.0, ROUND, 256, seed)?;
    }
    for rate in rates {
        eprintln!("path: {rate} a second");
        let mut measured: [Vec<Point>; Way::ALL.len()] = Default::default();
        for round in 0..rounds {
            for (way, measured) in Way::ALL.into_iter().zip(&mut measured) {
                let (report, cpu) = bed.load(way, *rate, ROUND, 1_000, seed + round as u64)?;
                measured.extend(point(way, Some(*rate), &report, cpu));
            }
        }
        points.extend(measured.into_iter().filter_map(merge));
    }
    for way in Way::ALL {
        eprintln!("path: {way:?} saturated");
        let (report, cpu) = bed.load(way, SATURATION_RATE, ROUND, SATURATION_CALLS, seed)?;
        points.extend(point(way, None, &report, cpu));
    }
    bed.stop();
    Ok(Report { load_average, points })
}

/// Table of the figures with what each way adds to the direct one.
#[must_use]
pub fn table(report: &Report) -> String {
    let mut rows = vec![row([
        "RATE",
        "WAY",
        "ANSWERED/S",
        "FAILED",
        "P50 MS",
        "P90",
        "P99",
        "P99.9",
        "ADDED P50",
        "ADDED P99",
        "LOWEST ADDED P99",
        "CPU US/CALL",
        "CALLS/S/CORE",
        "",
    ])];
    for point in &report.points {
        let is_direct = |p: &&Point| p.rate == point.rate && p.way == Way::Direct;
        let Some(direct) = report.points.iter().find(is_direct) else {
            continue;
        };
        let added = |i: usize| point.latency_ms[i] - direct.latency_ms[i];
        let lowest = point.lowest_ms[2] - direct.lowest_ms[2];
        // Where the direct call is disturbed, the difference of two tails decides nothing.
        let within = |ms: f64| (0.0..=TARGET_P99_MS).contains(&ms);
        let verdict = match point.way {
            way if !way.has_daemons() => "",
            _ if point.rate.is_none() => "",
            _ if lowest > TARGET_P99_MS => "MISSES",
            _ if within(lowest) && within(added(2)) => "ok",
            _ => "undecided",
        };
        let mut cells = vec![
            point.rate.map_or("saturated".to_owned(), |rate| format!("{rate:.0}")),
            format!("{:?}", point.way),
            format!("{:.0}", point.answered),
            point.failed.to_string(),
        ];
        cells.extend(point.latency_ms.iter().map(|ms| format!("{ms:.3}")));
        cells.extend([added(0), added(2), lowest].iter().map(|ms| format!("{ms:.3}")));
        cells.push(format!("{:.1}", point.cpu_us));
        let per_core = if point.cpu_us > 0.0 { 1e6 / point.cpu_us } else { f64::NAN };
        cells.push(if point.way == Way::Direct {
            "-".to_owned()
        } else {
            format!("{per_core:.0}")
        });
        cells.push(verdict.to_owned());
        rows.push(cells);
    }
    format(&rows)
}
