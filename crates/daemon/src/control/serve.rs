//! Serves control messages that other daemons send over HTTP.

use baobabreel_client::wire::{
    BodyQuery, CallQuery, CallStateWire, DocumentNotice, DocumentQuery, Envelope, KeyQueryWire,
    LeavingNotice, LeavingQuery, PullWire, PushWire, QuotaRequest, ReadingNotice, RolloutNotice,
    SuspectNotice, decode,
};
use baobabreel_core::calls::Addressee;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use kameo::actor::ActorRef;
use serde::Serialize;

use super::distribution::{PullRequested, Pushed};
use super::documents::{self, DOCUMENT_PATH, NOTICE_PATH};
use super::membership::ReceivedRequest;
use super::push::encoded;
use super::quota::{self, QUOTA_PATH};
use super::reading::{self, READING_PATH};
use super::rollouts::{self, ROLLOUT_NOTICE_PATH, ROLLOUT_REPORT_PATH};
use super::suspects::{self, SUSPECTS_PATH};
use super::witnesses::{self, LEAVING_PATH, LEAVING_QUERY_PATH};
use super::{Control, Distribution};
use crate::context::Cx;
use crate::operators::{STATUS_PATH, status as status_doc};
use crate::proxy::{BODY_GRANT_PATH, ProxyBody, answer_body_query};

/// Maximum size of a control message, in bytes.
const MAX_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

/// Handles the request with a control message according to its path.
pub async fn serve_control(
    cx: &Cx,
    control: &Control,
    req: Request<Incoming>,
) -> Response<ProxyBody> {
    let (parts, body) = req.into_parts();
    let Ok(body) = Limited::new(body, MAX_MESSAGE_BYTES).collect().await else {
        return status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    cx.metrics.record_control_bytes("in", body.len());
    let answer = match parts.uri.path() {
        "/peer/v1/probe" => probe(cx, control, &body).await,
        "/peer/v1/entries" => entries(control, &body).await,
        "/peer/v1/pull" => pull(control, &body).await,
        DOCUMENT_PATH => document(cx, &body),
        NOTICE_PATH => notice(cx, &body),
        READING_PATH => reading_notice(cx, &body),
        QUOTA_PATH => quota_request(cx, &body),
        SUSPECTS_PATH => suspect_notice(cx, &body),
        ROLLOUT_NOTICE_PATH => rollout_notice(cx, &body),
        ROLLOUT_REPORT_PATH => rollout_report(cx, &body),
        LEAVING_PATH => leaving_notice(cx, &body),
        LEAVING_QUERY_PATH => leaving_query(cx, &body),
        BODY_GRANT_PATH => body_grant(cx, &body),
        "/peer/v1/call-state" => call_state(cx, &body),
        "/peer/v1/outcome" => outcome(cx, &body),
        STATUS_PATH => own_status(cx, control).await,
        _ => return status(StatusCode::NOT_FOUND),
    };
    match answer {
        Ok(data) => {
            cx.metrics.record_control_bytes("out", data.len());
            Response::new(ProxyBody::full(data))
        }
        Err(code) => status(code),
    }
}

fn status(code: StatusCode) -> Response<ProxyBody> {
    let mut res = Response::new(ProxyBody::Empty);
    *res.status_mut() = code;
    res
}

fn answer<T: Serialize>(message: &T) -> Result<Vec<u8>, StatusCode> {
    encoded(message).ok_or(StatusCode::INTERNAL_SERVER_ERROR)
}

fn decode_body<T: serde::de::DeserializeOwned>(body: &Bytes) -> Result<T, StatusCode> {
    decode(body).map_err(|e| {
        tracing::warn!(error = %e, "failed to decode a control message from a peer");
        StatusCode::BAD_REQUEST
    })
}

fn actor_unavailable<E: std::fmt::Display>(e: E) -> StatusCode {
    tracing::debug!(error = %e, "an actor of the control plane did not answer");
    StatusCode::SERVICE_UNAVAILABLE
}

async fn probe(cx: &Cx, control: &Control, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let envelope: Envelope = decode_body(body)?;
    let message =
        control.membership.ask(ReceivedRequest(envelope)).await.map_err(actor_unavailable)?;
    answer(&Envelope { position: cx.position(), message })
}

/// The actor that folds the log, or `NOT_FOUND` in a daemon that is configured by documents.
fn distribution_actor(control: &Control) -> Result<&ActorRef<Distribution>, StatusCode> {
    control.config.distribution().ok_or(StatusCode::NOT_FOUND)
}

fn document(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let query: DocumentQuery = decode_body(body)?;
    answer(&documents::answer(cx, query))
}

fn notice(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let notice: DocumentNotice = decode_body(body)?;
    documents::note_position(cx, notice.from, notice.position);
    answer(&())
}

fn reading_notice(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let notice: ReadingNotice = decode_body(body)?;
    reading::note(cx, notice);
    answer(&())
}

fn suspect_notice(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let notice: SuspectNotice = decode_body(body)?;
    suspects::note(cx, notice);
    answer(&())
}

fn quota_request(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let request: QuotaRequest = decode_body(body)?;
    answer(&quota::answer(cx, &request).ok_or(StatusCode::NOT_FOUND)?)
}

fn rollout_notice(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    for notice in decode_body::<Vec<RolloutNotice>>(body)? {
        rollouts::learn(cx, notice);
    }
    answer(&())
}

fn rollout_report(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    answer(&rollouts::take_report(cx, decode_body(body)?))
}

fn leaving_notice(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let notice: LeavingNotice = decode_body(body)?;
    witnesses::note(cx, notice);
    answer(&())
}

fn leaving_query(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let query: LeavingQuery = decode_body(body)?;
    answer(&witnesses::answer(cx, query))
}

async fn entries(control: &Control, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let push: PushWire = decode_body(body)?;
    answer(&distribution_actor(control)?.ask(Pushed(push)).await.map_err(actor_unavailable)?.0)
}

async fn pull(control: &Control, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let pull: PullWire = decode_body(body)?;
    answer(
        &distribution_actor(control)?.ask(PullRequested(pull)).await.map_err(actor_unavailable)?.0,
    )
}

fn outcome(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let query: KeyQueryWire = decode_body(body)?;
    answer(&cx.keys.answer_prior(&query))
}

fn call_state(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let query: CallQuery = decode_body(body)?;
    let addressee = if query.incarnation == cx.incarnation() {
        Addressee::ThisProcess
    } else {
        Addressee::OtherProcess
    };
    let state = cx.calls.query(query.id, addressee, cx.clock.now());
    answer(&CallStateWire::from(state))
}

fn body_grant(cx: &Cx, body: &Bytes) -> Result<Vec<u8>, StatusCode> {
    let query: BodyQuery = decode_body(body)?;
    answer(&answer_body_query(cx, &query))
}

async fn own_status(cx: &Cx, control: &Control) -> Result<Vec<u8>, StatusCode> {
    let doc = status_doc(cx, control).await;
    answer(&doc.ok_or(StatusCode::SERVICE_UNAVAILABLE)?)
}
