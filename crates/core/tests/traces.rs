//! Replays the traces in `traces/`. A trace has an event on each line, in which each call has the expected
//! answer, and ends with the expected outcome.

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
struct TraceEvent {
    /// Milliseconds since the start of the trace.
    at: u64,
    daemon: String,
    op: Op,
    /// Expected final answer, for calls.
    expect: Option<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ExpectedOutcome {
    /// Description of the outcome, for failure messages.
    outcome: String,
    /// For each key that ran, the daemons that ran it, in order.
    runs: BTreeMap<String, Vec<String>>,
}

/// Finds an idempotency key for a label of the form `<name>[@<issue ms>]/<rank order>` or
/// `issued@<issue ms>/<daemon>`. The rank order lists daemons separated by `>`; rendezvous hashing of the
/// key yields this order.
fn find_key(label: &str) -> String {
    let (name, order) = label.split_once('/').expect("a label has a rank order");
    let order: Vec<&str> = order.split('>').collect();
    let (name, issued_at) = match name.split_once('@') {
        Some((name, at)) => (name, Some(at.parse().expect("the issue time is in ms"))),
        None => (name, None),
    };
    if let ("issued", Some(at)) = (name, issued_at) {
        let daemon = Incarnate::new(order[0], 1);
        let key = issue(&daemon, Duration::from_millis(WALL_CLOCK_START_MS + at), 7)
            .expect("the parts fit into a key");
        return key.as_str().to_owned();
    }
    let text = |n: u64| issued_at.map_or(format!("{name}-{n}"), |at| uuid(at, n));
    let ranked = |key: &String| {
        let bytes = format!("{SERVICE}\0{key}");
        rendezvous::rank(bytes.as_bytes(), order.iter().copied()) == order
    };
    let found = (0..1_000).map(text).find(ranked);
    found.expect("one of the keys has this rank order")
}

fn replay(path: &Path) {
    let text = fs::read_to_string(path).expect("the trace is readable");
    let (lines, expected_outcome) =
        text.trim_end().rsplit_once('\n').expect("a trace ends with an outcome");
    let expected_outcome: ExpectedOutcome =
        serde_json::from_str(expected_outcome).expect("the outcome is valid JSON");
    let mut simulation = Simulation::default();
    let mut expected_answers = Vec::new();
    for (index, line) in lines.lines().enumerate() {
        let mut line: TraceEvent = serde_json::from_str(line).expect("the event is valid JSON");
        simulation.run_until(line.at);
        if let Op::Call(call) | Op::CallOwner(call) = &mut line.op {
            call.id = index;
            call.key = find_key(&call.key);
            expected_answers.push((index, line.expect.expect("a call has an expected answer")));
        }
        simulation.apply(&line.daemon, line.op);
    }
    simulation.run_until(simulation.now + 5_000);
    for (index, answer) in expected_answers {
        let found = simulation.replies.get(&index).copied();
        assert_eq!(found, Some(&*answer), "{path:?}, line {}", index + 1);
    }
    let runs = simulation.runs.into_iter().map(|((key, _), runs)| (key, runs));
    let runs: BTreeMap<String, Vec<String>> = runs.collect();
    let expected_runs = expected_outcome.runs.iter();
    let expected_runs = expected_runs.map(|(label, ids)| (find_key(label), ids.clone())).collect();
    assert_eq!(runs, expected_runs, "{path:?}: {}", expected_outcome.outcome);
    assert_eq!(simulation.false_not_run_answers, [], "{path:?}: {}", expected_outcome.outcome);
}

/// Guards against a change in how a recorded failure ends.
#[test]
fn traces_end_with_the_expected_outcome() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/traces");
    let mut replayed = 0;
    for entry in fs::read_dir(folder).expect("the folder of traces is readable") {
        replay(&entry.expect("the folder entry is readable").path());
        replayed += 1;
    }
    assert_eq!(replayed, 9);
}
