//! The fold of the stream of members.

use std::time::Duration;

use baobabreel_core::registry::{Folded, Incarnate, Registry, RegistryError, Stint, StintEnd};

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
fn folded(first: u64, entries: &[String]) -> (Registry, Vec<Folded>) {
    let mut registry = Registry::new();
    let fold = |(offset, entry): (u64, &String)| registry.fold(1, offset, entry, secs(offset));
    let effects = (first..).zip(entries).map(fold).collect::<Result<_, _>>();
    (registry, effects.expect("no gap"))
}

fn present(registry: &Registry) -> Vec<(&str, u64)> {
    registry
        .iter()
        .map(|found| (found.id.as_str(), found.incarnation))
        .collect()
}

// Guards against entries of old incarnations, repeats and malformed entries that change anything.
#[test]
fn only_entries_of_current_incarnations_count() {
    use Folded::{Changed, Malformed, Unchanged};
    let (mut registry, effects) = folded(
        1,
        &[
            join("a", 2),
            join("a", 2),
            join("a", 1),
            end("evict", "a", 1),
            end("leave", "a", 1),
            end("evict", "b", 1),
            r#"{"type":"join","id":"c"}"#.to_owned(),
            r#"{"type":"merge","id":"a","incarnation":9}"#.to_owned(),
            end("evict", "a", 2),
            join("a", 2),
        ],
    );
    let noops = [Unchanged; 5];
    assert_eq!(effects[..6], [&[Changed][..], &noops].concat());
    assert_eq!(effects[6..], [Malformed, Malformed, Changed, Changed]);
    assert_eq!(
        (present(&registry), registry.malformed()),
        (vec![("a", 2)], 2)
    );

    assert_eq!(registry.fold(1, 4, "", secs(11)), Ok(Folded::Known));
    let gap = RegistryError::Gap {
        expected: 11,
        found: 12,
    };
    assert_eq!(registry.fold(1, 12, &join("b", 1), secs(11)), Err(gap));
    assert_eq!(registry.fold(2, 1, &join("b", 1), secs(12)), Ok(Changed));
    assert_eq!(
        (present(&registry), registry.unknown_until()),
        (vec![("b", 1)], None)
    );
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
    let mut replaced = Registry::new();
    replaced
        .fold(3, 1, &join("a", 1), secs(5))
        .expect("a first entry");
    assert_eq!(
        replaced.unknown_until(),
        Some(secs(5)),
        "older logs are unknown"
    );
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
        let ranked: Vec<&str> = all
            .owners("yard", key)
            .iter()
            .map(|found| &*found.id)
            .collect();
        assert_eq!(
            all.owner("yard", key).map(|found| &*found.id),
            Some(ranked[0])
        );
        // Each daemon joined after the ones before it in the alphabet.
        let position = ids
            .iter()
            .position(|id| *id == ranked[0])
            .expect("it joined") as u64;
        assert_eq!(all.owned_since("yard", key), Some(secs(position + 1)));
        let stints = all.previous_owners("yard", key, secs(3));
        let earlier: Vec<&str> = stints.iter().map(|stint| &*stint.owner.id).collect();
        let mut expected = vec![];
        for (index, id) in ids[..position as usize].iter().enumerate() {
            let rank = |id: &&str| ranked.iter().position(|ranked| ranked == id);
            if ids[..index].iter().all(|before| rank(before) > rank(id)) {
                expected.push(*id);
            }
        }
        assert_eq!(earlier, expected, "{key}");

        let moved = ranked[0] == "b";
        let last = ended.previous_owners("yard", key, secs(4)).pop();
        let owner = Incarnate {
            id: "b".to_owned(),
            incarnation: 1,
        };
        let left = Stint {
            owner,
            ended_at: secs(4),
            end: StintEnd::Left,
        };
        assert_eq!(last == Some(left), moved);
        assert_eq!(ended.owned_since("yard", key) == Some(secs(4)), moved);
    }
    ended.fold(1, 5, "", secs(700)).expect("no gap");
    assert!(
        keys.iter()
            .all(|key| ended.previous_owners("yard", key, secs(700)).is_empty())
    );
}
