//! The situations in which the policies are compared.

use std::time::{Duration, Instant};

use baobabreel_core::config::Kind;
use baobabreel_test_support::backend::JournalEntry;
use baobabreel_test_support::load::{Call, LoadPlan, LoadReport};
use baobabreel_test_support::mesh::{ChangeBuilder, entry_text};
use eyre::Result;
use serde::Serialize;
use tokio::runtime::Runtime;

use super::deployment::Deployment;
use crate::fit::quantile;
use crate::fleet::{Fleet, runtime};

/// Threads of the daemons, which share one runtime.
const DAEMON_THREADS: usize = 4;

/// Latency up to which an answer counts as service.
const IN_TIME: Duration = Duration::from_millis(100);

/// Deadline of each request.
const DEADLINE: Duration = Duration::from_secs(1);

/// Deadline of requests while bulk jobs are sent, which run for up to 2 s.
const BULK_DEADLINE: Duration = Duration::from_secs(5);

/// Share of the capacity that is offered before and after a peak.
const NORMAL: f64 = 0.7;

/// Factor of the demand at the peak.
const PEAK: f64 = 3.0;

/// Share of the capacity that is offered in the other situations, so that the backend servers that
/// remain can carry it.
const MODERATE: f64 = 0.5;

/// Factor by which backend servers slow down.
const SLOWNESS: f64 = 10.0;

/// Width of one point of the series.
const BIN: Duration = Duration::from_millis(100);

/// Doubled requests of a run that are printed with what ran.
const SHOWN: usize = 3;

/// Longest wait for the daemons to be ready or a change to be in force.
const LIMIT: Duration = Duration::from_secs(20);

/// Settings of the comparison.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Seed of the load.
    pub seed: u64,
    /// Whether to keep it short.
    pub quick: bool,
}

/// Figures of the requests of one window.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Window {
    /// Requests offered.
    pub offered: usize,
    /// Share of the offered requests that were answered with success in time.
    pub within: f64,
    /// The same for commands.
    pub commands_within: f64,
    /// The same for checks.
    pub checks_within: f64,
    /// 99 % quantile of the latency of successes, in ms.
    pub p99_ms: f64,
    /// 99.9 % quantile.
    pub p999_ms: f64,
    /// Refused as not run.
    pub refused: usize,
    /// Neither answered with success nor refused as not run.
    pub failed: usize,
}

/// Figures of one policy.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Figures {
    /// Longest time until a change published at the peak was in force.
    pub convergence_ms: f64,
    /// Bodies of control messages, sent and received, per daemon and second.
    pub control_bytes: f64,
    /// The peak.
    pub peak: Window,
    /// Share in time after the peak.
    pub after_peak_within: f64,
    /// Share in time by the time of the run: (s, share).
    pub over_time: Vec<(f64, f64)>,
    /// 99 % quantile of checks without bulk jobs.
    pub checks_alone_p99_ms: f64,
    /// 99 % quantile of checks with bulk jobs.
    pub checks_with_bulk_p99_ms: f64,
    /// Ratio of the two.
    pub head_of_line: f64,
    /// Bulk jobs that were answered with success.
    pub bulk_answered: usize,
    /// While a quarter of the backend servers is slow.
    pub slow: Window,
    /// After the crash of one daemon.
    pub crash: Window,
    /// Requests of all runs.
    pub requests: usize,
    /// Answered with success although nothing finished.
    pub lost: usize,
    /// At-most-once requests that ran twice.
    pub doubled: usize,
    /// Refused as not run although they ran.
    pub false_not_run: usize,
}

struct Bed<'a> {
    deployment: &'a Deployment,
    fleet: Fleet,
    client: Runtime,
    options: Options,
    reports: Vec<LoadReport>,
    runs: u64,
}

fn share_in_time<'a>(calls: impl Iterator<Item = &'a Call>) -> f64 {
    let (mut offered, mut good) = (0_usize, 0_usize);
    for call in calls {
        offered += 1;
        good += usize::from(call.end.succeeded() && call.latency <= IN_TIME);
    }
    good as f64 / offered.max(1) as f64
}

fn latency(calls: &[&Call], q: f64) -> f64 {
    let ok = calls.iter().filter(|call| call.end.succeeded());
    let times: Vec<f64> = ok.map(|call| call.latency.as_secs_f64() * 1e3).collect();
    quantile(&times, q)
}

/// Requests without bulk jobs that were to start in a time.
fn between(report: &LoadReport, from: Duration, to: Duration) -> Vec<&Call> {
    let in_window =
        |call: &&Call| call.intended >= from && call.intended < to && call.class != "bulk";
    report.calls.iter().filter(in_window).collect()
}

fn window(calls: &[&Call]) -> Window {
    let of = |class: &'static str| {
        share_in_time(calls.iter().copied().filter(move |c| c.class == class))
    };
    let succeeded = calls.iter().filter(|call| call.end.succeeded()).count();
    let refused = calls.iter().filter(|call| call.end.refused_as_not_run()).count();
    Window {
        offered: calls.len(),
        within: share_in_time(calls.iter().copied()),
        commands_within: of("command"),
        checks_within: of("check"),
        p99_ms: latency(calls, 0.99),
        p999_ms: latency(calls, 0.999),
        refused,
        failed: calls.len() - succeeded - refused,
    }
}

fn over_time(report: &LoadReport, end: Duration) -> Vec<(f64, f64)> {
    let bins = (end.as_millis() / BIN.as_millis()) as u32;
    (0..bins)
        .map(|bin| {
            let calls = between(report, BIN * bin, BIN * (bin + 1));
            ((BIN * bin).as_secs_f64(), share_in_time(calls.into_iter()))
        })
        .collect()
}

impl<'a> Bed<'a> {
    fn start(
        deployment: &'a Deployment,
        policy: &str,
        retries: u32,
        options: Options,
    ) -> Result<Self> {
        let mut fleet = Fleet::prepare(deployment.places(policy), DAEMON_THREADS, false)?;
        for index in 0..fleet.nodes.len() {
            fleet.start(index)?;
        }
        let offset = fleet.log.append("config", &deployment.first_change(retries));
        fleet.wait_ready(offset, LIMIT)?;
        // Owners of keys act only some seconds after they have joined.
        std::thread::sleep(Duration::from_secs(9));
        let mut bed = Self {
            deployment,
            fleet,
            client: runtime("client", 3)?,
            options,
            reports: Vec::new(),
            runs: 0,
        };
        // Fills the pools and ends the slow starts.
        bed.load(&[(Duration::from_secs(1), MODERATE)], false, &[], |_| ())?;
        bed.reports.clear();
        Ok(bed)
    }

    fn secs(&self, full: f64) -> Duration {
        Duration::from_secs_f64(if self.options.quick { full / 2.0 } else { full })
    }

    /// Runs steps of (time, share of the capacity) while `event` happens.
    fn load<T>(
        &mut self,
        steps: &[(Duration, f64)],
        bulk: bool,
        except: &[usize],
        event: impl FnOnce(&mut Fleet) -> T,
    ) -> Result<T> {
        self.runs += 1;
        let mut plan = LoadPlan::new(self.options.seed * 100 + self.runs)
            .deadline(if bulk { BULK_DEADLINE } else { DEADLINE })
            .concurrency(20_000)
            .repeats(1);
        for (index, node) in self.fleet.nodes.iter().enumerate() {
            if let Some(addresses) = node.addresses().filter(|_| !except.contains(&index)) {
                plan = plan.target(addresses.callers);
            }
        }
        for template in self.deployment.templates(bulk) {
            plan = plan.template(template);
        }
        for (time, share) in steps {
            plan = plan.step(*time, share * self.deployment.capacity());
        }
        let run = self.client.spawn(plan.run());
        let result = event(&mut self.fleet);
        self.reports.push(self.client.block_on(run)??);
        Ok(result)
    }

    fn last(&self) -> &LoadReport {
        &self.reports[self.reports.len() - 1]
    }

    fn peak(&mut self, figures: &mut Figures) -> Result<()> {
        let (before, peak, after) = (self.secs(2.0), self.secs(3.0), self.secs(2.0));
        let steps = [(before, NORMAL), (peak, NORMAL * PEAK), (after, NORMAL)];
        let control = self.control_bytes();
        let begin = Instant::now();
        let converged = self.load(&steps, false, &[], |fleet| {
            std::thread::sleep(before + peak / 3);
            let change = ChangeBuilder::new("under-load").expect(Kind::Service, "extra", None);
            let entry = entry_text(change.service("extra").build());
            let begin = Instant::now();
            let offset = fleet.log.append("config", &entry);
            fleet.wait_offset(offset, begin, LIMIT)
        })??;
        let lasted = begin.elapsed().as_secs_f64();
        let count = self.fleet.nodes.len() as f64;
        figures.control_bytes = (self.control_bytes() - control) / count / lasted;
        let longest = converged.into_iter().max().unwrap_or_default();
        figures.convergence_ms = longest.as_secs_f64() * 1e3;
        let report = self.last();
        figures.peak = window(&between(report, before, before + peak));
        let rest = between(report, before + peak, before + peak + after);
        figures.after_peak_within = share_in_time(rest.into_iter());
        figures.over_time = over_time(report, before + peak + after);
        Ok(())
    }

    fn slow(&mut self, figures: &mut Figures) -> Result<()> {
        let (before, slow) = (self.secs(1.0), self.secs(5.0));
        let quarter = self.deployment.quarter();
        let steps = [(before + slow, MODERATE)];
        self.load(&steps, false, &[], |fleet| {
            for index in &quarter {
                let backend = &fleet.nodes[*index].backend;
                backend.slow_down(SLOWNESS, before, slow);
                backend.set_faults(|faults| faults.false_load = Some(0.0));
            }
            std::thread::sleep(before + slow);
            for index in &quarter {
                let backend = &fleet.nodes[*index].backend;
                backend.set_faults(|faults| faults.false_load = None);
            }
        })?;
        figures.slow = window(&between(self.last(), before, before + slow));
        Ok(())
    }

    fn bulk(&mut self, figures: &mut Figures) -> Result<()> {
        // 4 s gave 6 to 13 answered bulk jobs, too few to tell the policies apart.
        let steps = [(self.secs(12.0), MODERATE)];
        let checks = |report: &LoadReport| {
            let all = between(report, Duration::ZERO, Duration::MAX);
            let checks: Vec<&Call> = all.into_iter().filter(|c| c.class == "check").collect();
            latency(&checks, 0.99)
        };
        self.load(&steps, false, &[], |_| ())?;
        figures.checks_alone_p99_ms = checks(self.last());
        self.load(&steps, true, &[], |_| ())?;
        figures.checks_with_bulk_p99_ms = checks(self.last());
        figures.head_of_line = figures.checks_with_bulk_p99_ms / figures.checks_alone_p99_ms;
        let answered = |call: &&Call| call.class == "bulk" && call.end.succeeded();
        figures.bulk_answered = self.last().calls.iter().filter(answered).count();
        Ok(())
    }

    /// Callers of the crashed daemon go to others, as behind any load balancer.
    fn crash(&mut self, figures: &mut Figures) -> Result<()> {
        let (before, after) = (self.secs(1.0), self.secs(3.0));
        self.load(&[(before + after, MODERATE)], false, &[0], |fleet| {
            std::thread::sleep(before);
            fleet.crash(0);
        })?;
        figures.crash = window(&between(self.last(), before, before + after));
        Ok(())
    }

    /// Control bytes of all daemons since their start, by their own counters.
    fn control_bytes(&self) -> f64 {
        let daemons = self.fleet.nodes.iter().filter_map(|n| n.daemon.as_ref());
        let rendered = daemons.filter_map(|daemon| daemon.context().metrics.render().ok());
        let of_one = |text: String| -> f64 {
            let lines = text.lines().filter(|line| line.starts_with("baobabreel_control_bytes"));
            lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum()
        };
        rendered.map(of_one).sum()
    }

    fn check(&self, figures: &mut Figures) {
        let journals: Vec<Vec<JournalEntry>> =
            self.fleet.nodes.iter().map(|node| node.backend.journal()).collect();
        for report in &self.reports {
            let check = report.check(&journals);
            figures.requests += report.calls.len();
            figures.lost += check.lost.len();
            figures.doubled += check.doubled.len();
            for id in check.doubled.iter().take(SHOWN) {
                let runs = journals.iter().enumerate().flat_map(|(index, journal)| {
                    let of_id = |entry: &&JournalEntry| entry.request_id.as_ref() == Some(id);
                    journal.iter().filter(of_id).map(move |entry| (index, entry))
                });
                eprintln!("doubled {id}: {:?}", runs.collect::<Vec<_>>());
            }
            figures.false_not_run += check.false_not_run.len();
        }
        if figures.doubled > 0 {
            // Whether owners of keys changed meanwhile.
            for record in self.fleet.log.records("members") {
                eprintln!("members at {} ms: {}", record.time_ms, record.data);
            }
        }
    }
}

/// Puts one policy through all situations.
///
/// # Errors
///
/// A part cannot be started or the load generator fails.
pub fn measure(
    deployment: &Deployment,
    policy: &str,
    retries: u32,
    options: Options,
) -> Result<Figures> {
    eprintln!("policy: {} with `{policy}`", deployment.name);
    let mut figures = Figures::default();
    let mut bed = Bed::start(deployment, policy, retries, options)?;
    bed.peak(&mut figures)?;
    bed.slow(&mut figures)?;
    bed.bulk(&mut figures)?;
    bed.crash(&mut figures)?;
    bed.check(&mut figures);
    bed.client.shutdown_background();
    bed.fleet.stop();
    Ok(figures)
}
