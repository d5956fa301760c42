//! Records to ask for in one read.

/// Number of records that one read asks for.
///
/// Large records can make an answer larger than the reader takes, or slower than it waits.
#[derive(Debug, Clone, Copy)]
pub struct ReadSize {
    most: usize,
    /// Most records that are not known to be too large an answer.
    ceiling: usize,
    limit: usize,
}

impl ReadSize {
    /// Starts with the most records.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self { most, ceiling: most, limit: most }
    }

    /// Records to ask for in the next read.
    #[must_use]
    pub fn limit(self) -> usize {
        self.limit
    }

    /// The answer was too large; returns whether a smaller one is possible.
    pub fn on_too_large(&mut self) -> bool {
        self.ceiling = (self.limit / 2).max(1);
        self.halve()
    }

    /// The answer did not come in time; returns whether a smaller one is possible.
    pub fn on_timeout(&mut self) -> bool {
        self.halve()
    }

    /// Takes note of an answer with so many records; `quick` tells whether twice as many would also have
    /// come in time.
    pub fn on_answer(&mut self, records: usize, quick: bool) {
        if records < self.limit {
            // The reader has caught up, so the next records are others.
            *self = Self::new(self.most);
        } else if quick {
            self.limit = (self.limit * 2).min(self.ceiling);
        }
    }

    fn halve(&mut self) -> bool {
        let before = self.limit;
        self.limit = (before / 2).max(1);
        self.limit < before
    }
}
