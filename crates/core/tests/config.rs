//! Tests of folding the entries of the configuration log into a state.

mod config_support;

use std::collections::{BTreeMap, BTreeSet};

use baobabreel_core::config::{
    CompiledConfig, ConfigState, FoldError, MAX_RECORDS, MAX_SCHEMA, Record, RecordKey, Rejection,
    Snapshot, SnapshotError, Verdict,
};
use config_support::GeneratedLog;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use serde_json::{Value, json};

const SEED: u64 = 20_261_204;
const LOG_LENGTH: usize = 40;
const LOG_COUNT: u64 = 300;

/// Checks a property with generated logs from a fixed seed.
fn check_property<A: quickcheck::Testable>(property: A) {
    let rng = Gen::from_size_and_seed(LOG_LENGTH, SEED);
    QuickCheck::new().rng(rng).tests(LOG_COUNT).quickcheck(property);
}

/// Entries of a log with their offsets, which start at 1.
fn entries_with_offsets(log: &GeneratedLog) -> impl Iterator<Item = (u64, &str)> {
    (1..).zip(log.0.iter().map(String::as_str))
}

/// The state of a reader that restarts from its own snapshot.
fn restart_from_snapshot(state: &ConfigState) -> ConfigState {
    let snapshot =
        Snapshot::decode(&state.snapshot().encode()).expect("the state decodes its own snapshot");
    ConfigState::restore(snapshot, state.max_schema()).expect("the state restores its own snapshot")
}

/// Guards against a state that depends on where a reader started or how entries were batched, and
/// against a cached digest that is not updated after a change.
#[test]
fn same_log_gives_same_state_and_verdicts_across_restarts() {
    fn property(log: GeneratedLog, restarts: Vec<bool>) -> TestResult {
        let mut continuous = ConfigState::new(1);
        let mut restarted = ConfigState::new(1);
        for (i, (offset, text)) in entries_with_offsets(&log).enumerate() {
            let verdict = continuous.fold(offset, text);
            assert_eq!(verdict, restarted.fold(offset, text));
            if verdict.is_err() {
                // Both states hold at this entry; after a restart they would stop at it again.
                assert_eq!(continuous.hold(), restarted.hold());
                break;
            }
            assert_eq!(continuous.digest(), continuous.snapshot().digest());
            if restarts.get(i).copied().unwrap_or_default() {
                restarted = restart_from_snapshot(&restarted);
            }
            assert_eq!(continuous, restarted);
            assert_eq!(continuous.digest(), restarted.digest());
        }
        TestResult::passed()
    }
    check_property(property as fn(GeneratedLog, Vec<bool>) -> TestResult);
}

/// Guards against changes that are applied in part, and against versions that do not increase.
#[test]
fn rejected_and_duplicate_entries_leave_records_untouched() {
    fn property(log: GeneratedLog) -> TestResult {
        let mut state = ConfigState::new(1);
        for (offset, text) in entries_with_offsets(&log) {
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
    check_property(property as fn(GeneratedLog) -> TestResult);
}

/// References, as (from, to), of the forms in force at `level` whose target has no form at that level.
/// Checks every record.
fn dangling_references_at(
    records: &BTreeMap<RecordKey, Record>,
    level: u32,
) -> BTreeSet<(RecordKey, RecordKey)> {
    let present = |key: &RecordKey| records.get(key).and_then(|r| r.form_at(level)).is_some();
    let newest_forms = records.iter().filter_map(|(key, r)| Some((key, r.form_at(level)?.1)));
    newest_forms
        .flat_map(|(from, form)| form.refs.iter().map(move |to| (from, to)))
        .filter(|(_, to)| !present(to))
        .map(|(from, to)| (from.clone(), to.clone()))
        .collect()
}

/// Guards against routes that refer to a service that a reader of some level does not have.
#[test]
fn no_reference_dangles_at_any_level() {
    fn property(log: GeneratedLog) -> TestResult {
        let mut state = ConfigState::new(1);
        for (offset, text) in entries_with_offsets(&log) {
            let _ = state.fold(offset, text);
            for level in 1..=MAX_SCHEMA {
                assert_eq!(CompiledConfig::new(&state, level).dangling(), []);
            }
            for level in 1..=4 {
                assert_eq!(dangling_references_at(state.records(), level), BTreeSet::new());
            }
        }
        TestResult::passed()
    }
    check_property(property as fn(GeneratedLog) -> TestResult);
}

/// Guards against changes that are rejected for a dangling reference although its target exists.
#[test]
fn a_dangling_reference_rejection_names_a_reference_without_target() {
    fn property(log: GeneratedLog) -> TestResult {
        let mut state = ConfigState::new(1);
        for (offset, text) in entries_with_offsets(&log) {
            let before = state.records().clone();
            let Ok(Verdict::Rejected { reason, .. }) = state.fold(offset, text) else {
                continue;
            };
            if let Rejection::DanglingReference { from, to, level } = reason {
                let after = records_after_change(before, text);
                assert!(dangling_references_at(&after, level).contains(&(from, to)), "{text}");
            }
        }
        TestResult::passed()
    }
    check_property(property as fn(GeneratedLog) -> TestResult);
}

/// Records after the change set `text`, applied without any check.
fn records_after_change(
    mut records: BTreeMap<RecordKey, Record>,
    text: &str,
) -> BTreeMap<RecordKey, Record> {
    let entry: Value = serde_json::from_str(text).expect("the fold parsed the entry");
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

/// Guards against releases that disagree about the outcome of a change during a schema migration.
#[test]
fn an_older_reader_reaches_the_same_verdict_or_holds() {
    fn property(log: GeneratedLog) -> TestResult {
        let mut new = ConfigState::new(1);
        let mut old = ConfigState::new(1).with_max_schema(1);
        for (offset, text) in entries_with_offsets(&log) {
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
    check_property(property as fn(GeneratedLog) -> TestResult);
}

/// Guards against generated logs that leave out a kind of verdict, so that the properties above would
/// hold without being tested.
#[test]
fn generated_logs_reach_every_kind_of_verdict() {
    let mut rng = Gen::from_size_and_seed(LOG_LENGTH, SEED);
    let mut seen = BTreeMap::<String, usize>::new();
    for _ in 0..LOG_COUNT {
        let log = GeneratedLog::arbitrary(&mut rng);
        let mut state = ConfigState::new(1);
        for (offset, text) in entries_with_offsets(&log) {
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

/// A change set that creates services with the given names, each with a form of schema 1.
fn service_change_set(
    change_id: &str,
    names: impl IntoIterator<Item = String>,
    body: &Value,
) -> String {
    let keys: Vec<String> = names.into_iter().map(|name| format!("service/{name}")).collect();
    let expected: BTreeMap<_, Option<u64>> = keys.iter().map(|key| (key, None)).collect();
    let upsert = |key| json!({"key": key, "forms": {"1": {"body": body}}});
    let upserts: Vec<Value> = keys.iter().map(upsert).collect();
    json!({"type": "change_set", "change_id": change_id, "author": "t",
           "expected": expected, "upserts": upserts})
    .to_string()
}

/// A state with `records` services, `s0`, `s1` and so on, created by change sets of up to 1,000.
fn state_with_services(records: usize) -> ConfigState {
    let mut state = ConfigState::new(1);
    for start in (0..records).step_by(1_000) {
        let names = (start..records.min(start + 1_000)).map(|n| format!("s{n}"));
        let text = service_change_set(&format!("fill-{start}"), names, &json!({"queue": 1}));
        let verdict = state.fold(state.version().offset + 1, &text);
        assert!(verdict.is_ok_and(|verdict| verdict.is_accepted()));
    }
    state
}

/// Guards against a fold that copies all records for each change.
#[test]
fn a_change_does_not_copy_unchanged_records() {
    let mut state = state_with_services(10_000);
    let body_address = |state: &ConfigState, name: &str| {
        let key: RecordKey = format!("service/{name}").parse().expect("key");
        let body = &state.records()[&key].forms[&1].body;
        body.as_object().and_then(|body| body.keys().next()).map(|key| key.as_ptr())
    };
    let before = body_address(&state, "s5000");
    let text = service_change_set("one", ["new".to_owned()], &json!({}));
    state.fold(11, &text).expect("the entry has the next offset");
    assert_eq!(body_address(&state, "s5000"), before);
}

/// Guards against a state that exceeds the memory of a daemon.
#[test]
fn sizes_are_bounded() {
    let rejection_reason = |state: &mut ConfigState, text: &str| {
        let verdict = state.fold(state.version().offset + 1, text);
        let Ok(Verdict::Rejected { reason, .. }) = verdict else {
            panic!("{verdict:?}");
        };
        reason.to_string()
    };
    let mut state = state_with_services(MAX_RECORDS);
    let one_more = service_change_set("more", ["more".to_owned()], &json!({}));
    assert_eq!(rejection_reason(&mut state, &one_more), "too large: 20001 records, at most 20000");
    let mut state = ConfigState::new(1);
    let text = service_change_set(&"i".repeat(129), ["a".to_owned()], &json!({}));
    assert_eq!(
        rejection_reason(&mut state, &text),
        "too large: 129 bytes in the change id, at most 128"
    );
    assert_eq!(
        rejection_reason(&mut state, &" ".repeat(262_145)),
        "too large: 262145 bytes in the entry, at most 262144"
    );
    let text = service_change_set("big", ["a".to_owned()], &json!({}));
    let refs: Vec<String> = (0..33).map(|n| format!("service/r{n}")).collect();
    let text = text.replace("{\"body\"", &format!("{{\"refs\":{},\"body\"", json!(refs)));
    assert_eq!(
        rejection_reason(&mut state, &text),
        "too large: 33 references of a form, at most 32"
    );
    let forms: BTreeMap<u32, Value> = (1..=9).map(|n| (n, json!({"body": {}}))).collect();
    let text = json!({"type": "change_set", "change_id": "forms", "author": "t",
        "expected": {"service/a": null}, "upserts": [{"key": "service/a", "forms": forms}]});
    assert_eq!(
        rejection_reason(&mut state, &text.to_string()),
        "too large: 9 forms of a record, at most 8"
    );
}

/// Guards against a state that is too large because its records, though few, have large bodies.
#[test]
fn bytes_of_all_records_are_bounded() {
    let mut state = ConfigState::new(1);
    let filler = "x".repeat(200_000);
    let mut verdicts = (0..).map(|n: u64| {
        let key = format!("service/s{n}");
        let forms = json!({"1": {"body": {}}, "2": {"body": {"filler": filler}}});
        let text = json!({"type": "change_set", "change_id": key, "author": "t",
            "expected": {&key: null}, "upserts": [{"key": key, "forms": forms}]});
        state.fold(n + 1, &text.to_string()).expect("the entry has the next offset")
    });
    let first = verdicts.find(|verdict| !verdict.is_accepted());
    let Some(Verdict::Rejected { reason, version }) = first else {
        panic!("{first:?}");
    };
    assert_eq!(version.offset, 42);
    assert!(reason.to_string().ends_with("bytes in all records, at most 8388608"));
}

/// Guards against floats that change when a snapshot is read: a reader that starts from the snapshot
/// would have another digest than one that folded the log.
#[test]
fn floats_survive_snapshots() {
    for n in 0..2_000_u32 {
        let share = format!("0.{}{:019}", n % 9 + 1, u64::from(n) * 4_999_999_999_999_937);
        let body =
            format!("{{\"bulk_share\": {share}, \"far\": {share}e-285, \"big\": {share}e300}}");
        let text = service_change_set("f", ["a".to_owned()], &json!({})).replace(
            "\"1\":{\"body\":{}}",
            &format!("\"1\":{{\"body\":{{}}}},\"2\":{{\"body\":{body}}}"),
        );
        let mut state = ConfigState::new(1);
        assert!(state.fold(1, &text).is_ok_and(|verdict| verdict.is_accepted()));
        assert_eq!(restart_from_snapshot(&state).digest(), state.digest(), "{share}");
    }
}

/// Guards against a damaged snapshot that is put into use.
#[test]
fn a_damaged_snapshot_is_refused() {
    let encoded = state_with_services(3).snapshot().encode();
    let damaged = encoded.replace("\"queue\":1", "\"queue\":2");
    let found = Snapshot::decode(&damaged).map_err(|e| e.to_string().len());
    assert_eq!(
        found,
        Err("failed to use a snapshot: the digest is , but the text states ".len() + 128)
    );
    let mut invalid = state_with_services(3).snapshot();
    invalid.level = 2;
    invalid.records.values_mut().for_each(|record| {
        let form = record.forms.remove(&1).expect("form 1");
        record.forms.insert(3, form);
    });
    let refused = ConfigState::restore(invalid, MAX_SCHEMA);
    let detail = "no base form: service/s0 has no form at or below schema 2".to_owned();
    assert_eq!(refused, Err(SnapshotError::Invalid { detail }));
}

/// Guards against a table of recent change ids that grows without bound or drops the newest ids.
#[test]
fn the_table_of_change_ids_drops_the_oldest() {
    let mut state = ConfigState::new(1);
    let raise_level_entry = |n: u64| json!({"type": "raise_level", "change_id": format!("c{n}"), "author": "t", "level": 1});
    for n in 1..=4_097 {
        state.fold(n, &raise_level_entry(n).to_string()).expect("the entry has the next offset");
    }
    assert_eq!(state.verdict_of("c1"), None);
    assert!(state.verdict_of("c2").is_some() && state.verdict_of("c4097").is_some());
    let gap = FoldError::Gap { expected: 4_098, found: 4_100 };
    assert_eq!(state.fold(4_100, "{}"), Err(gap));
    assert_eq!(state.hold(), None);
}
