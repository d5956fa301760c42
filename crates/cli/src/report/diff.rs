//! Differences between two sets of records.

use std::collections::{BTreeMap, BTreeSet};

use baobabreel_core::config::{Record, RecordKey};
use serde::Serialize;
use serde_json::Value;

/// Difference of one record.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Change {
    /// Record that differs.
    pub key: RecordKey,
    /// `added`, `removed` or `changed`.
    pub change: &'static str,
    /// Values that differ, by path: before and after.
    pub values: BTreeMap<String, (Option<Value>, Option<Value>)>,
}

/// Differences of the forms of all records.
#[must_use]
pub fn diff(
    before: &BTreeMap<RecordKey, Record>,
    after: &BTreeMap<RecordKey, Record>,
) -> Vec<Change> {
    let keys: BTreeSet<&RecordKey> = before.keys().chain(after.keys()).collect();
    keys.into_iter().filter_map(|key| change(key, before.get(key), after.get(key))).collect()
}

fn change(key: &RecordKey, before: Option<&Record>, after: Option<&Record>) -> Option<Change> {
    let change = match (before, after) {
        (None, _) => "added",
        (_, None) => "removed",
        _ => "changed",
    };
    let (before, after) = (before.map(values), after.map(values));
    let (before, after) = (before.unwrap_or_default(), after.unwrap_or_default());
    let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let values: BTreeMap<_, _> = paths
        .into_iter()
        .map(|path| (path, before.get(path), after.get(path)))
        .filter(|(_, before, after)| before != after)
        .map(|(path, before, after)| (path.clone(), (before.cloned(), after.cloned())))
        .collect();
    let same = values.is_empty() && change == "changed";
    (!same).then(|| Change { key: key.clone(), change, values })
}

/// Single values of all forms by path, for example `2.timeout_ms`.
fn values(record: &Record) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    for (schema, form) in &record.forms {
        flatten(schema.to_string(), &form.body, &mut values);
        for (i, to) in form.refs.iter().enumerate() {
            values.insert(format!("{schema}.refs.{i}"), to.to_string().into());
        }
    }
    values
}

fn flatten(path: String, value: &Value, values: &mut BTreeMap<String, Value>) {
    match value {
        Value::Object(map) if !map.is_empty() => {
            for (key, value) in map {
                flatten(format!("{path}.{key}"), value, values);
            }
        }
        other => {
            values.insert(path, other.clone());
        }
    }
}

/// One line for each record and one for each value that differs.
#[must_use]
pub fn diff_text(changes: &[Change]) -> String {
    let show = |value: &Option<Value>| value.as_ref().map_or("(none)".to_owned(), Value::to_string);
    let mut text = String::new();
    for change in changes {
        let sign = match change.change {
            "added" => '+',
            "removed" => '-',
            _ => '~',
        };
        text.push_str(&format!("{sign} {}\n", change.key));
        for (path, (before, after)) in &change.values {
            let line = match sign {
                '+' => format!("    {path}: {}\n", show(after)),
                '-' => continue,
                _ => format!("    {path}: {} -> {}\n", show(before), show(after)),
            };
            text.push_str(&line);
        }
    }
    text
}
