//! Size limits of entries, records and the whole configuration.
//!
//! A daemon has 128 MB for its control plane. A parsed body takes several times the memory of its
//! text, so the total text size of all records is limited to well below that. The limits decide
//! whether an entry is accepted, so they must be the same in every release.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::change::Rejection;

/// Maximum size of an entry, in bytes.
pub const MAX_ENTRY_BYTES: usize = 256 * 1024;

/// Maximum number of records. The target size needs about 1,000 backend servers, 43 services and
/// their routes.
pub const MAX_RECORDS: usize = 20_000;

/// Maximum total size of all records, in bytes of the JSON text of their forms.
pub const MAX_STATE_BYTES: usize = 8 * 1024 * 1024;

/// Maximum number of forms of a record.
pub const MAX_FORMS: usize = 8;

/// Maximum number of references of a form.
pub const MAX_REFS: usize = 32;

/// Maximum length of a change id, in bytes.
pub const MAX_CHANGE_ID_BYTES: usize = 128;

/// Maximum length of an author's name, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 256;

/// Quantity that has a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SizeLimit {
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

impl SizeLimit {
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

impl fmt::Display for SizeLimit {
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
