//! Generation of the platform's store.
//!
//! A store that comes back from an older copy has lost records that it had acknowledged, and gives their
//! offsets out again. It says so by a higher generation; what was known of its contents under a
//! lower one no longer holds.

use crate::id::Offset;

/// Number of times that the platform's store has come back from an older copy.
pub type Generation = u64;

/// Place in a topic of the store, which holds for one generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Place {
    /// Offset of the next record to read.
    pub offset: Offset,
    /// Generation in which the offset was learnt; `None` if the store named none.
    pub generation: Option<Generation>,
}

impl Place {
    /// Whether the offset still means the same in `generation`. A store that names no generation has never lost
    /// records.
    #[must_use]
    pub fn holds_in(self, generation: Option<Generation>) -> bool {
        generation.is_none() || self.generation == generation
    }
}

/// How the generation of an answer compares to the newest one known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum GenerationStatus {
    /// The answer is from the newest generation known.
    Current,
    /// The store has come back from an older copy since.
    Restored,
    /// The answer was made before the store came back, and arrived late.
    Outdated,
}

/// Newest generation known; none before the first answer that names one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NewestGeneration {
    known: Option<Generation>,
    has_risen: bool,
}

impl NewestGeneration {
    /// Records the generation of an answer, or one that another daemon knows.
    pub fn observe(&mut self, generation: Generation) -> GenerationStatus {
        match self.known {
            Some(known) if generation < known => return GenerationStatus::Outdated,
            Some(known) if generation == known => return GenerationStatus::Current,
            Some(_) => self.has_risen = true,
            None => {}
        }
        self.known = Some(generation);
        if self.has_risen { GenerationStatus::Restored } else { GenerationStatus::Current }
    }

    /// The newest generation known.
    #[must_use]
    pub fn get(self) -> Option<Generation> {
        self.known
    }

    /// The newest generation if it has risen since the first one known, for other daemons. The first one is nothing
    /// new to those that read the store.
    #[must_use]
    pub fn news(self) -> Option<Generation> {
        self.known.filter(|_| self.has_risen)
    }
}
