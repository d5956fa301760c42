//! Configuration documents that daemons hand to each other.

use std::time::{Duration, Instant};

use baobabreel_core::config::{CallerLimits, Document};
use baobabreel_daemon::settings::{self, ConfigSource};
use baobabreel_daemon::{Daemon, Handle};
use baobabreel_test_support::mesh::{NodeSpec, settings_text};
use baobabreel_testsuite::wait_until;

/// Number of daemons, of which two do not read the platform for the others.
const DAEMONS: usize = 5;

/// Time for a document to reach all daemons by notices. Membership messages take about a second.
const NOTICE_LIMIT: Duration = Duration::from_millis(400);

fn document(version: u64) -> Document {
    Document {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: CallerLimits {
            header_bytes: 16 * 1_024,
            body_bytes: 1_024 * 1_024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        },
        tenants: None,
    }
}

/// Starts daemons of one data centre that know each other and serve the first document.
async fn start_daemons() -> Vec<Daemon> {
    let mut daemons: Vec<Daemon> = Vec::new();
    for i in 0..DAEMONS {
        let spec = NodeSpec::new(&format!("daemon-{i}"), "hobart-a", "bidding");
        let seeds: Vec<_> = daemons.iter().take(1).map(|first| first.addresses().peers).collect();
        let text = settings_text(&spec, "http://127.0.0.1:1", &seeds);
        let mut settings = settings::parse(&spec.name, &text).expect("settings");
        settings.source = ConfigSource::Documents;
        daemons.push(Daemon::start(settings).await.expect("the daemon failed to start"));
    }
    for daemon in &daemons {
        let handle = daemon.handle();
        wait_until("all daemons know each other", async || handle.live_members() == DAEMONS).await;
        handle.offer_document(document(1));
    }
    daemons
}

async fn wait_for_version(handles: &[Handle], version: u64) {
    for handle in handles {
        wait_until("the document", async || handle.document_version() == Some(version)).await;
    }
}

/// Guards against a daemon that reads a newer document by itself, as it hears from nobody or the platform does not
/// answer the others, and keeps it to itself.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn document_that_a_daemon_read_out_of_turn_reaches_all_others_at_once() {
    let daemons = start_daemons().await;
    let handles: Vec<Handle> = daemons.iter().map(Daemon::handle).collect();
    wait_for_version(&handles, 1).await;
    let reader = handles.iter().find(|handle| handle.read_reason().is_none());
    let begin = Instant::now();
    reader.expect("a daemon that need not read").offer_document(document(2));
    wait_for_version(&handles, 2).await;
    let time = begin.elapsed();
    assert!(time < NOTICE_LIMIT, "all have the document after {time:?}");
}
