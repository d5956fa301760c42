//! Replay of recorded traces; each call and each trace states its outcome.

mod simulation;

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use baobabreel_core::idempotency::issue;
use baobabreel_core::registry::Incarnate;
use baobabreel_core::rendezvous;
use serde::Deserialize;
use simulation::{Op, SERVICE, Simulation, WALL_CLOCK_START_MS, uuid};
use std::time::Duration;

#[derive(Debug, Deserialize)]
struct Line {
    /// Milliseconds since the start of the trace.
    at: u64,
    daemon: String,
    op: Op,
    /// Answer to the call, in the end.
    expect: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Stated {
    /// What the trace shows.
    outcome: String,
    /// Daemons that ran each key, in order, for keys that ran.
    runs: BTreeMap<String, Vec<String>>,
}

/// Finds a key for `<name>[@<issue ms>]/<rank order>` or `issued@<issue ms>/<daemon>`.
fn key(label: &str) -> String {
    let (name, order) = label.split_once('/').expect("a rank order");
    let order: Vec<&str> = order.split('>').collect();
    let (name, issued_at) = match name.split_once('@') {
        Some((name, at)) => (name, Some(at.parse().expect("a time in ms"))),
        None => (name, None),
    };
    if let ("issued", Some(at)) = (name, issued_at) {
        let daemon = Incarnate::new(order[0], 1);
        let key =
            issue(&daemon, Duration::from_millis(WALL_CLOCK_START_MS + at), 7).expect("it fits");
        return key.as_str().to_owned();
    }
    let text = |n: u64| issued_at.map_or(format!("{name}-{n}"), |at| uuid(at, n));
    let ranked = |key: &String| {
        let bytes = format!("{SERVICE}\0{key}");
        rendezvous::rank(bytes.as_bytes(), order.iter().copied()) == order
    };
    let found = (0..1_000).map(text).find(ranked);
    found.expect("a key with this rank")
}

fn replay(path: &Path) {
    let text = fs::read_to_string(path).expect("a trace");
    let (lines, stated) = text.trim_end().rsplit_once('\n').expect("an outcome");
    let stated: Stated = serde_json::from_str(stated).expect("an outcome");
    let mut world = Simulation::default();
    let mut expected = Vec::new();
    for (index, line) in lines.lines().enumerate() {
        let mut line: Line = serde_json::from_str(line).expect("an event");
        world.run_until(line.at);
        if let Op::Call(call) | Op::CallOwner(call) = &mut line.op {
            call.id = index;
            call.key = key(&call.key);
            expected.push((index, line.expect.expect("a call states its answer")));
        }
        world.apply(&line.daemon, line.op);
    }
    world.run_until(world.now + 5_000);
    for (index, answer) in expected {
        let found = world.replies.get(&index).copied();
        assert_eq!(found, Some(&*answer), "{path:?}, line {}", index + 1);
    }
    let runs = world.runs.into_iter().map(|((key, _), runs)| (key, runs));
    let runs: BTreeMap<String, Vec<String>> = runs.collect();
    let stated_runs = stated.runs.iter();
    let stated_runs = stated_runs.map(|(label, ids)| (key(label), ids.clone())).collect();
    assert_eq!(runs, stated_runs, "{path:?}: {}", stated.outcome);
    assert_eq!(world.false_not_run_answers, [], "{path:?}: {}", stated.outcome);
}

// Guards against a change of the outcome of a known failure.
#[test]
fn traces_end_as_stated() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut replayed = 0;
    for entry in fs::read_dir(folder).expect("the folder of traces") {
        replay(&entry.expect("an entry").path());
        replayed += 1;
    }
    assert_eq!(replayed, 9);
}
