//! Replay of recorded traces of the configuration log.
//!
//! Each line of a trace in `config_traces` is a step of one reader with its expected outcome. The reader
//! `main` exists from the start; `slot` names a saved snapshot. Fields that an outcome leaves out are not
//! compared.

use std::collections::BTreeMap;
use std::path::Path;

use baobabreel_core::config::{
    Adoption, CompiledConfig, ConfigState, MAX_SCHEMA, Snapshot, SnapshotError,
};
use serde::Deserialize;
use serde_json::{Value, json};

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    #[serde(default = "main_reader")]
    reader: String,
    step: Step,
    outcome: Value,
}

#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Step {
    /// Starts a reader, with an empty state or from a snapshot.
    Start { max_schema: u32, slot: Option<String> },
    /// Folds an entry, given as a JSON object or as its text.
    Fold { offset: u64, entry: Value },
    /// Saves a snapshot to a slot; with `generation`, as the start of that generation of the log.
    Save { slot: String, generation: Option<u64> },
    /// Offers a saved snapshot to the reader, which adopts it or not.
    Adopt { slot: String },
    /// Tells the reader the current generation of the log.
    Generation { generation: u64 },
}

fn main_reader() -> String {
    "main".to_owned()
}

/// Readers by name and encoded snapshots by slot.
#[derive(Default)]
struct Replay {
    readers: BTreeMap<String, ConfigState>,
    slots: BTreeMap<String, String>,
}

impl Replay {
    fn load_snapshot(&self, slot: &str) -> Snapshot {
        Snapshot::decode(&self.slots[slot]).expect("a saved snapshot decodes")
    }

    /// Carries out the step of a line and returns the outcome.
    fn run_step(&mut self, line: &Line) -> Value {
        if let Step::Start { max_schema, slot } = &line.step {
            let state = match slot.as_ref().map(|slot| self.load_snapshot(slot)) {
                Some(snapshot) => ConfigState::restore(snapshot, *max_schema),
                None => Ok(ConfigState::new(1).with_max_schema(*max_schema)),
            };
            return match state {
                Ok(state) => {
                    let outcome = outcome_of(&state, Value::Null);
                    self.readers.insert(line.reader.clone(), state);
                    outcome
                }
                Err(e) => json!({"result": e.to_string()}),
            };
        }
        let new_reader = || ConfigState::new(1).with_max_schema(MAX_SCHEMA);
        let mut state = self.readers.remove(&line.reader).unwrap_or_else(new_reader);
        let result = self.apply(&mut state, &line.step);
        let outcome = outcome_of(&state, result);
        self.readers.insert(line.reader.clone(), state);
        outcome
    }

    fn apply(&mut self, state: &mut ConfigState, step: &Step) -> Value {
        match step {
            Step::Start { .. } => Value::Null,
            Step::Fold { offset, entry } => {
                let text = entry.as_str().map_or_else(|| entry.to_string(), str::to_owned);
                match state.fold(*offset, &text) {
                    Ok(verdict) => json!(verdict),
                    Err(e) => json!(e.to_string()),
                }
            }
            Step::Save { slot, generation } => {
                let snapshot = state.snapshot();
                let snapshot = generation.map_or(snapshot.clone(), |g| snapshot.continue_in(g));
                self.slots.insert(slot.clone(), snapshot.encode());
                Value::Null
            }
            Step::Adopt { slot } => match state.adopt(self.load_snapshot(slot)) {
                Ok(Adoption::Replaced) => json!("replaced"),
                Ok(Adoption::Same) => json!("same"),
                Ok(Adoption::Older) => json!("older"),
                Err(SnapshotError::DigestMismatch { version, .. }) => {
                    json!(format!("differs at {version}"))
                }
                Err(e) => json!(e.to_string()),
            },
            Step::Generation { generation } => {
                state.hold_on_newer_generation(*generation);
                Value::Null
            }
        }
    }
}

/// The outcome of a step in the form that traces state it.
fn outcome_of(state: &ConfigState, result: Value) -> Value {
    let records = state.records().iter();
    let records: BTreeMap<_, _> =
        records.map(|(key, record)| (key.to_string(), record.revision.to_string())).collect();
    let view = CompiledConfig::new(state, state.max_schema());
    let schemas = view.routes.iter().map(|route| (&route.name, route.schema));
    json!({
        "result": result,
        "version": state.version().to_string(),
        "level": state.level(),
        "records": records,
        "routes": schemas.collect::<BTreeMap<_, _>>(),
        "passed_over": view.passed_over.len(),
        "held": state.hold().map(|hold| hold.at.to_string()),
    })
}

/// Whether `found` equals `expected` in each field that `expected` has; `records` and `routes` must be
/// equal as a whole.
fn outcome_matches(expected: &Value, found: &Value) -> bool {
    let Value::Object(expected) = expected else {
        return expected == found;
    };
    expected.iter().all(|(key, value)| match key.as_str() {
        "records" | "routes" => found[key] == *value,
        _ => found.get(key).is_some_and(|found| outcome_matches(value, found)),
    })
}

fn replay_trace(name: &str) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/config_traces").join(name);
    let text = std::fs::read_to_string(path).expect("the trace file is readable");
    let mut replay = Replay::default();
    for (number, text) in (1..).zip(text.lines()) {
        let line: Line =
            serde_json::from_str(text).unwrap_or_else(|e| panic!("{name}:{number}: {e}"));
        let found = replay.run_step(&line);
        assert!(
            outcome_matches(&line.outcome, &found),
            "{name}:{number}: expected {}, found {found}",
            line.outcome
        );
    }
}

/// Guards against two operators who overwrite each other's change.
#[test]
fn racing_operators() {
    replay_trace("racing_operators.jsonl");
}

/// Guards against a change that is applied twice after its answer was lost.
#[test]
fn lost_answer_and_repeat() {
    replay_trace("lost_answer.jsonl");
}

/// Guards against an invalid change that is applied in part or blocks later changes.
#[test]
fn bad_change_in_the_middle() {
    replay_trace("bad_change.jsonl");
}

/// Guards against readers of two releases that disagree during a migration.
#[test]
fn schema_migration_from_1_to_2() {
    replay_trace("schema_migration.jsonl");
}

/// Guards against a raised level that leaves records without a readable form, and against one that no
/// release supports.
#[test]
fn level_raised_too_early() {
    replay_trace("level_too_early.jsonl");
}

/// Guards against a reader that loses changes that the log no longer retains.
#[test]
fn retention_cut_with_snapshot() {
    replay_trace("retention_cut.jsonl");
}

/// Guards against a new generation of the log that takes readers back to an older state.
#[test]
fn new_log_generation() {
    replay_trace("new_generation.jsonl");
}
