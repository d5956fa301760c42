//! A small mesh on loopback: publishes a configuration, serves requests while it changes, refuses a
//! bad change, and prints where each record stands.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use baobabreel_bench::table::{format, row};
use baobabreel_client::transport::HttpClient;
use baobabreel_client::wire::StatusDoc;
use baobabreel_core::config::{ConfigState, Kind, Verdict, Version};
use baobabreel_test_support::mesh::{ChangeBuilder, Mesh, NodeSpec};
use eyre::{Result, bail, ensure};
use getopts::Options;
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(30);

/// Time between two requests of one caller.
const REQUEST_PAUSE: Duration = Duration::from_millis(5);

/// Time for which requests flow before and after the second change.
const FLOW_TIME: Duration = Duration::from_millis(700);

fn specs() -> Vec<NodeSpec> {
    vec![
        NodeSpec::new("catalogue-1", "hobart-a", "catalogue"),
        NodeSpec::new("bidding-1", "hobart-a", "bidding"),
        NodeSpec::new("catalogue-2", "hobart-b", "catalogue"),
        NodeSpec::new("bidding-2", "hobart-b", "bidding"),
    ]
}

#[derive(Debug, Default)]
struct Counts {
    answered: AtomicU64,
    failed: AtomicU64,
    stop: AtomicBool,
}

/// Sends look-ups one after the other until it is told to stop.
async fn call(to: SocketAddr, counts: Arc<Counts>) {
    let http = HttpClient::new();
    let uri = format!("http://{to}/lots/1");
    while !counts.stop.load(Ordering::Acquire) {
        let reply = http.get(&uri, LIMIT).await;
        let counter = match reply {
            Ok(reply) if reply.status.is_success() => &counts.answered,
            _ => &counts.failed,
        };
        counter.fetch_add(1, Ordering::AcqRel);
        tokio::time::sleep(REQUEST_PAUSE).await;
    }
}

/// Folds the log as every daemon does and returns the verdict on one entry.
fn verdict_at(mesh: &Mesh, offset: u64) -> Result<Verdict> {
    let mut state = ConfigState::new(1);
    for record in mesh.log.records("config") {
        let verdict = state.fold(record.offset, &record.data)?;
        if record.offset == offset {
            return Ok(verdict);
        }
    }
    bail!("the log has no offset {offset}")
}

async fn print_standing(mesh: &Mesh) -> Result<()> {
    let mut statuses: Vec<StatusDoc> = Vec::new();
    for node in &mesh.nodes {
        statuses.push(node.operator().status().await?);
    }
    let mut daemons = vec![row(["DAEMON", "DATA CENTRE", "STATE", "VERSION", "MEMBERS"])];
    for status in &statuses {
        let (version, members) = (status.version.to_string(), status.members.to_string());
        let state = format!("{:?}", status.state).to_lowercase();
        daemons.push(row([&status.daemon, &status.data_centre, &state, &version, &members]));
    }
    print!("{}", format(&daemons));
    println!();
    let operator = mesh.nodes[0].operator();
    let records = operator.records().await?;
    let mut rows = vec![row(["RECORD", "REVISION", "SCHEMA", "IN FORCE ON"])];
    for record in &records.records {
        let revision = record.record.revision;
        let holders = statuses.iter().filter(|status| status.version >= revision).count();
        let schema = record.schema_in_use.map_or("-".to_owned(), |schema| schema.to_string());
        let share = format!("{holders} of {}", statuses.len());
        rows.push(row([&record.key.to_string(), &revision.to_string(), &schema, &share]));
    }
    print!("{}", format(&rows));
    Ok(())
}

async fn run(once: bool) -> Result<()> {
    let mesh = Mesh::start(specs()).await?;
    let first = ChangeBuilder::new("first")
        .service("catalogue")
        .service("bidding")
        .route("lots", "/lots", "catalogue", true)
        .route("bids", "/bids", "bidding", false)
        .build();
    let offset = mesh.publish(first);
    let ready = mesh.wait_ready(offset, LIMIT).await?;
    println!("4 daemons in 2 data centres are ready after {} ms", ready.as_millis());

    let counts = Arc::new(Counts::default());
    let callers: Vec<_> =
        mesh.callers().into_iter().map(|to| tokio::spawn(call(to, Arc::clone(&counts)))).collect();
    tokio::time::sleep(FLOW_TIME).await;
    let second = ChangeBuilder::new("second")
        .expect(Kind::Route, "lots", Some(Version { generation: 1, offset }))
        .class_route("lots", "/lots", "catalogue", "lookup")
        .build();
    let offset = mesh.publish(second);
    let took = mesh.wait_version(offset, LIMIT).await?;
    println!("change `second` is in force on every daemon after {} ms", took.as_millis());

    let bad = ChangeBuilder::new("bad")
        .upsert(
            Kind::Route,
            "yard",
            vec![(
                1,
                json!({"path_prefix": "/yard", "service": "yard", "idempotent": true, "timeout_ms": 100}),
                &["yard"],
            )],
        )
        .build();
    let offset = mesh.publish(bad);
    mesh.wait_version(offset, LIMIT).await?;
    match verdict_at(&mesh, offset)? {
        Verdict::Rejected { reason, .. } => println!("change `bad` is rejected: {reason}"),
        other => bail!("change `bad` was not rejected: {other:?}"),
    }
    tokio::time::sleep(FLOW_TIME).await;
    counts.stop.store(true, Ordering::Release);
    for caller in callers {
        caller.await?;
    }
    let (answered, failed) =
        (counts.answered.load(Ordering::Acquire), counts.failed.load(Ordering::Acquire));
    println!("{answered} requests answered, {failed} failed, while the configuration changed\n");
    print_standing(&mesh).await?;
    ensure!(failed == 0, "requests failed while the configuration changed");
    if !once {
        println!("\nThe mesh goes on; end it with Ctrl-C.");
        for node in &mesh.nodes {
            let addresses = node.addresses();
            println!(
                "{}: callers http://{}/lots/1, operators http://{}/status",
                node.spec.name, addresses.callers, addresses.operators
            );
        }
        println!("log {}", mesh.log.url());
        tokio::signal::ctrl_c().await?;
    }
    Ok(())
}

fn main() -> ExitCode {
    let mut opts = Options::new();
    opts.optflag("", "once", "exit after the demonstration");
    opts.optflag("h", "help", "print this help");
    let matches = match opts.parse(std::env::args().skip(1)) {
        Ok(matches) => matches,
        Err(e) => {
            eprintln!("error: {e}");
            return ExitCode::from(2);
        }
    };
    if matches.opt_present("help") {
        print!("{}", opts.usage("Usage: quickstart [--once]"));
        return ExitCode::SUCCESS;
    }
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => {
            eprintln!("error: failed to start the runtime: {e}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(run(matches.opt_present("once"))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e:#}");
            ExitCode::FAILURE
        }
    }
}
