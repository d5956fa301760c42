//! Configuration records, their keys, forms and versions.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::canonical::read_body;
use crate::id::{Offset, SchemaVersion};

/// Maximum length of a record name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Kind of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Maps requests to a service.
    Route,
    /// A set of backend servers that do the same work.
    Service,
    /// Settings that operators make for one backend server.
    BackendServer,
}

impl Kind {
    /// Name in keys and documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Route => "route",
            Self::Service => "service",
            Self::BackendServer => "backend_server",
        }
    }
}

/// Kind and name of a record; written as `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RecordKey {
    /// Kind of the record.
    pub kind: Kind,
    /// Name, unique within the kind.
    pub name: String,
}

impl RecordKey {
    /// Creates a key without checking the name; see [`RecordKey::is_valid`].
    pub fn new(kind: Kind, name: impl Into<String>) -> Self {
        Self { kind, name: name.into() }
    }

    /// The key with its name shortened to the maximum length, for error messages about invalid
    /// names.
    pub(super) fn truncated(&self) -> Self {
        let name: String = self.name.chars().take(MAX_NAME_BYTES).collect();
        Self::new(self.kind, name)
    }

    /// Whether the name has 1 to 128 characters of `a-z 0-9 . _ -`, the first a letter or digit.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let bytes = self.name.as_bytes();
        let plain = |b: &u8| b.is_ascii_lowercase() || b.is_ascii_digit();
        bytes.len() <= MAX_NAME_BYTES
            && bytes.first().is_some_and(plain)
            && bytes.iter().all(|b| plain(b) || matches!(b, b'.' | b'_' | b'-'))
    }
}

impl fmt::Display for RecordKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

/// The text is not of the form `kind/name`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseKeyError(String);

impl fmt::Display for ParseKeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "`{}` is not `route/NAME`, `service/NAME` or `backend_server/NAME`", self.0)
    }
}

impl std::error::Error for ParseKeyError {}

impl FromStr for RecordKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse_error = || ParseKeyError(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(parse_error)?;
        let kind = match kind {
            "route" => Kind::Route,
            "service" => Kind::Service,
            "backend_server" => Kind::BackendServer,
            _ => return Err(parse_error()),
        };
        Ok(Self::new(kind, name))
    }
}

impl TryFrom<String> for RecordKey {
    type Error = ParseKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RecordKey> for String {
    fn from(key: RecordKey) -> Self {
        key.to_string()
    }
}

/// Position in the history of the configuration; it never decreases on a daemon.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// Generation of the log; it increases when the log is replaced.
    pub generation: u64,
    /// Offset of the last entry that was folded, whether it was accepted or not; 0 before the first
    /// entry. For a configuration document it is the version of the document.
    pub offset: Offset,
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.generation, self.offset)
    }
}

impl FromStr for Version {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (generation, offset) = text.split_once('.').unwrap_or((text, ""));
        Ok(Self { generation: generation.parse()?, offset: offset.parse()? })
    }
}

/// Content of a record in one schema version.
///
/// The references are kept outside the body, so that a reader that does not understand the schema
/// can still check that every referenced record exists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Form {
    /// Records that the body refers to.
    #[serde(default)]
    pub refs: Vec<RecordKey>,
    /// Body in the schema of this form; floats keep 14 significant digits.
    #[serde(deserialize_with = "read_body")]
    pub body: serde_json::Value,
}

/// Current state of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Version of the change set that last wrote the record.
    pub revision: Version,
    /// Forms by schema version.
    pub forms: BTreeMap<SchemaVersion, Form>,
}

impl Record {
    /// Newest form at or below `level`.
    #[must_use]
    pub fn form_at(&self, level: SchemaVersion) -> Option<(SchemaVersion, &Form)> {
        self.forms.range(..=level).next_back().map(|(schema, form)| (*schema, form))
    }
}
