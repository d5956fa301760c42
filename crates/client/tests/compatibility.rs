//! Tests that messages of the version before, which knew no conditions, no generations of the store and no releases,
//! are still understood, and that new messages look like those while there is nothing to add.

use std::net::SocketAddr;

use baobabreel_client::wire::{
    AnswerHead, CallHead, ConditionWire, LoadWire, MemberWire, Position, decode, encode,
};
use baobabreel_core::condition::{Condition, RateLimit, RateStatement, ReportedCondition};
use baobabreel_core::config::{Class, Version};
use baobabreel_core::error::{ErrorKind, Outcome};
use baobabreel_core::membership::MemberState;
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

/// [`MemberWire`] of the version before.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct OldMemberWire {
    id: String,
    incarnation: u64,
    sequence: u64,
    data_centre: String,
    service: Option<String>,
    peer_addr: SocketAddr,
    state: MemberState,
    slots: u32,
}

/// Guards against daemons of two versions that cannot read each other's members.
#[test]
fn member_without_a_release_is_that_of_the_version_before() {
    let peer_addr = SocketAddr::from(([10, 0, 0, 7], 7_540));
    let (id, data_centre) = ("yard-1".to_owned(), "hobart-a".to_owned());
    let service = Some("yard".to_owned());
    let old = OldMemberWire {
        id: id.clone(),
        incarnation: 5,
        sequence: 2,
        data_centre: data_centre.clone(),
        service: service.clone(),
        peer_addr,
        state: MemberState::Ready,
        slots: 4,
    };
    let new = MemberWire {
        id,
        incarnation: 5,
        sequence: 2,
        data_centre,
        service,
        peer_addr,
        state: MemberState::Ready,
        slots: 4,
        release: None,
    };
    let encoded = encode(&new).expect("the member cannot be encoded");
    assert_eq!(encoded, encode(&old).expect("the old member cannot be encoded"));
    assert_eq!(decode::<MemberWire>(&encoded).ok(), Some(new.clone()));
    let released = MemberWire { release: Some("v2".to_owned()), ..new };
    let encoded = encode(&released).expect("the member cannot be encoded");
    assert_eq!(decode::<MemberWire>(&encoded).ok(), Some(released));
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
