//! Process form of the log stand-in; prints a JSON line once it listens.

use std::time::Duration;

use baobabreel_test_support::log::{LogFaults, LogServer, LogSettings};
use baobabreel_test_support::options::{self, value};
use eyre::WrapErr;
use getopts::{Matches, Options};

fn options() -> Options {
    let mut options = Options::new();
    options.optflag("h", "help", "print this help");
    options.optopt("", "listen", "address to listen on (default 127.0.0.1:0)", "ADDR");
    options.optopt("", "seed", "seed of the faults", "N");
    options.optopt("", "appends-per-second", "most appends a second", "N");
    options.optopt("", "retain-count", "most records that a stream retains", "N");
    options.optopt("", "retain-ms", "longest time that a record is retained", "MS");
    options.optopt("", "delay-ms", "delay of every request", "MS");
    options.optopt("", "lose-probability", "probability that an append's answer is lost", "P");
    options
}

fn settings(matches: &Matches) -> eyre::Result<LogSettings> {
    let faults = LogFaults {
        appends_per_second: value(matches, "appends-per-second")?,
        retain_count: value(matches, "retain-count")?,
        retain_age: value(matches, "retain-ms")?.map(Duration::from_millis),
        delay: Duration::from_millis(value(matches, "delay-ms")?.unwrap_or(0)),
        lose_probability: value(matches, "lose-probability")?.unwrap_or(0.0),
        ..LogFaults::default()
    };
    let mut settings = LogSettings::new().faults(faults);
    if let Some(listen) = value(matches, "listen")? {
        settings = settings.listen(listen);
    }
    if let Some(seed) = value(matches, "seed")? {
        settings = settings.seed(seed);
    }
    Ok(settings)
}

#[tokio::main]
async fn main() -> eyre::Result<()> {
    let Some(matches) = options::parse(&options(), "log")? else {
        return Ok(());
    };
    let log = LogServer::start(settings(&matches)?).await?;
    println!("{}", serde_json::json!({ "event": "ready", "address": log.addr().to_string() }));
    tokio::signal::ctrl_c().await.wrap_err("failed to wait for a signal")?;
    log.stop().await;
    Ok(())
}
