//! Measurement of one number of daemons; runs in a process of its own.

use std::time::{Duration, Instant};

use baobabreel_core::config::Kind;
use baobabreel_test_support::backend::BackendSettings;
use baobabreel_test_support::mesh::{ChangeBuilder, entry_text};
use eyre::Result;
use serde::{Deserialize, Serialize};

use crate::fit::quantile;
use crate::fleet::{DAEMON_THREADS, Fleet, Place, STAND_IN_THREADS};
use crate::process::{load_average, resident_bytes, threads_time};

/// Data centres of the measurement.
pub const DATA_CENTRES: usize = 4;

/// Services of the measurement.
const SERVICES: usize = 43;

/// Threads of the daemons' runtime.
const THREADS: usize = 4;

/// Time between two published changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(150);

/// Longest wait for a condition.
const LIMIT: Duration = Duration::from_secs(40);

/// What is measured with one number of daemons.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Number of daemons.
    pub daemons: usize,
    /// Whether control bytes are counted by relays; memory is measured without them.
    pub counted: bool,
    /// Whether to keep it short.
    pub quick: bool,
}

/// State in which the daemons are idle of traffic.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub struct Idle {
    /// Mean number of connections that a daemon has opened to others.
    pub connections: f64,
    /// Bytes between daemons, sent plus received, per daemon and second.
    pub peer_bytes: f64,
    /// Bytes between daemons and the log per daemon and second.
    pub log_bytes: f64,
    /// Processor time per daemon, as a share of one core.
    pub cpu: f64,
    /// Processor time of the stand-ins per daemon, as a share of one core.
    pub stand_in_cpu: f64,
    /// Resident memory per daemon in bytes.
    pub memory: f64,
}

/// Figures of one number of daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Figures {
    /// Number of daemons.
    pub daemons: usize,
    /// Load average of the machine at the end.
    pub load_average: f64,
    /// Time from the start of the first daemon until all are ready, in ms.
    pub start_ms: f64,
    /// With the connections that probes have opened.
    pub idle: Idle,
    /// With a connection from each daemon to each other one.
    pub connected: Idle,
    /// Median of the convergence times of changes at each daemon, in ms.
    pub convergence_p50_ms: Option<f64>,
    /// Longest of them, in ms.
    pub convergence_max_ms: Option<f64>,
    /// Time until a restart of a third of the daemons is over, in ms; absent when it was not measured
    /// or not over in time.
    pub restart_ms: Option<f64>,
}

fn places(count: usize) -> Vec<Place> {
    let place = |index: usize| {
        let name = format!("worker-{index:03}");
        let service = format!("service-{:02}", index % SERVICES);
        Place {
            backend: BackendSettings::new(&name, service),
            name,
            data_centre: format!("dc-{}", index % DATA_CENTRES),
            settings: vec!["\"log_filter\": \"off\"".to_owned()],
        }
    };
    (0..count).map(place).collect()
}

fn first_change() -> String {
    let mut change = ChangeBuilder::new("first");
    for index in 0..SERVICES {
        let service = format!("service-{index:02}");
        change = change.service(&service);
        let (name, prefix) = (format!("route-{index:02}"), format!("/{index:02}"));
        change = change.class_route(&name, &prefix, &service, "lookup");
    }
    entry_text(change.build())
}

fn next_change(number: usize) -> String {
    let name = format!("extra-{number:03}");
    let change = ChangeBuilder::new(&name).expect(Kind::Route, &name, None).class_route(
        &name,
        &format!("/extra/{number}"),
        "service-00",
        "lookup",
    );
    entry_text(change.build())
}

fn idle(fleet: &Fleet, window: Duration, resident_before: u64) -> Idle {
    let count = fleet.nodes.len() as f64;
    let (traffic, begin) = (fleet.traffic(), Instant::now());
    let (daemons, stand_ins) = (threads_time(DAEMON_THREADS), threads_time(STAND_IN_THREADS));
    std::thread::sleep(window);
    let after = fleet.traffic();
    let per = begin.elapsed().as_secs_f64() * count;
    let cpu = threads_time(DAEMON_THREADS).saturating_sub(daemons);
    let stand_in_cpu = threads_time(STAND_IN_THREADS).saturating_sub(stand_ins);
    Idle {
        connections: fleet.connections(),
        // Each byte between two daemons is sent by one and received by the other.
        peer_bytes: 2.0 * (after.peers - traffic.peers) as f64 / per,
        log_bytes: (after.log - traffic.log) as f64 / per,
        cpu: cpu.as_secs_f64() / per,
        stand_in_cpu: stand_in_cpu.as_secs_f64() / per,
        memory: resident_bytes().saturating_sub(resident_before) as f64 / count,
    }
}

fn converge(fleet: &Fleet, changes: usize) -> Result<Vec<f64>> {
    let mut times = Vec::new();
    for number in 0..changes {
        let begin = Instant::now();
        let offset = fleet.log.append("config", &next_change(number));
        let arrived = fleet.wait_offset(offset, begin, LIMIT)?;
        times.extend(arrived.iter().map(|time| time.as_secs_f64() * 1e3));
        std::thread::sleep(CHANGE_PAUSE);
    }
    Ok(times)
}

fn restart_third(fleet: &mut Fleet, offset: u64) -> Result<Duration> {
    let begin = Instant::now();
    let third: Vec<usize> = (0..fleet.nodes.len()).step_by(3).collect();
    for index in &third {
        fleet.crash(*index);
    }
    for index in &third {
        fleet.start(*index)?;
    }
    fleet.wait_ready(offset, LIMIT)?;
    Ok(begin.elapsed())
}

/// Measures one number of daemons.
///
/// # Errors
///
/// A part cannot be started, or the daemons do not become ready.
pub fn measure(options: Options) -> Result<Figures> {
    let secs =
        |full: u64, quick: u64| Duration::from_secs(if options.quick { quick } else { full });
    let mut fleet = Fleet::prepare(places(options.daemons), THREADS, options.counted)?;
    // The stand-ins reach their steady state before the memory of the daemons is counted.
    std::thread::sleep(Duration::from_millis(1_200));
    let resident = resident_bytes();
    let begin = Instant::now();
    for index in 0..options.daemons {
        fleet.start(index)?;
    }
    let first = fleet.log.append("config", &first_change());
    fleet.wait_ready(first, LIMIT)?;
    let start_ms = begin.elapsed().as_secs_f64() * 1e3;
    // Updates about new members are repeated for a time that grows with their number: 12 s were too
    // short for 64 daemons, which then still sent 4 KB a second of them.
    let members = u64::try_from(options.daemons).unwrap_or(u64::MAX);
    std::thread::sleep(secs(6 + members * 2 / 5, 2));
    let idle_figures = idle(&fleet, secs(5, 2), resident);
    let changes = if options.quick { 5 } else { 20 };
    let times = match options.counted {
        true => converge(&fleet, changes)?,
        false => Vec::new(),
    };
    fleet.connect_all();
    std::thread::sleep(secs(2, 1));
    let connected = idle(&fleet, secs(4, 2), resident);
    let restart_ms = match options.counted {
        true => restart_third(&mut fleet, first).ok().map(|time| time.as_secs_f64() * 1e3),
        false => None,
    };
    let figures = Figures {
        daemons: options.daemons,
        load_average: load_average(),
        start_ms,
        idle: idle_figures,
        connected,
        convergence_p50_ms: (!times.is_empty()).then(|| quantile(&times, 0.5)),
        convergence_max_ms: (!times.is_empty()).then(|| quantile(&times, 1.0)),
        restart_ms,
    };
    fleet.stop();
    Ok(figures)
}
