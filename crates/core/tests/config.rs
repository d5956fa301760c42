//! Tests of the configuration fold.

mod config_support;

use std::collections::{BTreeMap, BTreeSet};

use baobabreel_core::config::{
    CompiledConfig, ConfigState, FoldError, MAX_RECORDS, MAX_SCHEMA, Record, RecordKey, Rejection,
    Snapshot, SnapshotError, Verdict,
};
use config_support::Log;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::{Value, json};

const SEED: u64 = 20_261_204;
const LOG_LENGTH: usize = 40;
const LOGS: u64 = 300;

fn check<A: quickcheck::Testable>(property: A) {
    let rng = Gen::from_size_and_seed(LOG_LENGTH, SEED);
    QuickCheck::new().rng(rng).tests(LOGS).quickcheck(property);
}

fn entries(log: &Log) -> impl Iterator<Item = (u64, &str)> {
    (1..).zip(log.0.iter().map(String::as_str))
}

fn restart(state: &ConfigState) -> ConfigState {
    let snapshot = Snapshot::decode(&state.snapshot().encode()).expect("own snapshot can be read");
    ConfigState::restore(snapshot, state.max_schema()).expect("own snapshot can be restored")
}

/// Guards against a state that depends on where a reader started or how entries were batched, and
/// against a cached digest that outlives a change.
#[test]
fn same_log_gives_same_state_and_verdicts_across_restarts() {
    fn property(log: Log, restarts: Vec<bool>) -> TestResult {
        let mut whole = ConfigState::new(1);
        let mut restarted = ConfigState::new(1);
        for (i, (offset, text)) in entries(&log).enumerate() {
            let verdict = whole.fold(offset, text);
            assert_eq!(verdict, restarted.fold(offset, text));
            if verdict.is_err() {
                // Both hold; a restart would only meet the same entry again.
                assert_eq!(whole.hold(), restarted.hold());
                break;
            }
            assert_eq!(whole.digest(), whole.snapshot().digest());
            if restarts.get(i).copied().unwrap_or_default() {
                restarted = restart(&restarted);
            }
            assert_eq!(whole, restarted);
            assert_eq!(whole.digest(), restarted.digest());
        }
        TestResult::passed()
    }
    check(property as fn(Log, Vec<bool>) -> TestResult);
}

/// Guards against changes that are applied in part, and against versions that stand or go back.
#[test]
fn rejected_and_duplicate_entries_leave_records_untouched() {
    fn property(log: Log) -> TestResult {
        let mut state = ConfigState::new(1);
        for (offset, text) in entries(&log) {
            let before = state.clone();
            match state.fold(offset, text) {
                Ok(Verdict::Accepted { version }) => {
                    assert!(version > before.version());
                    assert_eq!(state.version(), version);
                }
                Ok(Verdict::Rejected { .. } | Verdict::Duplicate { .. }) => {
                    assert!(state.version() > before.version());
                    assert_eq!(state.records(), before.records());
                    assert_eq!(state.level(), before.level());
                }
                Err(_) => {
                    assert_eq!(state, before);
                    assert!(state.hold().is_some());
                }
            }
        }
        TestResult::passed()
    }
    check(property as fn(Log) -> TestResult);
}

/// References that are open in the view of `level`, by brute force over all records.
fn open_at(records: &BTreeMap<RecordKey, Record>, level: u32) -> BTreeSet<(RecordKey, RecordKey)> {
    let present = |key: &RecordKey| records.get(key).and_then(|r| r.form_at(level)).is_some();
    let newest = records.iter().filter_map(|(key, r)| Some((key, r.form_at(level)?.1)));
    newest
        .flat_map(|(from, form)| form.refs.iter().map(move |to| (from, to)))
        .filter(|(_, to)| !present(to))
        .map(|(from, to)| (from.clone(), to.clone()))
        .collect()
}

/// Guards against routes that point at services that a reader does not have, at any level.
#[test]
fn no_reference_dangles_at_any_level() {
    fn property(log: Log) -> TestResult {
        let mut state = ConfigState::new(1);
        for (offset, text) in entries(&log) {
            let _ = state.fold(offset, text);
            for level in 1..=MAX_SCHEMA {
                assert_eq!(CompiledConfig::new(&state, level).dangling(), []);
            }
            for level in 1..=4 {
                assert_eq!(open_at(state.records(), level), BTreeSet::new());
            }
        }
        TestResult::passed()
    }
    check(property as fn(Log) -> TestResult);
}

/// Guards against changes that are rejected although every reference is closed.
#[test]
fn a_dangling_verdict_names_a_reference_that_would_be_open() {
    fn property(log: Log) -> TestResult {
        let mut state = ConfigState::new(1);
        for (offset, text) in entries(&log) {
            let before = state.records().clone();
            let Ok(Verdict::Rejected { reason, .. }) = state.fold(offset, text) else {
                continue;
            };
            if let Rejection::DanglingReference { from, to, level } = reason {
                let after = with_change(before, text);
                assert!(open_at(&after, level).contains(&(from, to)), "{text}");
            }
        }
        TestResult::passed()
    }
    check(property as fn(Log) -> TestResult);
}

fn with_change(
    mut records: BTreeMap<RecordKey, Record>,
    text: &str,
) -> BTreeMap<RecordKey, Record> {
    let entry: Value = serde_json::from_str(text).expect("the entry was read by the fold");
    for key in entry["deletes"].as_array().into_iter().flatten() {
        records.remove(&key.as_str().and_then(|key| key.parse().ok()).expect("key"));
    }
    for upsert in entry["upserts"].as_array().into_iter().flatten() {
        let key = upsert["key"].as_str().and_then(|key| key.parse().ok());
        let record = json!({"revision": {"generation": 1, "offset": 0}, "forms": upsert["forms"]});
        let record = serde_json::from_value(record).expect("forms");
        records.insert(key.expect("key"), record);
    }
    records
}

/// Guards against releases that disagree about the outcome of a change during a migration.
#[test]
fn an_older_reader_reaches_the_same_verdict_or_holds() {
    fn property(log: Log) -> TestResult {
        let mut new = ConfigState::new(1);
        let mut old = ConfigState::new(1).with_max_schema(1);
        for (offset, text) in entries(&log) {
            let verdict = new.fold(offset, text);
            match old.fold(offset, text) {
                Ok(own) => {
                    assert_eq!(Ok(own), verdict);
                    assert_eq!(old.digest(), new.digest());
                }
                Err(_) => assert!(old.hold().is_some_and(|hold| hold.at > old.version())),
            }
        }
        TestResult::passed()
    }
    check(property as fn(Log) -> TestResult);
}

/// Guards against generated logs that are too tame for the properties above to mean anything.
#[test]
fn generated_logs_reach_every_kind_of_verdict() {
    let mut rng = Gen::from_size_and_seed(LOG_LENGTH, SEED);
    let mut seen = BTreeMap::<String, usize>::new();
    for _ in 0..LOGS {
        let log = Log::arbitrary(&mut rng);
        let mut state = ConfigState::new(1);
        for (offset, text) in entries(&log) {
            let name = match state.fold(offset, text) {
                Ok(Verdict::Rejected { reason, .. }) => json!(reason)["reason"].to_string(),
                Ok(Verdict::Accepted { .. }) => format!("accepted at {}", state.level()),
                Ok(Verdict::Duplicate { .. }) => "duplicate".to_owned(),
                Err(_) => "held".to_owned(),
            };
            *seen.entry(name).or_default() += 1;
        }
    }
    let names: Vec<&str> = seen.keys().map(|name| name.trim_matches('"')).collect();
    let all = [
        "bad_name",
        "conflict",
        "dangling_reference",
        "level",
        "malformed",
        "no_base_form",
        "unreadable_form",
        "accepted at 1",
        "accepted at 2",
        "duplicate",
        "held",
    ];
    assert_eq!(names, all, "{seen:?}");
}

fn service(change_id: &str, names: impl IntoIterator<Item = String>, body: &Value) -> String {
    let keys: Vec<String> = names.into_iter().map(|name| format!("service/{name}")).collect();
    let expected: BTreeMap<_, Option<u64>> = keys.iter().map(|key| (key, None)).collect();
    let upsert = |key| json!({"key": key, "forms": {"1": {"body": body}}});
    let upserts: Vec<Value> = keys.iter().map(upsert).collect();
    json!({"type": "change_set", "change_id": change_id, "author": "t",
           "expected": expected, "upserts": upserts})
    .to_string()
}

fn filled(records: usize) -> ConfigState {
    let mut state = ConfigState::new(1);
    for start in (0..records).step_by(1_000) {
        let names = (start..records.min(start + 1_000)).map(|n| format!("s{n}"));
        let text = service(&format!("fill-{start}"), names, &json!({"queue": 1}));
        let verdict = state.fold(state.version().offset + 1, &text);
        assert!(verdict.is_ok_and(|verdict| verdict.is_accepted()));
    }
    state
}

/// Guards against a fold that copies all records for each change.
#[test]
fn a_change_does_not_copy_other_records() {
    let mut state = filled(10_000);
    let address = |state: &ConfigState, name: &str| {
        let key: RecordKey = format!("service/{name}").parse().expect("key");
        let body = &state.records()[&key].forms[&1].body;
        body.as_object().and_then(|body| body.keys().next()).map(|key| key.as_ptr())
    };
    let before = address(&state, "s5000");
    let text = service("one", ["new".to_owned()], &json!({}));
    state.fold(11, &text).expect("the entry follows");
    assert_eq!(address(&state, "s5000"), before);
}

/// Guards against a state that outgrows the memory of a daemon.
#[test]
fn sizes_are_bounded() {
    let reason = |state: &mut ConfigState, text: &str| {
        let verdict = state.fold(state.version().offset + 1, text);
        let Ok(Verdict::Rejected { reason, .. }) = verdict else {
            panic!("{verdict:?}");
        };
        reason.to_string()
    };
    let mut state = filled(MAX_RECORDS);
    let one_more = service("more", ["more".to_owned()], &json!({}));
    assert_eq!(reason(&mut state, &one_more), "too large: 20001 records, at most 20000");
    let mut state = ConfigState::new(1);
    let text = service(&"i".repeat(129), ["a".to_owned()], &json!({}));
    assert_eq!(reason(&mut state, &text), "too large: 129 bytes in the change id, at most 128");
    assert_eq!(
        reason(&mut state, &" ".repeat(262_145)),
        "too large: 262145 bytes in the entry, at most 262144"
    );
    let text = service("big", ["a".to_owned()], &json!({}));
    let refs: Vec<String> = (0..33).map(|n| format!("service/r{n}")).collect();
    let text = text.replace("{\"body\"", &format!("{{\"refs\":{},\"body\"", json!(refs)));
    assert_eq!(reason(&mut state, &text), "too large: 33 references of a form, at most 32");
    let forms: BTreeMap<u32, Value> = (1..=9).map(|n| (n, json!({"body": {}}))).collect();
    let text = json!({"type": "change_set", "change_id": "forms", "author": "t",
        "expected": {"service/a": null}, "upserts": [{"key": "service/a", "forms": forms}]});
    assert_eq!(reason(&mut state, &text.to_string()), "too large: 9 forms of a record, at most 8");
}

/// Guards against a state whose records have few but large bodies.
#[test]
fn bytes_of_all_records_are_bounded() {
    let mut state = ConfigState::new(1);
    let filler = "x".repeat(200_000);
    let mut verdicts = (0..).map(|n: u64| {
        let key = format!("service/s{n}");
        let forms = json!({"1": {"body": {}}, "2": {"body": {"filler": filler}}});
        let text = json!({"type": "change_set", "change_id": key, "author": "t",
            "expected": {&key: null}, "upserts": [{"key": key, "forms": forms}]});
        state.fold(n + 1, &text.to_string()).expect("the entry follows")
    });
    let first = verdicts.find(|verdict| !verdict.is_accepted());
    let Some(Verdict::Rejected { reason, version }) = first else {
        panic!("{first:?}");
    };
    assert_eq!(version.offset, 42);
    assert!(reason.to_string().ends_with("bytes in all records, at most 8388608"));
}

/// Guards against numbers that change when a snapshot is read: a reader that started from it would
/// have another digest than one that followed the log.
#[test]
fn floats_survive_snapshots() {
    for n in 0..2_000_u32 {
        let share = format!("0.{}{:019}", n % 9 + 1, u64::from(n) * 4_999_999_999_999_937);
        let body =
            format!("{{\"bulk_share\": {share}, \"far\": {share}e-285, \"big\": {share}e300}}");
        let text = service("f", ["a".to_owned()], &json!({})).replace(
            "\"1\":{\"body\":{}}",
            &format!("\"1\":{{\"body\":{{}}}},\"2\":{{\"body\":{body}}}"),
        );
        let mut state = ConfigState::new(1);
        assert!(state.fold(1, &text).is_ok_and(|verdict| verdict.is_accepted()));
        assert_eq!(restart(&state).digest(), state.digest(), "{share}");
    }
}

/// Guards against a damaged snapshot that comes into force.
#[test]
fn a_damaged_snapshot_is_refused() {
    let sealed = filled(3).snapshot().encode();
    let damaged = sealed.replace("\"queue\":1", "\"queue\":2");
    let found = Snapshot::decode(&damaged).map_err(|e| e.to_string().len());
    assert_eq!(
        found,
        Err("failed to use a snapshot: the digest is , but the text states ".len() + 128)
    );
    let mut open = filled(3).snapshot();
    open.level = 2;
    open.records.values_mut().for_each(|record| {
        let form = record.forms.remove(&1).expect("form 1");
        record.forms.insert(3, form);
    });
    let refused = ConfigState::restore(open, MAX_SCHEMA);
    let detail = "no base form: service/s0 has no form at or below schema 2".to_owned();
    assert_eq!(refused, Err(SnapshotError::Invalid { detail }));
}

/// Guards against a window of change ids that grows, or that forgets the newest ids.
#[test]
fn the_window_of_change_ids_forgets_the_oldest() {
    let mut state = ConfigState::new(1);
    let raise = |n: u64| json!({"type": "raise_level", "change_id": format!("c{n}"), "author": "t", "level": 1});
    for n in 1..=4_097 {
        state.fold(n, &raise(n).to_string()).expect("the entry follows");
    }
    assert_eq!(state.verdict_of("c1"), None);
    assert!(state.verdict_of("c2").is_some() && state.verdict_of("c4097").is_some());
    let gap = FoldError::Gap { expected: 4_098, found: 4_100 };
    assert_eq!(state.fold(4_100, "{}"), Err(gap));
    assert_eq!(state.hold(), None);
}
