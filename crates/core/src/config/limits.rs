//! Bounds on sizes.
//!
//! A daemon has 128 MB for control. A parsed body takes several times its text, so the texts of all
//! records are bounded well below that. The bounds are part of the verdict: every release must have
//! the same ones. They are chosen, not measured.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::change::Rejection;

/// Largest entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// Most records. The target size needs about 1,000 backend servers, 43 services and their routes.
pub const MAX_RECORDS: usize = 20_000;

/// Most bytes of all records together, counted as the JSON text of their forms.
pub const MAX_STATE_BYTES: usize = 8 * 1024 * 1024;

/// Most forms of a record.
pub const MAX_FORMS: usize = 8;

/// Most references of a form.
pub const MAX_REFS: usize = 32;

/// Longest change id, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 128;

/// Longest name of an author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 256;

/// What is bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Bound {
    /// Bytes of an entry.
    EntryBytes,
    /// Number of records.
    Records,
    /// Bytes of all records together.
    StateBytes,
    /// Forms of a record.
    Forms,
    /// References of a form.
    Refs,
    /// Bytes of a change id.
    ChangeIdBytes,
    /// Bytes of an author's name.
    AuthorBytes,
}

impl Bound {
    /// Largest allowed value.
    #[must_use]
    pub fn limit(self) -> usize {
        match self {
            Self::EntryBytes => MAX_ENTRY_BYTES,
            Self::Records => MAX_RECORDS,
            Self::StateBytes => MAX_STATE_BYTES,
            Self::Forms => MAX_FORMS,
            Self::Refs => MAX_REFS,
            Self::ChangeIdBytes => MAX_CHANGE_ID_BYTES,
            Self::AuthorBytes => MAX_AUTHOR_BYTES,
        }
    }

    pub(super) fn check(self, found: usize) -> Result<(), Rejection> {
        let limit = self.limit();
        if found > limit {
            let what = self;
            return Err(Rejection::TooLarge { what, found, limit });
        }
        Ok(())
    }
}

impl fmt::Display for Bound {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::EntryBytes => "bytes in the entry",
            Self::Records => "records",
            Self::StateBytes => "bytes in all records",
            Self::Forms => "forms of a record",
            Self::Refs => "references of a form",
            Self::ChangeIdBytes => "bytes in the change id",
            Self::AuthorBytes => "bytes in the author's name",
        })
    }
}
