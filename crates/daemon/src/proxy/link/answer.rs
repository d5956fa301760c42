//! Answers to other daemons that ask to send a large body.

use std::time::Duration;

use baobabreel_client::wire::{BodyAnswer, BodyQuery};
use baobabreel_core::link::{BodyOffer, LinkDecision};
use xxhash_rust::xxh3::xxh3_64;

use crate::context::{Cx, Phase};
use crate::sync::lock;

/// Path of the message that asks for the grant of a large body.
pub const BODY_GRANT_PATH: &str = "/peer/v1/body-grant";

/// Time that must be left for the response to travel back.
const RESPONSE_MARGIN: Duration = Duration::from_millis(5);

/// Longest expected wait for a slot after the body has arrived; admission refuses requests when its queue stands for as
/// long, and their bodies would have been sent in vain.
const MAX_SLOT_WAIT: Duration = Duration::from_millis(100);

/// Shortest time in the `Retry-After` of a refusal.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Decides whether a body may be sent to the local backend server.
pub fn answer_body_query(cx: &Cx, query: &BodyQuery) -> BodyAnswer {
    let now = cx.clock.now();
    let remaining = Duration::from_millis(query.remaining_ms);
    let is_closed = cx.phase() >= Phase::Handover || !cx.admits_call(now + remaining);
    if is_closed || !cx.host.serves(&query.service) {
        return BodyAnswer::NotServing;
    }
    let Some(budgets) = &cx.links.budgets else {
        return BodyAnswer::Granted { start_ms: query.not_before_ms, bytes_per_sec: u64::MAX };
    };
    let load = cx.host.visible_load(now);
    let run_time = cx.links.run_time(&query.route);
    let left = remaining.saturating_sub(run_time + RESPONSE_MARGIN);
    let mut inbound = lock(&budgets.inbound);
    let pending = u32::try_from(inbound.pending()).unwrap_or(u32::MAX);
    let slot_wait = slot_wait(load.running + load.queued, pending, load.slots, run_time);
    let max_slot_wait = left.min(inbound.wait() + MAX_SLOT_WAIT);
    if slot_wait > max_slot_wait {
        let retry_after = (slot_wait - max_slot_wait).max(MIN_RETRY_AFTER);
        return BodyAnswer::Refused { retry_after_ms: millis(retry_after), load };
    }
    let offer = BodyOffer {
        id: query.id,
        bytes: query.bytes,
        class: query.class,
        source: source(&query.route, query.tenant.as_deref()),
        not_before: now + Duration::from_millis(query.not_before_ms),
        arrive_by: now + left,
        max_wait: query
            .max_wait_ms
            .map(|wait| Duration::from_millis(wait.saturating_add(query.not_before_ms))),
    };
    match inbound.offer(&offer, now) {
        LinkDecision::Grant { start } => BodyAnswer::Granted {
            start_ms: millis(start.saturating_sub(now)),
            bytes_per_sec: inbound.bytes_per_sec() as u64,
        },
        LinkDecision::Wait(wait) => BodyAnswer::Wait { wait_ms: millis(wait), load },
        LinkDecision::Refuse { retry_after } => {
            BodyAnswer::Refused { retry_after_ms: millis(retry_after), load }
        }
    }
}

/// Source of a body for the count of refusals.
#[must_use]
pub fn source(route: &str, tenant: Option<&str>) -> u64 {
    xxh3_64(route.as_bytes()) ^ tenant.map_or(0, |tenant| xxh3_64(tenant.as_bytes()).rotate_left(1))
}

/// Expected wait for a slot behind `others` and the `pending` requests whose bodies have not begun to arrive.
fn slot_wait(others: u32, pending: u32, slots: u32, run_time: Duration) -> Duration {
    let slots = slots.max(1);
    let ahead = others.saturating_add(pending).saturating_add(1).saturating_sub(slots);
    run_time.mul_f64(f64::from(ahead) / f64::from(slots))
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
