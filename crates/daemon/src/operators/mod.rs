//! HTTP endpoints for operators: status, members, records, routing decisions and metrics.
//!
//! They are read-only.

mod explain;
mod mesh;
mod query;

use baobabreel_client::wire::{
    BackendServerDoc, LogDoc, MemberDoc, RecordDoc, RecordsDoc, StatusDoc,
};
use baobabreel_core::config::CompiledConfig;
use baobabreel_core::membership::{Member, MemberState};
use bytes::Bytes;
use http::{Method, Request, StatusCode};

use crate::context::{Cx, Phase};
use crate::control::{Control, DistributionStatus, FoldedRecords, GetRecords, GetStatus};
use crate::listeners::Reply;
use crate::proxy::has_token;

pub use mesh::STATUS_PATH;

/// Answers a request to the listener for operators.
pub async fn serve_operators(cx: Cx, control: Control, req: Request<Bytes>) -> Reply {
    if !has_token(&cx.settings, req.headers()) {
        return Reply::error(StatusCode::FORBIDDEN, "the token is missing or wrong");
    }
    if req.method() != Method::GET {
        return Reply::error(StatusCode::METHOD_NOT_ALLOWED, "only GET is supported");
    }
    match req.uri().path() {
        "/status" => match status(&cx, &control).await {
            Some(doc) => Reply::json(&doc),
            None => stopping_reply(),
        },
        "/mesh" => match mesh::collect(&cx, &control).await {
            Some(docs) => Reply::json(&docs),
            None => stopping_reply(),
        },
        "/records" => match control.config.distribution() {
            Some(distribution) => match distribution.ask(GetRecords).await {
                Ok(folded) => Reply::json(&records(&cx, &folded)),
                Err(_) => stopping_reply(),
            },
            None => Reply::json(&cx.documents.newest().as_ref().map(|newest| &newest.document)),
        },
        "/members" => Reply::json(&members(&cx)),
        "/explain" => match explain::explain(&cx, req.uri().query().unwrap_or_default()) {
            Ok(doc) => Reply::json(&doc),
            Err(detail) => Reply::error(StatusCode::BAD_REQUEST, &detail),
        },
        "/metrics" => match cx.metrics.render() {
            Ok(body) => {
                Reply { status: StatusCode::OK, media_type: "text/plain; version=0.0.4", body }
            }
            Err(e) => Reply::error(StatusCode::INTERNAL_SERVER_ERROR, &format!("{e:#}")),
        },
        _ => Reply::error(
            StatusCode::NOT_FOUND,
            "the paths are /status, /mesh, /records, /members, /explain and /metrics",
        ),
    }
}

fn stopping_reply() -> Reply {
    Reply::error(StatusCode::SERVICE_UNAVAILABLE, "the daemon is stopping")
}

/// Status of this daemon, or `None` while it is stopping.
pub async fn status(cx: &Cx, control: &Control) -> Option<StatusDoc> {
    let status = match control.config.distribution() {
        Some(distribution) => distribution.ask(GetStatus).await.ok()?,
        None => DistributionStatus::default(),
    };
    let config = cx.config.load();
    let members = cx.members.load();
    let own = members.get(&cx.identity.id);
    let load = cx.host.load();
    let millis = |age: std::time::Duration| u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    Some(StatusDoc {
        daemon: cx.identity.id.clone(),
        incarnation: cx.incarnation(),
        data_centre: cx.identity.data_centre.clone(),
        service: own.and_then(|own| own.service.clone()),
        state: own.map_or(MemberState::Cold, |own| own.state),
        serving: cx.phase() == Phase::Serving,
        version: config.version,
        digest: status.digest,
        level: status.level,
        max_schema: cx.settings.max_schema,
        held: status.held,
        passed_over: config.passed_over.clone(),
        members: members.live().count(),
        log: LogDoc {
            relay: cx.is_relay(),
            config_confirmed_ms: status.config_age.map(millis),
            members_confirmed_ms: status.members_age.map(millis),
            error: cx.follower.error(),
        },
        backend_server: cx.host.info().map(|info| BackendServerDoc {
            address: info.address.to_string(),
            slots: info.slots,
            running: load.running,
            queued: load.queued,
        }),
    })
}

/// Records with, for each, the schema version of the form that this daemon uses.
fn records(cx: &Cx, folded: &FoldedRecords) -> RecordsDoc {
    let max_schema = cx.settings.max_schema;
    let config = cx.config.load();
    let in_use = |key: &baobabreel_core::config::RecordKey,
                  record: &baobabreel_core::config::Record| {
        let is_passed_over = |schema: &u32| config.passed_over.contains(&(key.clone(), *schema));
        record
            .forms
            .range(..=max_schema)
            .rev()
            .map(|(schema, _)| *schema)
            .find(|s| !is_passed_over(s))
    };
    let records = folded
        .records
        .iter()
        .map(|(key, record)| RecordDoc {
            key: key.clone(),
            record: record.clone(),
            schema_in_use: in_use(key, record),
        })
        .collect();
    RecordsDoc { version: folded.version, records }
}

fn members(cx: &Cx) -> Vec<MemberDoc> {
    let config = cx.config.load();
    let members = cx.members.load();
    members.iter().map(|m| member_doc(&config, m)).collect()
}

fn member_doc(config: &CompiledConfig, member: &Member) -> MemberDoc {
    MemberDoc {
        id: member.id.clone(),
        incarnation: member.incarnation,
        data_centre: member.data_centre.clone(),
        service: member.service.clone(),
        peer_addr: member.peer_addr.to_string(),
        state: member.state,
        slots: member.slots,
        release: member.release.clone(),
        policy: config.backend_servers.get(&member.id).map(|policy| policy.state),
    }
}
