//! Tests that messages of the version before, which knew no conditions and no generations of the store, are still
//! understood, and that new messages look like those while there is nothing to add.

use baobabreel_client::wire::{
    AnswerHead, CallHead, ConditionWire, LoadWire, Position, decode, encode,
};
use baobabreel_core::condition::{Condition, RateLimit, RateStatement, ReportedCondition};
use baobabreel_core::config::{Class, Version};
use baobabreel_core::error::{ErrorKind, Outcome};
use http::HeaderValue;
use serde::{Deserialize, Serialize};

/// [`AnswerHead`] of the version before.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldAnswerHead {
    outcome: Outcome,
    error: Option<ErrorKind>,
    load: LoadWire,
}

/// [`Position`] of the version before.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldPosition {
    config: Version,
    config_digest: u64,
    members: Version,
}

fn condition() -> ConditionWire {
    let limit = RateLimit::from_milli_per_second(21_250);
    let condition = Condition { rate: RateStatement::Limited(limit), is_leaving: true };
    ReportedCondition { instance: "i-1".to_owned(), boot: Some(7), condition }.into()
}

fn call_head(condition: Option<ConditionWire>) -> CallHead {
    CallHead {
        id: 1,
        route: "r-1".to_owned(),
        service: "yard".to_owned(),
        class: Class::Lookup,
        remaining_ms: 500,
        retry: false,
        version: Version::default(),
        key: None,
        target_ms: Some(200),
        only_if_free: true,
        condition,
    }
}

/// Guards against statements that are lost between daemons.
#[test]
fn conditions_are_carried_by_calls_and_answers() {
    for condition in [None, Some(condition())] {
        let head = call_head(condition.clone());
        assert_eq!(CallHead::try_from(&HeaderValue::from(&head)), Ok(head));
        let load = LoadWire::default();
        let answer = AnswerHead { outcome: Outcome::Ran, error: None, load, condition };
        assert_eq!(AnswerHead::try_from(&HeaderValue::from(&answer)), Ok(answer));
    }
}

/// Guards against daemons of two versions that cannot read each other's answers and positions.
#[test]
fn messages_without_news_are_those_of_the_version_before() {
    let (error, load) = (Some(ErrorKind::Draining), LoadWire { running: 1, queued: 2, slots: 3 });
    let old = OldAnswerHead { outcome: Outcome::NotRun, error, load };
    let new = AnswerHead { outcome: Outcome::NotRun, error, load, condition: None };
    let encoded = encode(&new).expect("the head cannot be encoded");
    assert_eq!(encoded, encode(&old).expect("the old head cannot be encoded"));
    assert_eq!(decode::<AnswerHead>(&encoded).ok(), Some(new));
    let (config, members) = (Version::default(), Version::default());
    let old = OldPosition { config, config_digest: 5, members };
    let new = Position { config, config_digest: 5, members, store_generation: None };
    let encoded = encode(&new).expect("the position cannot be encoded");
    assert_eq!(encoded, encode(&old).expect("the old position cannot be encoded"));
    assert_eq!(decode::<Position>(&encoded).ok(), Some(new));
}
