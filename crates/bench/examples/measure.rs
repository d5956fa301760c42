//! Measures the control plane, the data path and the policy on this machine.

use std::path::PathBuf;
use std::process::ExitCode;

use baobabreel_bench::policy::{self, TAS_SOUTH, UY_SUR};
use baobabreel_bench::{path, plots, process, pure, scale};
use eyre::{Result, bail};
use getopts::{Matches, Options};
use serde_json::{Map, Value, json};

/// Numbers of daemons of part `scale`.
const SIZES: [usize; 4] = [8, 16, 32, 64];

/// Numbers of daemons of part `scale` with `--quick`.
const QUICK_SIZES: [usize; 2] = [8, 16];

/// Rates of part `path`, in calls a second.
const RATES: [f64; 3] = [500.0, 2_000.0, 6_000.0];

/// Threads of each daemon of part `path`, the default of the daemon's settings.
const DAEMON_THREADS: usize = 1;

/// Exit status for bad usage.
const USAGE: u8 = 2;

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("", "part", "run one part only: scale, pure, path or policy", "NAME");
    opts.optopt("", "seed", "seed of all random choices (default 1)", "N");
    opts.optopt("", "threads", "threads of a daemon in part path (default 1)", "N");
    opts.optflag(
        "",
        "quick",
        "fewer sizes, shorter runs, and policy only when it is named (under 40 s)",
    );
    opts.optopt("", "plots", "write plots as SVG into this folder", "DIR");
    opts.optflag("", "json", "print the figures as one JSON object");
    opts.optopt("", scale::CHILD_OPTION, "used by the program itself", "SIZE");
    opts.optflag("h", "help", "print this help");
    opts
}

struct Run {
    seed: u64,
    threads: usize,
    quick: bool,
    json: bool,
    plots: Option<PathBuf>,
    figures: Map<String, Value>,
}

impl Run {
    fn keep(&mut self, part: &str, figures: &impl serde::Serialize, text: &str) -> Result<()> {
        self.figures.insert(part.to_owned(), serde_json::to_value(figures)?);
        if !self.json {
            println!("== {part} ==\n{text}");
        }
        Ok(())
    }

    fn scale(&mut self) -> Result<()> {
        let sizes: &[usize] = if self.quick { &QUICK_SIZES } else { &SIZES };
        let report = scale::run(sizes, self.quick)?;
        if let Some(folder) = &self.plots {
            plots::scale(&report, folder)?;
        }
        let text = format!("{}\n{}", scale::table(&report), scale::target_table(&report));
        self.keep("scale", &report, &text)
    }

    fn policy(&mut self) -> Result<()> {
        let both = [TAS_SOUTH, UY_SUR];
        let deployments = if self.quick { &both[..1] } else { &both };
        let options = policy::Options { seed: self.seed, quick: self.quick };
        let report = policy::run(deployments, options)?;
        if let Some(folder) = &self.plots {
            plots::policy(&report, folder)?;
        }
        let tables: Vec<String> = report.iter().map(policy::table).collect();
        self.keep("policy", &report, &tables.join("\n"))
    }

    fn pure(&mut self) -> Result<()> {
        let figures = pure::run(self.seed)?;
        self.keep("pure", &figures, &pure::table(&figures))
    }

    fn path(&mut self) -> Result<()> {
        let rates: &[f64] = if self.quick { &RATES[..2] } else { &RATES };
        let rounds = if self.quick { 1 } else { 4 };
        let report = path::run(rates, rounds, self.threads, self.seed)?;
        if let Some(folder) = &self.plots {
            plots::path(&report, folder)?;
        }
        self.keep("path", &report, &path::table(&report))
    }
}

fn run(matches: &Matches) -> Result<()> {
    if let Some(size) = matches.opt_str(scale::CHILD_OPTION) {
        let figures = scale::measure(scale::parse_child(&size)?)?;
        println!("{}", serde_json::to_string(&figures)?);
        return Ok(());
    }
    let mut run = Run {
        seed: matches.opt_get_default("seed", 1)?,
        threads: matches.opt_get_default("threads", DAEMON_THREADS)?,
        quick: matches.opt_present("quick"),
        json: matches.opt_present("json"),
        plots: matches.opt_str("plots").map(PathBuf::from),
        figures: Map::new(),
    };
    if let Some(folder) = &run.plots {
        std::fs::create_dir_all(folder)?;
    }
    let part = matches.opt_str("part");
    let cores = std::thread::available_parallelism().map_or(0, usize::from);
    let load = process::load_average();
    run.figures.insert(
        "machine".to_owned(),
        json!({"cores": cores, "load_average": load, "seed": run.seed}),
    );
    if !run.json {
        println!("{cores} cores, load average {load:.1} at the start, seed {}", run.seed);
    }
    match part.as_deref() {
        Some("scale") => run.scale()?,
        Some("pure") => run.pure()?,
        Some("path") => run.path()?,
        Some("policy") => run.policy()?,
        Some(other) => bail!("failed to find part `{other}`"),
        None => {
            run.pure()?;
            run.path()?;
            run.scale()?;
            // The owners of keys need 9 s to start, twice for each deployment.
            if !run.quick {
                run.policy()?;
            }
        }
    }
    if run.json {
        println!("{}", Value::Object(run.figures));
    }
    Ok(())
}

fn main() -> ExitCode {
    let opts = options();
    let matches = match opts.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("error: {e}");
            return ExitCode::from(USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage("Usage: measure [options]"));
        return ExitCode::SUCCESS;
    }
    match run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
