//! `baobabreeld`, the daemon that runs beside a backend server.
//!
//! The command reads a settings file, starts the daemon, and drains it on SIGTERM or SIGINT.

use std::process::ExitCode;

use baobabreel_daemon::{Daemon, Settings, settings, telemetry};
use eyre::{Result, WrapErr};
use getopts::Options;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status for invalid settings or a failed start.
const EXIT_FAILURE: u8 = 1;

/// Exit status for invalid command-line arguments.
const EXIT_USAGE: u8 = 2;

/// Exit status when requests were still running at the drain limit and were aborted.
const EXIT_REQUESTS_ABORTED: u8 = 3;

fn options() -> Options {
    let mut opts = Options::new();
    opts.optopt("s", "settings", "settings file, JSON with comments", "FILE");
    opts.optflag("", "check-settings", "check the settings file and exit");
    opts.optflag("h", "help", "print this help");
    opts.optflag("V", "version", "print the version");
    opts
}

fn main() -> ExitCode {
    let opts = options();
    let matches = match opts.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("error: {e}");
            return ExitCode::from(EXIT_USAGE);
        }
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage("Usage: baobabreeld --settings FILE [--check-settings]"));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("baobabreeld {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let Some(file) = matches.opt_str("settings") else {
        eprintln!("error: --settings FILE is missing; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e:#}");
            return ExitCode::from(EXIT_FAILURE);
        }
    };
    if matches.opt_present("check-settings") {
        println!("{file}: good");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_REQUESTS_ABORTED),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

fn read_settings(file: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("failed to read {file}"))?;
    Ok(settings::parse(file, &text)?)
}

/// Builds the runtime with `threads` worker threads.
///
/// A single thread gets the current-thread scheduler, in which tasks wake each other without a
/// system call. This lowers the latency that a request gains at each daemon on its way.
fn build_runtime(threads: usize) -> std::io::Result<Runtime> {
    let mut builder = match threads {
        1 => Builder::new_current_thread(),
        _ => Builder::new_multi_thread(),
    };
    if threads > 1 {
        builder.worker_threads(threads);
    }
    builder.enable_all().build()
}

/// Runs the daemon until SIGTERM or SIGINT; returns whether all requests ended before the drain
/// limit.
fn run(settings: Settings) -> Result<bool> {
    let _log_guard = telemetry::init_logs(&settings.log_filter)?;
    let runtime = build_runtime(settings.threads).wrap_err("failed to start the runtime")?;
    runtime.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).wrap_err("failed to catch SIGTERM")?;
        let mut interrupt = signal(SignalKind::interrupt()).wrap_err("failed to catch SIGINT")?;
        let daemon = Daemon::start(settings).await?;
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        Ok(daemon.shutdown().await)
    })
}
