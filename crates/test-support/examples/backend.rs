//! Process form of the backend server stand-in; prints a JSON line once it listens.
//!
//! SIGTERM drains it: it announces `draining`, finishes what runs and exits.

use std::time::Duration;

use baobabreel_test_support::backend::{BackendServer, BackendSettings, WorkTime};
use baobabreel_test_support::options::{self, value};
use eyre::{OptionExt, WrapErr};
use getopts::{Matches, Options};
use tokio::signal::unix::{SignalKind, signal};

/// Longest time that a drain may take.
const DRAIN_LIMIT: Duration = Duration::from_secs(60);

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "name", "name (default the service)", "NAME");
    options.optopt("", "service", "service (required)", "NAME");
    options.optopt("", "listen", "address to listen on (default 127.0.0.1:0)", "ADDR");
    options.optopt("", "announce-url", "base URL of the daemon's backend listener", "URL");
    options.optopt("", "announce-ms", "time between two announcements (default 1000)", "MS");
    options.optopt("", "slots", "requests that run at the same time (default 10)", "N");
    options.optopt("", "shed-above", "requests over the slots before shedding (default 10)", "N");
    options.optopt("", "cold-ms", "time that it stays cold after the start", "MS");
    options.optopt("", "work-us", "run time of a request (default 1000)", "US");
    options.optopt("", "drain-ms", "least time between SIGTERM and exit (default 0)", "MS");
    options.optopt("", "seed", "seed of the run times", "N");
    options.optopt("", "journal", "file that gets the journal as JSON lines", "FILE");
    options
}

fn settings(matches: &Matches) -> eyre::Result<BackendSettings> {
    let service = matches.opt_str("service").ok_or_eyre("option --service is missing")?;
    let name = matches.opt_str("name").unwrap_or_else(|| service.clone());
    let work_us = value(matches, "work-us")?.unwrap_or(1_000);
    let mut settings = BackendSettings::new(name, service)
        .slots(value(matches, "slots")?.unwrap_or(10))
        .shed_above_slots_by(value(matches, "shed-above")?.unwrap_or(10))
        .cold_start(Duration::from_millis(value(matches, "cold-ms")?.unwrap_or(0)))
        .announce_interval(Duration::from_millis(value(matches, "announce-ms")?.unwrap_or(1_000)))
        .work_time(WorkTime::Fixed(Duration::from_micros(work_us)))
        .seed(value(matches, "seed")?.unwrap_or(1));
    if let Some(listen) = value(matches, "listen")? {
        settings = settings.listen(listen);
    }
    if let Some(url) = matches.opt_str("announce-url") {
        settings = settings.announce_url(url);
    }
    if let Some(path) = matches.opt_str("journal") {
        settings = settings.journal_file(path);
    }
    Ok(settings)
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Some(matches) = options::parse(&options(), "backend")? else {
        return Ok(());
    };
    let drain_ms = value(&matches, "drain-ms")?.unwrap_or(0);
    let mut terminate = signal(SignalKind::terminate()).wrap_err("failed to wait for SIGTERM")?;
    let server = BackendServer::start(settings(&matches)?).await?;
    println!("{}", serde_json::json!({ "event": "ready", "address": server.addr().to_string() }));
    terminate.recv().await;
    server.drain();
    tokio::time::sleep(Duration::from_millis(drain_ms)).await;
    if !server.wait_idle(DRAIN_LIMIT).await {
        eyre::bail!("failed to drain within {DRAIN_LIMIT:?}");
    }
    Ok(())
}
