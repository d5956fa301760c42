//! `baobabreeld`, the daemon beside a backend server.

use std::process::ExitCode;

use baobabreel_daemon::{Daemon, Settings, settings, telemetry};
use eyre::{Result, WrapErr};
use getopts::Options;
use tokio::runtime::{Builder, Runtime};
use tokio::signal::unix::{SignalKind, signal};

/// Exit status for bad settings or a failed start.
const FAILED: u8 = 1;

/// Exit status for bad usage.
const USAGE: u8 = 2;

/// Exit status when requests were cut at the drain limit.
const CUT: u8 = 3;

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
            return ExitCode::from(USAGE);
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
        return ExitCode::from(USAGE);
    };
    let settings = match read_settings(&file) {
        Ok(settings) => settings,
        Err(e) => {
            eprintln!("{e:#}");
            return ExitCode::from(FAILED);
        }
    };
    if matches.opt_present("check-settings") {
        println!("{file}: good");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(CUT),
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::from(FAILED)
        }
    }
}

fn read_settings(file: &str) -> Result<Settings> {
    let text = std::fs::read_to_string(file).wrap_err_with(|| format!("failed to read {file}"))?;
    Ok(settings::parse(file, &text)?)
}

/// With one thread, tasks wake each other without a system call, which shortens each hop.
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

fn run(settings: Settings) -> Result<bool> {
    let _writes_the_rest = telemetry::init_logs(&settings.log_filter)?;
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
