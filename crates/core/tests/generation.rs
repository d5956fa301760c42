//! Tests of the generation of the platform's store.

use baobabreel_core::relay::{GenerationStatus, NewestGeneration};

/// Guards against a restored store that goes unnoticed, and against late answers from before that count.
#[test]
fn restored_store_and_late_answers_are_told_apart() {
    let mut newest = NewestGeneration::default();
    assert_eq!(newest.get(), None);
    assert_eq!(newest.observe(3), GenerationStatus::Current, "the first one is nothing new");
    assert_eq!(newest.observe(3), GenerationStatus::Current);
    assert_eq!(newest.observe(5), GenerationStatus::Restored);
    assert_eq!(newest.observe(3), GenerationStatus::Outdated);
    assert_eq!(newest.get(), Some(5));
    assert_eq!(newest.observe(5), GenerationStatus::Current);
}
