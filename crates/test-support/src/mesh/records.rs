//! Change sets for tests and measurements.

use std::collections::{BTreeMap, BTreeSet};

use baobabreel_core::config::{ChangeSet, Form, Kind, RecordKey, Upsert, Version};
use serde_json::{Value, json};

/// Builder of a [`ChangeSet`].
#[derive(Debug, Clone)]
pub struct ChangeBuilder {
    change: ChangeSet,
}

impl ChangeBuilder {
    /// Starts an empty change set.
    pub fn new(change_id: impl Into<String>) -> Self {
        let change = ChangeSet {
            change_id: change_id.into(),
            author: "test".to_owned(),
            expected: BTreeMap::new(),
            upserts: Vec::new(),
            deletes: BTreeSet::new(),
        };
        Self { change }
    }

    /// Expects a record at this revision; without a call it is expected to be absent.
    #[must_use]
    pub fn expect(mut self, kind: Kind, name: &str, revision: Option<Version>) -> Self {
        self.change.expected.insert(RecordKey::new(kind, name), revision);
        self
    }

    /// Writes a record with these forms.
    #[must_use]
    pub fn upsert(mut self, kind: Kind, name: &str, forms: Vec<(u32, Value, &[&str])>) -> Self {
        let key = RecordKey::new(kind, name);
        self.change.expected.entry(key.clone()).or_insert(None);
        let forms = forms
            .into_iter()
            .map(|(schema, body, services)| {
                let refs = services
                    .iter()
                    .map(|service| RecordKey::new(Kind::Service, *service))
                    .collect();
                (schema, Form { refs, body })
            })
            .collect();
        self.change.upserts.push(Upsert { key, forms });
        self
    }

    /// Writes a service with the defaults.
    #[must_use]
    pub fn service(self, name: &str) -> Self {
        self.upsert(Kind::Service, name, vec![(1, json!({}), &[])])
    }

    /// Writes a route of schema 1.
    #[must_use]
    pub fn route(self, name: &str, prefix: &str, service: &str, idempotent: bool) -> Self {
        let body = json!({
            "path_prefix": prefix,
            "service": service,
            "idempotent": idempotent,
            "timeout_ms": 5000,
        });
        self.upsert(Kind::Route, name, vec![(1, body, &[service])])
    }

    /// Writes a route with a class, as schema 2 beside schema 1.
    #[must_use]
    pub fn class_route(self, name: &str, prefix: &str, service: &str, class: &str) -> Self {
        let idempotent = matches!(class, "lookup" | "check");
        let first = json!({
            "path_prefix": prefix,
            "service": service,
            "idempotent": idempotent,
            "timeout_ms": 5000,
        });
        let second = json!({
            "path_prefix": prefix,
            "service": service,
            "class": class,
            "timeout_ms": 5000,
        });
        let refs = [service];
        let forms: Vec<(u32, Value, &[&str])> = vec![(1, first, &refs), (2, second, &refs)];
        self.upsert(Kind::Route, name, forms)
    }

    /// Removes a record.
    #[must_use]
    pub fn delete(mut self, kind: Kind, name: &str, revision: Version) -> Self {
        let key = RecordKey::new(kind, name);
        self.change.expected.insert(key.clone(), Some(revision));
        self.change.deletes.insert(key);
        self
    }

    /// The change set.
    #[must_use]
    pub fn build(self) -> ChangeSet {
        self.change
    }
}
