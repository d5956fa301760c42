//! Requests with idempotency keys through several daemons.
//!
//! Every test ends with a look at the journals: no key ran twice.

mod keyed_support;

use std::net::SocketAddr;
use std::time::Duration;

use baobabreel_client::wire::{BatchWire, PushWire, encode};
use baobabreel_daemon::{Daemon, settings};
use baobabreel_test_support::backend::{BackendServer, JournalEntry, WorkResult};
use baobabreel_test_support::log::{LogServer, LogSettings, Outage};
use baobabreel_test_support::mesh::{Mesh, NodeSpec, settings_text};
use baobabreel_test_support::net::Relay;
use baobabreel_test_support::process::{Signal, free_port};
use baobabreel_testsuite::{
    Fleet, LIMIT, first_change, h2, journals, ready_mesh, specs, wait_until,
};
use http_body_util::BodyExt;
use keyed_support::*;

/// Guards against a second run when a caller repeats a request through another daemon, at the same
/// instant or later, and against a fingerprint that leaves something out.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn repeats_through_other_daemons_run_once() {
    let mesh = ready_mesh(specs()).await;
    let (http, to) = (client(), mesh.callers());
    warm_up(&http, to[0], &NAMES).await;
    for i in 0..12 {
        let key = uuid_v7(i);
        let tasks: Vec<_> = to.iter().map(|to| spawn(*to, &key, "50000")).collect();
        let mut race = Vec::new();
        for task in tasks {
            race.push(task.await.expect("no panic"));
        }
        let ran: Vec<_> = race.iter().filter(|res| kind(res) == "ran").collect();
        assert_eq!(ran.len(), 1, "{race:?}");
        let again = post(&http, to[i % 4], &key).await;
        assert_eq!(kind(&again), "replayed");
        assert_eq!(again.body(), ran[0].body());
        let other = send(&http, to[i % 4], &key, "another bid", &[]).await;
        assert_eq!((other.status().as_u16(), &*kind(&other)), (422, "key_reused"));
    }
    let large = "x".repeat(65 * 1024);
    let res = send(&http, to[0], &uuid_v7(99), &large, &FIRST).await;
    assert_eq!(kind(&res), "body_too_large");
    runs_once(&journals(&mesh));
}

/// Guards against a run that ends with its caller, or whose outcome is lost with it, and against
/// answers that are replayed with the headers of their first passage.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn run_goes_on_when_its_caller_goes_away() {
    let mesh = ready_mesh(specs()).await;
    let (http, to) = (client(), mesh.callers());
    warm_up(&http, to[0], &NAMES).await;
    for name in NAMES {
        let key = key_of(name, &NAMES);
        let first = spawn(to[0], &key, "1500000");
        wait_until("it runs", async || is_running(&mesh, &key)).await;
        let res = post(&http, to[1], &key).await;
        assert_eq!((res.status().as_u16(), &*kind(&res)), (409, "in_progress"));
        first.abort();
        wait_until("the outcome is recorded", async || ask(&http, to[2], &key).await == "replayed")
            .await;
        let res = post(&http, to[3], &key).await;
        assert_eq!(header(&res, "traceparent"), "", "{res:?}");
    }
    runs_once(&journals(&mesh));
    let cancelled = |entry: &JournalEntry| entry.result == WorkResult::Cancelled;
    assert!(!journals(&mesh).iter().flatten().any(cancelled));
}

/// Guards against keys that wait for, or are refused by, the full backend server of their owner.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn full_owner_runs_a_key_at_another_backend_server() {
    let specs = specs().into_iter();
    let specs = specs.map(|spec| spec.backend(|backend| backend.slots(1)));
    let mesh = ready_mesh(specs.collect()).await;
    let (http, to) = (client(), mesh.callers());
    warm_up(&http, to[0], &NAMES).await;
    let ran_at = |key: &str| {
        let has = |entry: &JournalEntry| entry.idempotency_key.as_deref() == Some(key);
        let journals = journals(&mesh);
        journals.iter().position(|entries| entries.iter().any(has))
    };
    let long = key_of("a1", &NAMES);
    let job = spawn(to[1], &long, "4000000");
    wait_until("it runs", async || is_running(&mesh, &long)).await;
    let full = ran_at(&long).expect("it runs");
    let key = key_of(NAMES[full], &NAMES);
    assert_eq!(ask(&http, to[2], &key).await, "ran");
    assert!(!job.is_finished(), "the key waited for the job");
    assert_ne!(ran_at(&key), Some(full));
    assert_eq!(ask(&http, to[3], &key).await, "replayed");
    let job = job.await.expect("no panic");
    assert_eq!(kind(&job), "ran", "{job:?}");
    runs_once(&journals(&mesh));
}

/// Guards against keys that stop working when the log is out of reach although their owner is
/// there, and against a daemon that acts as an owner without a lease.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn log_outage_stops_chosen_keys_and_not_issued_ones() {
    let mesh = ready_mesh(specs()).await;
    let (http, to) = (client(), mesh.callers());
    warm_up(&http, to[0], &NAMES).await;
    let before = run_keys(&http, to[0], 4).await;
    let uri = format!("http://{}/.well-known/baobabreel/key", to[0]);
    let issued = http.get(uri.parse().expect("uri")).await.expect("a key");
    let issued = issued.into_body().collect().await.expect("a key").to_bytes();
    let issued = std::str::from_utf8(&issued).expect("text").trim();
    mesh.log.set_faults(|faults| faults.outage = Outage::Close);
    tokio::time::sleep(Duration::from_secs(6)).await;
    let refused = post(&http, to[1], "during").await;
    assert_eq!((refused.status().as_u16(), &*kind(&refused)), (503, "owner_changing"));
    assert_eq!(header(&refused, "retry-after"), "2");
    let first = send(&http, to[1], "during", "bid", &FIRST).await;
    assert_eq!(kind(&first), "not_owner");
    assert_eq!(ask(&http, to[2], issued).await, "ran");
    assert_eq!(ask(&http, to[1], issued).await, "replayed");
    assert_eq!(repeat(&http, &to, &before, SHORT).await, ["replayed"]);
    let runs = runs_once(&journals(&mesh));
    assert_eq!(runs.get("during"), None);
}

/// Guards against a second run after the owner of a key crashed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn crashed_owner_leaves_no_second_run() {
    let mut mesh = ready_mesh(specs()).await;
    let http = client();
    warm_up(&http, mesh.callers()[0], &NAMES).await;
    let keys = run_keys(&http, mesh.callers()[0], 12).await;
    mesh.crash(2);
    let to = mesh.callers();
    // The death, its confirmation and the wait of the next owners take about 25 s.
    wait_until("the next owners take over", async || {
        repeat(&http, &to, &keys, SHORT).await == ["outcome_unknown", "replayed"]
    })
    .await;
    warm_up(&http, to[0], &["a1", "a2", "b2"]).await;
    runs_once(&journals(&mesh));
}

/// Guards against a graceful end that hands keys over late or with a second run, and against a
/// drain in which nobody can ask for outcomes.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn leaving_owner_hands_its_keys_over_at_once() {
    let mut mesh = ready_mesh(specs()).await;
    let (http, to) = (client(), mesh.callers());
    warm_up(&http, to[0], &NAMES).await;
    let keys = run_keys(&http, to[0], 12).await;
    let long = key_of("a1", &NAMES);
    let job = spawn(to[0], &long, "4500000");
    wait_until("it runs", async || is_running(&mesh, &long)).await;
    let leaving = mesh.nodes[0].daemon.take().expect("it runs");
    let leaving = tokio::spawn(leaving.shutdown());
    wait_until("the leave entry", async || has_entry(&mesh.log, "leave")).await;
    let others = &to[1..];
    wait_until("the next owner takes over", async || {
        ask(&http, others[0], &key_of("a1", &NAMES)).await == "ran"
    })
    .await;
    assert!(!leaving.is_finished(), "it still drains");
    assert_eq!(ask(&http, others[1], &long).await, "in_progress");
    let kinds = repeat(&http, others, &keys, Duration::from_millis(500)).await;
    assert_eq!(kinds, ["replayed"], "the next owner asks the one that leaves");
    let job = job.await.expect("no panic");
    assert_eq!(kind(&job), "ran", "{job:?}");
    assert!(leaving.await.expect("no panic"), "nothing is cut");
    let kinds = repeat(&http, others, &keys, Duration::from_secs(3)).await;
    assert_eq!(kinds, ["outcome_unknown", "replayed"]);
    runs_once(&journals(&mesh));
}

/// Guards against second runs by daemons that all start again without memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn mass_restart_runs_nothing_again() {
    let mut mesh = ready_mesh(specs()).await;
    let http = client();
    warm_up(&http, mesh.callers()[0], &NAMES).await;
    let mut keys = run_keys(&http, mesh.callers()[0], 12).await;
    assert_eq!(ask(&http, mesh.callers()[0], "opaque").await, "ran");
    keys.push("opaque".to_owned());
    let mut journals_of_both = journals(&mesh);
    (0..4).for_each(|node| mesh.crash(node));
    for node in 0..4 {
        mesh.restart(node).await.expect("it starts");
    }
    mesh.wait_ready(1, LIMIT).await.expect("mesh is ready");
    let to = mesh.callers();
    let kinds = repeat(&http, &to, &keys, TAKEOVER + Duration::from_secs(5)).await;
    assert_eq!(kinds, ["outcome_unknown", "owner_changing"]);
    warm_up(&http, to[0], &NAMES).await;
    journals_of_both.extend(journals(&mesh));
    runs_once(&journals_of_both);
}

/// Guards against daemons that never own keys, or keep them after their end, when the log loses
/// the answers to their entries.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lost_answers_of_the_log_change_nothing() {
    let log = LogServer::start(LogSettings::new()).await;
    let log = log.expect("log starts");
    log.set_faults(|faults| faults.lose_probability = 1.0);
    let mut mesh = Mesh::start_with(log, specs()).await.expect("mesh starts");
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    let (http, to) = (client(), mesh.callers());
    warm_up(&http, to[0], &NAMES).await;
    let keys = run_keys(&http, to[0], 8).await;
    let leaving = mesh.nodes[0].daemon.take().expect("it runs");
    assert!(leaving.shutdown().await);
    warm_up(&http, to[1], &NAMES[1..]).await;
    let kinds = repeat(&http, &to[1..], &keys, Duration::from_secs(2)).await;
    assert!(kinds.iter().all(|kind| kind != "owner_changing"), "{kinds:?}");
    let entries = mesh.log.records("members").len();
    assert!(entries < 20, "{entries} entries");
    runs_once(&journals(&mesh));
}

/// Guards against a second run by an owner that was paused until after its eviction, or by its
/// successor.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn owner_that_wakes_after_its_eviction_runs_nothing_again() {
    let with_decisions = "\"log_filter\": \"info,baobabreel_daemon::keys=debug\"";
    let specs = specs().into_iter().map(|spec| spec.setting(with_decisions));
    let fleet = Fleet::ready(specs.zip(["catalogue"; 4]).collect()).await;
    let http = client();
    let to: Vec<SocketAddr> = fleet.nodes.iter().map(|node| node.callers).collect();
    warm_up(&http, to[0], &NAMES).await;
    let keys = run_keys(&http, to[0], 12).await;
    let paused = &fleet.nodes[3].daemon;
    paused.signal(Signal::Stop).expect("it runs");
    wait_until("the eviction", async || {
        repeat(&http, &to[..3], &keys, SHORT).await;
        has_entry(&fleet.log, "evict")
    })
    .await;
    warm_up(&http, to[0], &NAMES).await;
    let meanwhile = run_keys(&http, to[0], 4).await;
    paused.signal(Signal::Continue).expect("it runs");
    let both = [keys, meanwhile].concat();
    repeat(&http, &to, &both, TAKEOVER).await;
    wait_until("it owns its keys again", async || {
        let kinds = repeat(&http, &to, &both, SHORT).await;
        eprintln!("repeats were answered: {kinds:?}");
        kinds == ["replayed"]
    })
    .await;
    warm_up(&http, to[3], &NAMES).await;
    runs_once(&fleet.journals());
}

/// Guards against a second run when one data centre is cut off from the other and from the log.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn partition_lets_one_side_run_a_key() {
    let names = ["a1", "b1"];
    let ports = [free_port(), free_port()].map(|port| SocketAddr::from(([127, 0, 0, 1], port)));
    let spec = |i: usize| {
        let data_centre = ["hobart-a", "hobart-b"][i];
        let advertised = format!("\"advertise_peers\": \"{}\"", ports[i]);
        NodeSpec::new(names[i], data_centre, "catalogue").setting(advertised)
    };
    let mesh = Mesh::start(vec![spec(0)]).await.expect("mesh starts");
    // Without seeds, each knows the other from the log and under the address of its relay only.
    let text = settings_text(&spec(1), &mesh.log.url(), &[]);
    let other = Daemon::start(settings::parse("b1", &text).expect("settings")).await;
    let other = other.expect("it starts");
    let announce = format!("http://{}", other.addresses().backend);
    let backend = BackendServer::start(spec(1).backend.announce_url(announce)).await;
    let backend = backend.expect("it starts");
    let peers = [mesh.nodes[0].addresses().peers, other.addresses().peers];
    let mut relays = Vec::new();
    for (port, peer) in ports.into_iter().zip(peers) {
        relays.push(Relay::start_on(port, peer).await.expect("it starts"));
    }
    let (http, to) = (client(), [mesh.callers()[0], other.addresses().callers]);
    mesh.publish(first_change());
    warm_up(&http, to[0], &names).await;
    warm_up(&http, to[1], &names).await;
    let before = [key_of("a1", &names), key_of("b1", &names)];
    for (i, key) in before.iter().enumerate() {
        assert_eq!(ask(&http, to[i], key).await, "ran");
    }
    mesh.log.set_faults(|faults| faults.cut_clients.extend(["b1".to_owned()]));
    for relay in &relays {
        relay.refuse(true).await;
        relay.cut();
    }
    let incarnation = other.context().identity.incarnation;
    let evict = format!(r#"{{"type":"evict","id":"b1","incarnation":{incarnation}}}"#);
    mesh.log.append("members", &evict);
    repeat(&http, &to, &before, TAKEOVER + Duration::from_secs(1)).await;
    let during = [key_of("a1", &names), key_of("b1", &names)];
    for key in &during {
        assert_eq!(ask(&http, to[1], key).await, "owner_changing");
        assert_eq!(ask(&http, to[0], key).await, "ran");
        assert_eq!(ask(&http, to[1], key).await, "owner_changing");
    }
    assert_eq!(ask(&http, to[0], &before[1]).await, "outcome_unknown");
    assert_eq!(ask(&http, to[1], &before[1]).await, "replayed");
    mesh.log.set_faults(|faults| faults.cut_clients.clear());
    for relay in &relays {
        relay.refuse(false).await;
    }
    let all = [before, during].concat();
    wait_until("both sides agree", async || repeat(&http, &to, &all, SHORT).await == ["replayed"])
        .await;
    let mut journals = journals(&mesh);
    journals.push(backend.journal());
    runs_once(&journals);
}

/// Tells a daemon, as a peer would, that stream `members` has reached `next`.
async fn push_position(to: SocketAddr, generation: u64, next: u64) {
    let nothing = |generation, first| BatchWire { generation, first, entries: Vec::new() };
    let push = PushWire {
        from: "b1".to_owned(),
        root: "b1".to_owned(),
        round: 1,
        config: nothing(0, 1),
        members: nothing(generation, next),
        config_proof: None,
        members_proof: None,
    };
    let body = encode(&push).expect("it can be encoded");
    let answer = h2(to, "/peer/v1/entries", &[], body).await;
    assert_eq!(answer.code(), 200, "{answer:?}");
}

fn append_member(log: &LogServer, entry: &str, name: &str, incarnation: u64) {
    let address = format!("127.0.0.1:{}", free_port());
    let place = r#""data_centre":"hobart-b","service":"catalogue""#;
    let what = format!(r#""type":"{entry}","id":"{name}","incarnation":{incarnation}"#);
    log.append("members", &format!(r#"{{{what},{place},"peer_addr":"{address}"}}"#));
}

/// Guards against a fold of the registry that begins where a peer stands: the owners registered
/// before that were not asked, and their keys ran again after restarts and pauses.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn registry_is_folded_from_the_first_entry() {
    let log = LogServer::start(LogSettings::new()).await.expect("log starts");
    append_member(&log, "join", "a1", 1);
    log.set_faults(|faults| faults.refuse = true);
    let spec = NodeSpec::new("a1", "hobart-a", "catalogue");
    let mesh = Mesh::start_with(log, vec![spec]).await.expect("mesh starts");
    let peers = mesh.nodes[0].addresses().peers;
    push_position(peers, 1, 2).await;
    mesh.log.set_faults(|faults| faults.refuse = false);
    let offset = mesh.publish(first_change());
    mesh.wait_ready(offset, LIMIT).await.expect("mesh is ready");
    let (http, to) = (client(), mesh.callers());
    let before = key_of("a1", &["a1"]);
    warm_up(&http, to[0], &["a1"]).await;
    assert_eq!(ask(&http, to[0], &before).await, "outcome_unknown", "the first a1 may have run it");
    // Another owner comes and goes in the log that replaces this one.
    mesh.log.set_faults(|faults| faults.refuse = true);
    let generation = mesh.log.replace_generation();
    wait_until("its lease ends", async || {
        ask(&http, to[0], &key_of("a1", &["a1"])).await == "owner_changing"
    })
    .await;
    append_member(&mesh.log, "join", "b1", 1);
    let during = key_of("b1", &["a1", "b1"]);
    append_member(&mesh.log, "evict", "b1", 1);
    push_position(peers, generation, 3).await;
    mesh.log.set_faults(|faults| faults.refuse = false);
    wait_until("it knows that b1 may have run it", async || {
        repeat(&http, &to, std::slice::from_ref(&during), SHORT).await == ["outcome_unknown"]
    })
    .await;
    runs_once(&journals(&mesh));
}
