//! Random configuration logs for the tests of the fold.

use baobabreel_core::config::{ConfigState, Kind, RecordKey};
use quickcheck::{Arbitrary, Gen};
use serde_json::{Value, json};

/// JSON texts of the entries at offsets 1, 2, ...
///
/// Most entries are change sets that fit the state before them; some are malformed, repeated or raise the
/// level.
#[derive(Debug, Clone)]
pub struct GeneratedLog(pub Vec<String>);

impl Arbitrary for GeneratedLog {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut state = ConfigState::new(1);
        let mut entries: Vec<String> = Vec::new();
        for n in 0..g.size() {
            let entry = match random_below(g, 40) {
                0 | 1 => "{\"type\": \"change_set\",".to_owned(),
                2 => json!({"type": "change_set", "change_id": "x", "body": 1}).to_string(),
                3 => json!({"type": "shard_map", "change_id": "x"}).to_string(),
                4 | 5 => raise_level_entry(n, 1 + random_below(g, 3)),
                6 | 7 if !entries.is_empty() => entries[random_below(g, entries.len())].clone(),
                _ => random_change_set(g, n, &state),
            };
            // When the fold holds, the state stays as it was and the log continues.
            let _ = state.fold(state.version().offset + 1, &entry);
            entries.push(entry);
        }
        Self(entries)
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let log = self.0.clone();
        Box::new((0..log.len()).rev().map(move |i| {
            let mut shorter = log.clone();
            shorter.remove(i);
            Self(shorter)
        }))
    }
}

/// A random number from 0 to `n` - 1.
fn random_below(g: &mut Gen, n: usize) -> usize {
    usize::arbitrary(g) % n
}

fn raise_level_entry(n: usize, level: usize) -> String {
    json!({"type": "raise_level", "change_id": format!("c{n}"), "author": "t", "level": level})
        .to_string()
}

/// A random key of one of three kinds and three names, so that keys repeat often.
fn random_key(g: &mut Gen) -> RecordKey {
    let kinds = [Kind::Service, Kind::Route, Kind::BackendServer];
    RecordKey::new(kinds[random_below(g, 3)], format!("n{}", random_below(g, 3)))
}

/// A random change set; a few have a stale expected revision or a bad name.
fn random_change_set(g: &mut Gen, n: usize, state: &ConfigState) -> String {
    let mut upserts = Vec::new();
    let mut deletes = Vec::new();
    let mut expected = serde_json::Map::new();
    for _ in 0..=random_below(g, 3) {
        let key = random_key(g);
        if expected.contains_key(&key.to_string()) {
            continue;
        }
        let is_stale = random_below(g, 20) == 0;
        let revision = state.records().get(&key).map(|record| record.revision);
        let expected_revision =
            if is_stale { json!({"generation": 1, "offset": 9_999}) } else { json!(revision) };
        expected.insert(key.to_string(), expected_revision);
        if random_below(g, 4) == 0 {
            deletes.push(key.to_string());
        } else {
            upserts.push(json!({"key": key.to_string(), "forms": random_forms(g, &key)}));
        }
    }
    if random_below(g, 30) == 0 {
        upserts.push(json!({"key": "service/-bad", "forms": {}}));
    }
    json!({
        "type": "change_set", "change_id": format!("c{n}"), "author": "t",
        "expected": expected, "upserts": upserts, "deletes": deletes,
    })
    .to_string()
}

/// Random forms of one to three schemas, some without a form of schema 1.
fn random_forms(g: &mut Gen, key: &RecordKey) -> Value {
    let schema_sets: [&[u32]; 6] = [&[1], &[1], &[1, 2], &[2], &[1, 2, 3], &[1, 3]];
    let schemas = schema_sets[random_below(g, schema_sets.len())];
    let forms = schemas.iter().map(|schema| (schema.to_string(), random_form(g, key, *schema)));
    Value::Object(forms.collect())
}

/// A random form; some have a body that the schema does not allow or lack their reference.
fn random_form(g: &mut Gen, key: &RecordKey, schema: u32) -> Value {
    let service = format!("n{}", random_below(g, 3));
    let body = match (key.kind, schema) {
        _ if random_below(g, 12) == 0 => json!({"unknown": true}),
        (Kind::Service, 1) => json!({"queue": random_below(g, 9)}),
        (Kind::Service, _) => {
            json!({"queue": 1, "bulk_share": 0.1 + f64::from(u32::arbitrary(g)) / 1e10})
        }
        (Kind::Route, 1) => {
            json!({"path_prefix": "/", "service": service, "idempotent": true, "timeout_ms": 9})
        }
        (Kind::Route, _) => {
            json!({"path_prefix": "/", "service": service, "class": "check", "timeout_ms": 9})
        }
        (Kind::BackendServer, 1) => json!({"service": service}),
        (Kind::BackendServer, _) => json!({"service": service, "state": "draining"}),
    };
    let has_no_refs = key.kind == Kind::Service || random_below(g, 20) == 0;
    let refs = if has_no_refs { vec![] } else { vec![format!("service/{service}")] };
    json!({"refs": refs, "body": body})
}
