//! Tests of the registry, which folds the log of joins, leaves and evictions of daemons.

use std::time::Duration;

use baobabreel_core::registry::{
    FoldEffect, Incarnate, OwnershipEnd, PastOwnership, Registry, RegistryError,
};
use baobabreel_core::rendezvous;

const fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// A log entry by which a daemon joins.
fn join_entry(id: &str, incarnation: u64) -> String {
    format!(
        r#"{{"type":"join","id":"{id}","incarnation":{incarnation},"data_centre":"kingston-c",
        "service":"yard","peer_addr":"127.0.0.1:7"}}"#
    )
}

/// A log entry of the type `how`, `leave` or `evict`, that ends the registration of a daemon.
fn end_entry(how: &str, id: &str, incarnation: u64) -> String {
    format!(r#"{{"type":"{how}","id":"{id}","incarnation":{incarnation}}}"#)
}

/// Folds entries of generation 1 from offset `first` on, one per second, into a new registry.
fn fold_entries(first: u64, entries: &[String]) -> (Registry, Vec<FoldEffect>) {
    let mut registry = Registry::new();
    let fold = |(offset, entry): (u64, &String)| registry.fold(1, offset, entry, secs(offset));
    let effects = (first..).zip(entries).map(fold).collect::<Result<_, _>>();
    (registry, effects.expect("the offsets have no gap"))
}

/// Ids and incarnations of the registered daemons.
fn registered_daemons(registry: &Registry) -> Vec<(&str, u64)> {
    let daemons = registry.iter();
    daemons.map(|found| (&*found.id, found.incarnation)).collect()
}

// Guards against entries of old incarnations, repeated entries and malformed entries that change the
// registry.
#[test]
fn only_entries_of_current_incarnations_count() {
    use FoldEffect::{Changed, Malformed, Unchanged};
    let entries = [
        join_entry("a", 2),
        join_entry("a", 2),
        join_entry("a", 1),
        end_entry("evict", "a", 1),
        end_entry("leave", "a", 1),
        end_entry("evict", "b", 1),
        r#"{"type":"join","id":"c"}"#.to_owned(),
        end_entry("merge", "a", 9),
        end_entry("evict", "a", 2),
        join_entry("a", 2),
    ];
    let (mut registry, effects) = fold_entries(1, &entries);
    let unchanged = [Unchanged; 5];
    assert_eq!(effects[..6], [&[Changed][..], &unchanged].concat());
    assert_eq!(effects[6..], [Malformed, Malformed, Changed, Changed]);
    assert_eq!(registered_daemons(&registry), [("a", 2)]);
    assert_eq!(registry.malformed(), 2);

    assert_eq!(registry.fold(1, 4, "", secs(11)), Ok(FoldEffect::Known));
    let (expected, found) = (11, 12);
    let gap = RegistryError::Gap { expected, found };
    assert_eq!(registry.fold(1, 12, &join_entry("b", 1), secs(11)), Err(gap));
    assert_eq!(registry.fold(2, 1, &join_entry("b", 1), secs(12)), Ok(Changed));
    assert_eq!(registered_daemons(&registry), [("b", 1)]);
    assert_eq!(registry.unknown_until(), None);
}

// Guards against readers that reach another state from a truncated log than from the whole one.
#[test]
fn a_truncated_log_gives_the_same_registrations_once_joins_are_renewed() {
    let entries = [
        join_entry("a", 1),
        join_entry("b", 1),
        join_entry("a", 2),
        end_entry("evict", "b", 1),
        join_entry("b", 1),
        join_entry("a", 1),
        join_entry("a", 2),
    ];
    let (whole, _) = fold_entries(1, &entries);
    for first in 2..=5 {
        let (truncated, _) = fold_entries(first, &entries[first as usize - 1..]);
        assert_eq!(
            registered_daemons(&truncated),
            registered_daemons(&whole),
            "from offset {first}"
        );
        assert_eq!(truncated.unknown_until(), None);
    }
    // The owners in earlier generations of the log are unknown.
    let mut replaced = Registry::new();
    let folded = replaced.fold(3, 1, &join_entry("a", 1), secs(5));
    assert_eq!(folded, Ok(FoldEffect::Changed));
    assert_eq!(replaced.unknown_until(), Some(secs(5)));
}

// Guards against a new owner that asks too few previous owners, or that waits because of changes to keys
// of others.
#[test]
fn owner_and_previous_owners_follow_the_rank_of_each_key() {
    let ids = ["a", "b", "c"];
    let keys: Vec<String> = (0..200).map(|n| format!("key-{n}")).collect();
    let joins: Vec<String> = ids.iter().map(|id| join_entry(id, 1)).collect();
    let (with_b, _) = fold_entries(1, &joins);
    let (mut without_b, _) =
        fold_entries(1, &[joins.as_slice(), &[end_entry("leave", "b", 1)]].concat());
    for key in &keys {
        let ranked: Vec<&str> =
            with_b.ranked_daemons("yard", key).iter().map(|found| &*found.id).collect();
        let rank = |id: &str| ranked.iter().position(|ranked| *ranked == id);
        let owner = with_b.owner("yard", key).expect("three daemons are registered");
        assert_eq!(owner.id, ranked[0]);
        // The daemons joined in alphabetical order, one per second.
        let position =
            ids.iter().position(|id| *id == owner.id).expect("the owner is one of the daemons");
        assert_eq!(with_b.owned_since("yard", key), Some(secs(position as u64 + 1)));
        let mut expected: Vec<&str> = vec![];
        for id in ids[..position].iter().copied() {
            if expected.iter().all(|before| rank(before) > rank(id)) {
                expected.push(id);
            }
        }
        let past_ownerships = with_b.previous_owners("yard", key, secs(3));
        let previous_owners: Vec<&str> =
            past_ownerships.iter().map(|ownership| &*ownership.owner.id).collect();
        assert_eq!(previous_owners, expected, "{key}");

        let was_owned_by_b = owner.id == "b";
        let last = without_b.previous_owners("yard", key, secs(4)).pop();
        let (owner, ended_at) = (Incarnate::new("b", 1), secs(4));
        let end = OwnershipEnd::Left;
        assert_eq!(last == Some(PastOwnership { owner, ended_at, end }), was_owned_by_b);
        assert_eq!(without_b.owned_since("yard", key) == Some(secs(4)), was_owned_by_b);
    }
    without_b.fold(1, 5, "", secs(700)).expect("the offsets have no gap");
    let has_no_previous_owner =
        |key: &String| without_b.previous_owners("yard", key, secs(700)).is_empty();
    assert!(keys.iter().all(has_no_previous_owner));
}

// Guards against ranks that favour some candidates, or that are correlated between keys.
#[test]
fn candidates_are_ranked_first_second_and_last_equally_often() {
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
    // Each candidate is expected 2,000 times at each of the three ranks; 218 is 5 standard deviations.
    assert_eq!(counts.len(), 66);
    assert!(counts.values().all(|n| (1_782..=2_218).contains(n)), "{counts:?}");
}
