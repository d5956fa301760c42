//! Number of records per read, adapted to the answers.

/// Number of records that one read asks for.
///
/// With large records, an answer can exceed the size limit or the timeout of the reader. The number is
/// halved after such an answer, doubled after a fast one, and reset once the reader has caught up.
#[derive(Debug, Clone, Copy)]
pub struct ReadSize {
    max_records: usize,
    /// Largest number of records whose answer is not known to be too large.
    ceiling: usize,
    limit: usize,
}

impl ReadSize {
    /// Starts with the maximum number of records.
    #[must_use]
    pub fn new(max_records: usize) -> Self {
        Self { max_records, ceiling: max_records, limit: max_records }
    }

    /// Number of records to ask for in the next read.
    #[must_use]
    pub fn limit(self) -> usize {
        self.limit
    }

    /// Halves the number after an answer that was too large; returns false if it is already 1.
    pub fn on_too_large(&mut self) -> bool {
        self.ceiling = (self.limit / 2).max(1);
        self.halve()
    }

    /// Halves the number after a timeout; returns false if it is already 1.
    pub fn on_timeout(&mut self) -> bool {
        self.halve()
    }

    /// Adapts the number to an answer with `records` records; `quick` tells whether an answer with twice
    /// as many would also have arrived in time.
    pub fn on_answer(&mut self, records: usize, quick: bool) {
        if records < self.limit {
            // The reader has caught up, so the next read returns other records.
            *self = Self::new(self.max_records);
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
