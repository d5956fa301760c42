//! Guards the process fixtures, and the journal that must survive a kill.

mod support;

use std::net::{Ipv4Addr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use baobabreel_test_support::backend::{WorkResult, parse_journal};
use baobabreel_test_support::process::{
    ChildProcess, ChildSettings, Signal, free_port, target_binary,
};
use support::{client, send, until};

const LIMIT: Duration = Duration::from_secs(30);

async fn start_backend(journal: &std::path::Path) -> ChildProcess {
    let settings = ChildSettings::new(target_binary("backend").unwrap())
        .arg("--service=bidding")
        .arg(format!("--listen=127.0.0.1:{}", free_port()))
        .arg("--journal")
        .arg(journal);
    ChildProcess::start(settings).await.unwrap()
}

/// Guards against a journal that is lost with the process, and against signals that are not sent.
#[tokio::test]
async fn stop_continue_and_kill_act_on_the_child_and_the_journal_survives() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    let mut child = start_backend(&path).await;
    let url = format!("http://{}/w", child.ready_field("address").unwrap());
    let http = client();
    child.signal(Signal::Stop).unwrap();
    let mut answer = Box::pin(send(&http, "GET", &url, &[], ""));
    tokio::time::timeout(Duration::from_millis(200), &mut answer).await.unwrap_err();
    child.signal(Signal::Continue).unwrap();
    assert_eq!((&mut answer).await.unwrap().status, 200);
    drop(answer);

    let call = tokio::spawn(async move {
        send(&http, "GET", &url, &[("x-work-us", "60000000")], "").await.is_err()
    });
    let journal = || parse_journal(&std::fs::read_to_string(&path).unwrap()).unwrap();
    until(|| journal().len() == 2).await;
    child.signal(Signal::Kill).unwrap();
    assert!(!child.wait(LIMIT).await.unwrap().success());
    assert!(call.await.unwrap());
    let results: Vec<WorkResult> = journal().iter().map(|entry| entry.result).collect();
    assert_eq!(results, [WorkResult::Finished, WorkResult::Open]);
    let ended = child.signal(Signal::Kill).unwrap_err().to_string();
    assert_eq!(ended, "failed to send Kill: the child has ended");
}

/// Guards against a SIGTERM that interrupts running work.
#[tokio::test]
async fn a_terminated_backend_finishes_its_work() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("journal");
    let mut child = start_backend(&path).await;
    let url = format!("http://{}/w", child.ready_field("address").unwrap());
    let call = tokio::spawn(async move {
        send(&client(), "GET", &url, &[("x-work-us", "300000")], "").await.unwrap().status
    });
    until(|| !std::fs::read_to_string(&path).unwrap().is_empty()).await;
    child.signal(Signal::Terminate).unwrap();
    assert!(child.wait(LIMIT).await.unwrap().success());
    assert_eq!(call.await.unwrap(), 200);
}

/// Guards against a start that hangs, or hides the output, when the child fails.
#[tokio::test]
async fn a_child_that_ends_before_it_is_ready_is_an_error_with_its_output() {
    let settings = ChildSettings::new(target_binary("backend").unwrap());
    let error = ChildProcess::start(settings).await.unwrap_err().to_string();
    assert!(error.contains("the child closed its output"), "{error}");
    assert!(error.contains("option --service is missing"), "{error}");
}

/// Guards against children that outlive a failed test and disturb the next ones.
#[tokio::test]
async fn a_dropped_child_is_killed() {
    let folder = tempfile::tempdir().unwrap();
    let child = start_backend(&folder.path().join("journal")).await;
    let address = child.ready_field("address").unwrap().to_owned();
    std::net::TcpStream::connect(&address).unwrap();
    drop(child);
    until(|| std::net::TcpStream::connect(&address).is_err()).await;
}

/// Guards against a port that is in use though it was free, as a child that another test starts at this moment has
/// inherited the socket that probed it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn port_stays_free_while_children_start() {
    let stop = Arc::new(AtomicBool::new(false));
    let starting: Vec<_> = (0..4)
        .map(|_| {
            let stop = Arc::clone(&stop);
            tokio::spawn(async move {
                while !stop.load(Ordering::Relaxed) {
                    let settings = ChildSettings::new("/bin/true").ready_limit(None);
                    ChildProcess::start(settings).await.expect("it starts");
                }
            })
        })
        .collect();
    let in_use: Vec<_> = (0..5_000)
        .map(|_| free_port())
        .filter(|port| TcpListener::bind((Ipv4Addr::LOCALHOST, *port)).is_err())
        .collect();
    stop.store(true, Ordering::Relaxed);
    for task in starting {
        task.await.expect("no panic");
    }
    assert!(in_use.is_empty(), "{in_use:?}");
}
