//! Tests of the generation of the platform's store.

use baobabreel_core::relay::{Generation, GenerationStatus, NewestGeneration, Place};
use quickcheck::QuickCheck;

/// Guards against a restored store that goes unnoticed, and against late answers from before that count.
#[test]
fn restored_store_and_late_answers_are_told_apart() {
    let mut newest = NewestGeneration::default();
    assert_eq!(newest.get(), None);
    assert_eq!(newest.observe(3), GenerationStatus::Current, "the first one is nothing new");
    assert_eq!(newest.observe(3), GenerationStatus::Current);
    assert_eq!(newest.news(), None, "a message would only cost bytes");
    assert_eq!(newest.observe(5), GenerationStatus::Restored);
    assert_eq!(newest.observe(3), GenerationStatus::Outdated);
    assert_eq!((newest.get(), newest.news()), (Some(5), Some(5)));
    assert_eq!(newest.observe(5), GenerationStatus::Current);
}

/// Store that loses its last records at times, and its only writer, who then writes the newest one again.
#[derive(Debug, Default)]
struct Store {
    records: Vec<u64>,
    generation: Generation,
    newest: u64,
}

impl Store {
    fn append(&mut self) {
        self.newest += 1;
        self.records.push(self.newest);
    }

    fn restore(&mut self, lost: usize) {
        self.records.truncate(self.records.len().saturating_sub(lost));
        self.generation += 1;
        if self.newest > 0 && self.records.last() != Some(&self.newest) {
            self.records.push(self.newest);
        }
    }

    fn end(&self) -> Place {
        Place { offset: self.records.len() as u64, generation: Some(self.generation) }
    }
}

/// Reader that goes on at its place while that holds, and reads the newest record otherwise.
#[derive(Debug)]
struct Reader {
    place: Place,
    newest: u64,
}

impl Reader {
    fn read(&mut self, store: &Store) {
        let from = if self.place.holds_in(Some(store.generation)) { self.place.offset } else { 0 };
        let unread = store.records.iter().skip(from as usize);
        self.newest = unread.copied().fold(self.newest, u64::max);
        self.place = store.end();
    }
}

/// Guards against a record that is missed because its offset was read before the store lost records, whatever the
/// order of changes, losses and reads.
#[test]
fn reader_misses_no_record_of_a_restored_store() {
    fn check(steps: Vec<u8>) -> bool {
        let mut store = Store::default();
        let mut reader = Reader { place: store.end(), newest: 0 };
        steps.into_iter().all(|step| {
            match step % 4 {
                0 | 1 => store.append(),
                2 => store.restore(usize::from(step / 4 % 4)),
                _ => reader.read(&store),
            }
            step % 4 != 3 || reader.newest == store.newest
        })
    }
    QuickCheck::new().tests(2_000).quickcheck(check as fn(Vec<u8>) -> bool);
}

/// Guards against a place that counts as void where the store names no generation, or as valid where another
/// generation is named.
#[test]
fn place_holds_in_its_generation_only() {
    let place = |generation| Place { offset: 7, generation };
    assert!(place(Some(1)).holds_in(Some(1)));
    assert!(place(Some(1)).holds_in(None));
    assert!(place(None).holds_in(None));
    assert!(!place(Some(1)).holds_in(Some(2)));
    assert!(!place(None).holds_in(Some(1)));
}
