//! Buffers for long bodies.

use std::time::Duration;

use baobabreel_core::buffers::BufferTable;

/// Memory of an instance with eight buffers, in bytes.
const MEMORY: u64 = 24 << 20;

/// Guards against more long bodies at once than there is memory for, and against a buffer that is lost.
#[test]
fn buffers_are_limited_and_come_back() {
    let mut table = BufferTable::new(Some(MEMORY));
    assert_eq!(table.count(), 8);
    let ids: Vec<_> = std::iter::from_fn(|| table.take()).collect();
    assert_eq!(ids.len(), 8);
    table.release(ids[3]);
    assert!(table.take().is_some());
    assert_eq!(table.take(), None);
}

/// Guards against bodies that wait in great number, though their requests could be served elsewhere.
#[test]
fn as_many_bodies_wait_as_there_are_buffers() {
    let mut table = BufferTable::new(Some(MEMORY));
    for _ in 0..table.count() {
        table.begin_wait();
        assert!(!table.is_crowded());
    }
    table.begin_wait();
    assert!(table.is_crowded());
    table.end_wait();
    assert!(!table.is_crowded());
}

/// Guards against a small instance without any buffer, whose long bodies would wait for ever.
#[test]
fn smallest_instance_has_a_buffer() {
    assert!(BufferTable::new(Some(1)).take().is_some());
}

/// Guards against buffers that clients keep which neither read nor send, and against the interruption of one that does,
/// or of a slow one that nobody waits for.
#[test]
fn buffers_of_clients_that_lag_are_taken_back_for_others() {
    let mut table = BufferTable::new(Some(MEMORY));
    let ids: Vec<_> = std::iter::from_fn(|| table.take()).collect();
    for id in &ids {
        table.wait(*id, Duration::ZERO);
    }
    let now = Duration::from_secs(3);
    table.record_progress(ids[0], 1 << 20, now);
    assert!(table.choose_lagging(now).is_empty(), "nobody waits");
    table.begin_wait();
    let chosen = table.choose_lagging(now);
    assert!(chosen.len() == 1 && chosen[0] != ids[0], "{chosen:?}");
    table.release(chosen[0]);
    table.end_wait();
    assert!(table.choose_lagging(now).is_empty(), "nobody waits any more");
}
