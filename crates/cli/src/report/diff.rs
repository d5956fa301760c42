//! Comparison of two sets of records.

use std::collections::{BTreeMap, BTreeSet};

use baobabreel_core::config::{Record, RecordKey};
use serde::Serialize;
use serde_json::Value;

/// Difference between two states of one record.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RecordChange {
    /// Key of the record.
    pub key: RecordKey,
    /// `added`, `removed` or `changed`.
    pub change: &'static str,
    /// Values before and after the change, by path; only those that differ.
    pub values: BTreeMap<String, (Option<Value>, Option<Value>)>,
}

/// Returns the records whose forms differ.
#[must_use]
pub fn diff_records(
    before: &BTreeMap<RecordKey, Record>,
    after: &BTreeMap<RecordKey, Record>,
) -> Vec<RecordChange> {
    let keys: BTreeSet<&RecordKey> = before.keys().chain(after.keys()).collect();
    keys.into_iter()
        .filter_map(|key| compare_record(key, before.get(key), after.get(key)))
        .collect()
}

fn compare_record(
    key: &RecordKey,
    before: Option<&Record>,
    after: Option<&Record>,
) -> Option<RecordChange> {
    let change = match (before, after) {
        (None, _) => "added",
        (_, None) => "removed",
        _ => "changed",
    };
    let (before, after) = (before.map(flatten_forms), after.map(flatten_forms));
    let (before, after) = (before.unwrap_or_default(), after.unwrap_or_default());
    let paths: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let values: BTreeMap<_, _> = paths
        .into_iter()
        .map(|path| (path, before.get(path), after.get(path)))
        .filter(|(_, before, after)| before != after)
        .map(|(path, before, after)| (path.clone(), (before.cloned(), after.cloned())))
        .collect();
    let unchanged = values.is_empty() && change == "changed";
    (!unchanged).then(|| RecordChange { key: key.clone(), change, values })
}

/// Flattens all forms of a record to values by path, such as `2.timeout_ms` for schema version 2.
fn flatten_forms(record: &Record) -> BTreeMap<String, Value> {
    let mut values = BTreeMap::new();
    for (schema, form) in &record.forms {
        flatten(schema.to_string(), &form.body, &mut values);
        for (i, to) in form.refs.iter().enumerate() {
            values.insert(format!("{schema}.refs.{i}"), to.to_string().into());
        }
    }
    values
}

/// Adds the value, or the values nested in it, with paths that start with `path`.
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

/// Formats one line per record and, unless it was removed, one per value that differs.
#[must_use]
pub fn format_diff(changes: &[RecordChange]) -> String {
    let value_text =
        |value: &Option<Value>| value.as_ref().map_or("(none)".to_owned(), Value::to_string);
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
                '+' => format!("    {path}: {}\n", value_text(after)),
                '-' => continue,
                _ => format!("    {path}: {} -> {}\n", value_text(before), value_text(after)),
            };
            text.push_str(&line);
        }
    }
    text
}
