//! Control plane at several numbers of daemons, and what follows for the target size.
//!
//! Each number of daemons is measured in a process of its own, because a process does not give
//! memory back; the processes run at the same time. Figures are fitted over the members and over the
//! connections that a daemon holds open, since each daemon connects to all others in the long run.

mod one;

use std::process::{Command, Stdio};

use eyre::{OptionExt, Result, WrapErr, ensure};
use serde::Serialize;

use one::DATA_CENTRES;
pub use one::{Figures, Idle, Options, measure};

use crate::fit::{Line, Plane, fit, fit_plane};
use crate::table::{format, row};

/// Daemons at the target size.
pub const TARGET_DAEMONS: f64 = 960.0;

/// Largest share of a core that a daemon may use for control.
pub const BUDGET_CPU: f64 = 0.017;

/// Most memory of a daemon, in bytes.
pub const BUDGET_MEMORY: f64 = 128.0 * 1024.0 * 1024.0;

/// Most control bytes of a daemon in a second.
pub const BUDGET_BYTES: f64 = 9_000.0;

/// Most time until a change is in force everywhere, in ms.
pub const BUDGET_CONVERGENCE_MS: f64 = 9_000.0;

/// Connections of a daemon that talks only to the daemons around it.
const FEW_CONNECTIONS: f64 = 20.0;

/// Daemons of each data centre that tail the log.
const RELAYS_PER_DATA_CENTRE: usize = 2;

/// Size of one measurement in its own process, as argument of the program.
pub const CHILD_OPTION: &str = "scale-child";

/// Result of the part.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Figures with counted traffic.
    pub counted: Vec<Figures>,
    /// Figures without relays.
    pub uncounted: Vec<Figures>,
    /// Bytes between daemons per daemon and second.
    pub peer_bytes: Plane,
    /// Bytes to and from the log per relay and second.
    pub relay_log_bytes: f64,
    /// Processor time per daemon as a share of a core.
    pub cpu: Plane,
    /// Memory per daemon in bytes.
    pub memory: Plane,
    /// Longest convergence time over the logarithm of the number of members, in ms.
    pub convergence_ms: Line,
}

fn run_child(options: Options) -> Result<Command> {
    let program = std::env::current_exe().wrap_err("failed to find the own program")?;
    let mut command = Command::new(program);
    let argument = format!("{},{},{}", options.daemons, options.counted, options.quick);
    command.arg(format!("--{CHILD_OPTION}")).arg(argument);
    command.stdout(Stdio::piped()).stdin(Stdio::null());
    Ok(command)
}

/// Reads the argument of a child process.
///
/// # Errors
///
/// It does not have the form of the parent's.
pub fn parse_child(argument: &str) -> Result<Options> {
    let parts: Vec<&str> = argument.split(',').collect();
    let [daemons, counted, quick] = parts[..] else {
        eyre::bail!("failed to read the size `{argument}`");
    };
    Ok(Options { daemons: daemons.parse()?, counted: counted.parse()?, quick: quick.parse()? })
}

fn read_child(output: &std::process::Output) -> Result<Figures> {
    ensure!(output.status.success(), "a measurement of `scale` ended with {}", output.status);
    serde_json::from_slice(&output.stdout).wrap_err("failed to read the figures of a measurement")
}

/// Measures all sizes at the same time, each with counted traffic and without.
///
/// # Errors
///
/// A measurement fails.
pub fn run(sizes: &[usize], quick: bool) -> Result<Report> {
    eprintln!("scale: {sizes:?} daemons, each with and without counted traffic");
    let mut children = Vec::new();
    for counted in [true, false] {
        for daemons in sizes {
            let options = Options { daemons: *daemons, counted, quick };
            children.push(run_child(options)?.spawn()?);
        }
    }
    let mut figures = Vec::new();
    for child in children {
        figures.push(read_child(&child.wait_with_output()?)?);
    }
    let uncounted = figures.split_off(sizes.len());
    analyse(figures, uncounted)
}

fn model(figures: &[Figures], value: impl Fn(&Idle) -> f64) -> Result<Plane> {
    let points: Vec<(f64, f64, f64)> = figures
        .iter()
        .flat_map(|f| [f.idle, f.connected].map(|idle| (f, idle)))
        .map(|(f, idle)| (f.daemons as f64, idle.connections, value(&idle)))
        .collect();
    fit_plane(&points).ok_or_eyre("the sizes do not determine a model")
}

fn analyse(counted: Vec<Figures>, uncounted: Vec<Figures>) -> Result<Report> {
    let convergence: Vec<(f64, f64)> = counted
        .iter()
        .filter_map(|f| Some(((f.daemons as f64).log2(), f.convergence_max_ms?)))
        .collect();
    let tails = (DATA_CENTRES * RELAYS_PER_DATA_CENTRE) as f64;
    let per_relay = |f: &Figures| f.connected.log_bytes * f.daemons as f64 / tails;
    let relay_log_bytes = counted.iter().map(per_relay).sum::<f64>() / counted.len() as f64;
    Ok(Report {
        peer_bytes: model(&counted, |idle| idle.peer_bytes)?,
        cpu: model(&uncounted, |idle| idle.cpu)?,
        memory: model(&uncounted, |idle| idle.memory)?,
        relay_log_bytes,
        convergence_ms: fit(&convergence),
        counted,
        uncounted,
    })
}

/// Table of the measured sizes.
#[must_use]
pub fn table(report: &Report) -> String {
    let mut rows = vec![row([
        "DAEMONS",
        "STATE",
        "CONNS",
        "PEER B/S",
        "LOG B/S",
        "CPU %",
        "STAND-IN CPU %",
        "MEM MB",
        "CONV P50",
        "CONV MAX",
        "RESTART MS",
        "LOAD",
    ])];
    for (f, plain) in report.counted.iter().zip(&report.uncounted) {
        let states =
            [("idle", f.idle, plain.idle), ("all connected", f.connected, plain.connected)];
        for (state, idle, plain) in states {
            rows.push(line(f, state, &idle, &plain));
        }
    }
    format(&rows)
}

fn line(f: &Figures, state: &str, idle: &Idle, plain: &Idle) -> Vec<String> {
    let text = |value: Option<f64>| value.map_or("-".to_owned(), |value| format!("{value:.1}"));
    vec![
        f.daemons.to_string(),
        state.to_owned(),
        format!("{:.1}", idle.connections),
        format!("{:.0}", idle.peer_bytes),
        format!("{:.0}", idle.log_bytes),
        format!("{:.3}", plain.cpu * 100.0),
        format!("{:.3}", plain.stand_in_cpu * 100.0),
        format!("{:.2}", plain.memory / 1_048_576.0),
        text(f.convergence_p50_ms),
        text(f.convergence_max_ms),
        text(f.restart_ms),
        format!("{:.1}", f.load_average),
    ]
}

/// Table of the fitted lines and the figures at the target size.
#[must_use]
pub fn target_table(report: &Report) -> String {
    let mut rows = vec![row([
        "FIGURE PER DAEMON",
        "CONSTANT",
        "PER MEMBER",
        "PER CONNECTION",
        "AT 960, 20 CONNS",
        "AT 960, 959 CONNS",
        "BUDGET",
        "",
    ])];
    let mut add = |name: &str, model: &Plane, unit: f64, budget: f64| {
        let few = model.at(TARGET_DAEMONS, FEW_CONNECTIONS) * unit;
        let all = model.at(TARGET_DAEMONS, TARGET_DAEMONS - 1.0) * unit;
        rows.push(vec![
            name.to_owned(),
            format!("{:.4}", model.constant * unit),
            format!("{:.5}", model.per_member * unit),
            format!("{:.5}", model.per_connection * unit),
            format!("{few:.2}"),
            format!("{all:.2}"),
            format!("{budget:.1}"),
            if all > budget { "MISSES" } else { "ok" }.to_owned(),
        ]);
    };
    add("peer bytes a second", &report.peer_bytes, 1.0, BUDGET_BYTES);
    add("percent of a core", &report.cpu, 100.0, BUDGET_CPU * 100.0);
    add("memory in MB", &report.memory, 1.0 / 1_048_576.0, BUDGET_MEMORY / 1_048_576.0);
    let convergence = report.convergence_ms.at(TARGET_DAEMONS.log2());
    let verdict = if convergence > BUDGET_CONVERGENCE_MS { "misses" } else { "meets" };
    format!(
        "{}log bytes a second of a relay: {:.0}\n\
         longest convergence at 960 daemons, over log2(members): {convergence:.0} ms \
         ({verdict} {BUDGET_CONVERGENCE_MS} ms)\n",
        format(&rows),
        report.relay_log_bytes
    )
}
