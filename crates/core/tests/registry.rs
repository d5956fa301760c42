//! The fold of the stream of members.

use std::time::Duration;

use baobabreel_core::registry::{
    FoldEffect, Incarnate, OwnershipEnd, PastOwnership, Registry, RegistryError,
};
use baobabreel_core::rendezvous;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn join(id: &str, incarnation: u64) -> String {
    format!(
        r#"{{"type":"join","id":"{id}","incarnation":{incarnation},"data_centre":"kingston-c",
        "service":"yard","peer_addr":"127.0.0.1:7"}}"#
    )
}

fn end(how: &str, id: &str, incarnation: u64) -> String {
    format!(r#"{{"type":"{how}","id":"{id}","incarnation":{incarnation}}}"#)
}

/// Folds entries of generation 1 from `first` on, one a second.
fn folded(first: u64, entries: &[String]) -> (Registry, Vec<FoldEffect>) {
    let mut registry = Registry::new();
    let fold = |(offset, entry): (u64, &String)| registry.fold(1, offset, entry, secs(offset));
    let effects = (first..).zip(entries).map(fold).collect::<Result<_, _>>();
    (registry, effects.expect("no gap"))
}

fn present(registry: &Registry) -> Vec<(&str, u64)> {
    let daemons = registry.iter();
    daemons.map(|found| (&*found.id, found.incarnation)).collect()
}

// Guards against entries of old incarnations, repeats and malformed entries that change anything.
#[test]
fn only_entries_of_current_incarnations_count() {
    use FoldEffect::{Changed, Malformed, Unchanged};
    let entries = [
        join("a", 2),
        join("a", 2),
        join("a", 1),
        end("evict", "a", 1),
        end("leave", "a", 1),
        end("evict", "b", 1),
        r#"{"type":"join","id":"c"}"#.to_owned(),
        end("merge", "a", 9),
        end("evict", "a", 2),
        join("a", 2),
    ];
    let (mut registry, effects) = folded(1, &entries);
    let noops = [Unchanged; 5];
    assert_eq!(effects[..6], [&[Changed][..], &noops].concat());
    assert_eq!(effects[6..], [Malformed, Malformed, Changed, Changed]);
    assert_eq!(present(&registry), [("a", 2)]);
    assert_eq!(registry.malformed(), 2);

    assert_eq!(registry.fold(1, 4, "", secs(11)), Ok(FoldEffect::Known));
    let (expected, found) = (11, 12);
    let gap = RegistryError::Gap { expected, found };
    assert_eq!(registry.fold(1, 12, &join("b", 1), secs(11)), Err(gap));
    assert_eq!(registry.fold(2, 1, &join("b", 1), secs(12)), Ok(Changed));
    assert_eq!(present(&registry), [("b", 1)]);
    assert_eq!(registry.unknown_until(), None);
}

// Guards against readers that conclude something else from a cut log than from the whole one.
#[test]
fn a_cut_log_gives_the_same_registrations_once_joins_are_renewed() {
    let entries = [
        join("a", 1),
        join("b", 1),
        join("a", 2),
        end("evict", "b", 1),
        join("b", 1),
        join("a", 1),
        join("a", 2),
    ];
    let (whole, _) = folded(1, &entries);
    for first in 2..=5 {
        let (cut, _) = folded(first, &entries[first as usize - 1..]);
        assert_eq!(present(&cut), present(&whole), "from offset {first}");
        assert_eq!(cut.unknown_until(), None);
    }
    // Nobody knows the owners in the logs before this one.
    let mut replaced = Registry::new();
    let folded = replaced.fold(3, 1, &join("a", 1), secs(5));
    assert_eq!(folded, Ok(FoldEffect::Changed));
    assert_eq!(replaced.unknown_until(), Some(secs(5)));
}

// Guards against a new owner that asks too few, or that waits for changes of others' keys.
#[test]
fn owners_follow_the_rank_of_each_key() {
    let ids = ["a", "b", "c"];
    let keys: Vec<String> = (0..200).map(|n| format!("key-{n}")).collect();
    let joins: Vec<String> = ids.iter().map(|id| join(id, 1)).collect();
    let (all, _) = folded(1, &joins);
    let (mut ended, _) = folded(1, &[joins.as_slice(), &[end("leave", "b", 1)]].concat());
    for key in &keys {
        let ranked: Vec<&str> =
            all.ranked_daemons("yard", key).iter().map(|found| &*found.id).collect();
        let rank = |id: &str| ranked.iter().position(|ranked| *ranked == id);
        let owner = all.owner("yard", key).expect("three are registered");
        assert_eq!(owner.id, ranked[0]);
        // Each daemon joined after the ones before it in the alphabet.
        let position = ids.iter().position(|id| *id == owner.id).expect("it joined");
        assert_eq!(all.owned_since("yard", key), Some(secs(position as u64 + 1)));
        let mut expected: Vec<&str> = vec![];
        for id in ids[..position].iter().copied() {
            if expected.iter().all(|before| rank(before) > rank(id)) {
                expected.push(id);
            }
        }
        let stints = all.previous_owners("yard", key, secs(3));
        let earlier: Vec<&str> = stints.iter().map(|stint| &*stint.owner.id).collect();
        assert_eq!(earlier, expected, "{key}");

        let moved = owner.id == "b";
        let last = ended.previous_owners("yard", key, secs(4)).pop();
        let (owner, ended_at) = (Incarnate::new("b", 1), secs(4));
        let end = OwnershipEnd::Left;
        assert_eq!(last == Some(PastOwnership { owner, ended_at, end }), moved);
        assert_eq!(ended.owned_since("yard", key) == Some(secs(4)), moved);
    }
    ended.fold(1, 5, "", secs(700)).expect("no gap");
    let forgotten = |key: &String| ended.previous_owners("yard", key, secs(700)).is_empty();
    assert!(keys.iter().all(forgotten));
}

// Guards against ranks that favour some candidates, or that go together for different keys.
#[test]
fn keys_spread_evenly_over_first_and_second_ranks() {
    let names: Vec<String> = (0..22).map(|n| format!("uy-sur-a-{n}")).collect();
    let mut counts = std::collections::BTreeMap::new();
    for key in 0..44_000 {
        let key = format!("pedidos\0key-{key}");
        let ranked = rendezvous::rank(key.as_bytes(), names.iter().map(String::as_str));
        assert_eq!(
            rendezvous::first(key.as_bytes(), names.iter().map(String::as_str)),
            ranked.first().copied()
        );
        *counts.entry((0, ranked[0])).or_insert(0) += 1;
        *counts.entry((1, ranked[1])).or_insert(0) += 1;
        *counts.entry((2, ranked[21])).or_insert(0) += 1;
    }
    // 2,000 are expected of each; 5 standard deviations are 218.
    assert_eq!(counts.len(), 66);
    assert!(counts.values().all(|n| (1_782..=2_218).contains(n)), "{counts:?}");
}
