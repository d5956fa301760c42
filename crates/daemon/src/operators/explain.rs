//! Explains which route and backend server a request would use, and why.

use baobabreel_client::wire::{CandidateDoc, ExplainDoc};
use baobabreel_core::config::{BackendServerState, CompiledConfig, Route};
use baobabreel_core::error::ErrorKind;
use baobabreel_core::idempotency::{Attempt, Key, KeyRoute, KeyedRequest, Origin};
use baobabreel_core::membership::{Member, MemberState};
use baobabreel_core::routing::{RequestLine, find_route};

use super::query::parameter;
use crate::context::{Cx, Phase, is_able};
use crate::proxy::candidate;

/// Explains how the daemon would route the request that a query string describes.
///
/// Parameter `path` is required; `method`, `host` and `key` are optional.
///
/// # Errors
///
/// The query has no path, or a parameter is malformed.
pub fn explain(cx: &Cx, query: &str) -> Result<ExplainDoc, String> {
    let path = parameter(query, "path")?.ok_or("the parameter `path` is missing")?;
    let method = parameter(query, "method")?.unwrap_or_else(|| "GET".to_owned());
    let host = parameter(query, "host")?.map(|host| host.to_ascii_lowercase());
    let key = parameter(query, "key")?;
    let config = cx.config.load();
    let request_line = RequestLine { host: host.as_deref(), method: &method, path: &path };
    let route = find_route(&config, request_line);
    let mut doc = ExplainDoc {
        daemon: cx.identity.id.clone(),
        version: config.version,
        route: route.map(|route| route.name.clone()),
        schema: route.map(|route| route.schema),
        service: route.map(|route| route.spec.service.clone()),
        class: route.map(|route| route.spec.class),
        owner: None,
        chosen: None,
        candidates: Vec::new(),
        error: None,
    };
    let Some(route) = route else {
        doc.error = Some(ErrorKind::NoRoute.name().to_owned());
        return Ok(doc);
    };
    if let Some(key) = key {
        explain_key(cx, route, &key, &mut doc)?;
    }
    explain_choice(cx, &config, route, &mut doc);
    if cx.phase() < Phase::Serving {
        doc.error = Some(ErrorKind::NotReady.name().to_owned());
    }
    Ok(doc)
}

/// Finds the owner of an idempotency key.
fn explain_key(cx: &Cx, route: &Route, text: &str, doc: &mut ExplainDoc) -> Result<(), String> {
    let key = Key::parse(text).map_err(|e| e.to_string())?;
    let request = KeyedRequest {
        service: &route.spec.service,
        key: &key,
        fingerprint: 0,
        attempt: Attempt::First,
        origin: Origin::UNKNOWN,
    };
    match cx.keys.route(&request, &cx.members.load()) {
        KeyRoute::Local => doc.owner = Some(cx.identity.id.clone()),
        KeyRoute::Forward { owner, .. } => doc.owner = Some(owner.id),
        KeyRoute::Refuse(kind) => doc.error = Some(kind.name().to_owned()),
    }
    Ok(())
}

/// Fills in the candidates of the service and its fallback, and the one that would be chosen.
fn explain_choice(cx: &Cx, config: &CompiledConfig, route: &Route, doc: &mut ExplainDoc) {
    let view = cx.view.load();
    for service in std::iter::once(&route.spec.service).chain(route.spec.fallback.as_ref()) {
        let members = view.of_service(service);
        let docs = members.iter().map(|member| candidate_doc(config, service, member));
        doc.candidates.extend(docs);
        if doc.chosen.is_none() {
            doc.chosen = candidate(cx, service);
            if doc.chosen.is_some() {
                doc.service = Some(service.clone());
            }
        }
    }
    if doc.chosen.is_none() && doc.error.is_none() {
        doc.error = Some(ErrorKind::NoBackendServer.name().to_owned());
    }
}

fn candidate_doc(config: &CompiledConfig, service: &str, member: &Member) -> CandidateDoc {
    CandidateDoc {
        name: member.id.clone(),
        data_centre: member.data_centre.clone(),
        state: member.state,
        able: is_able(config, service, member),
        reason: reason(config, service, member),
    }
}

/// Why a member is able to take requests of `service`, or is not.
fn reason(config: &CompiledConfig, service: &str, member: &Member) -> String {
    let policy = config.backend_servers.get(&member.id);
    let text = match (member.state, policy) {
        (MemberState::Ready, Some(policy)) if policy.service != service => {
            "its record names another service"
        }
        (MemberState::Ready, Some(policy)) => match policy.state {
            BackendServerState::Enabled => "able",
            BackendServerState::Draining => "its record says draining",
            BackendServerState::Disabled => "its record says disabled",
        },
        (MemberState::Ready, None) => "able",
        (MemberState::Cold, _) => "it is cold",
        (MemberState::Draining, _) => "it is draining",
        (MemberState::Suspect, _) => "it does not answer probes",
        (MemberState::Left, _) => "it has left",
        (MemberState::Dead, _) => "it is dead",
    };
    text.to_owned()
}
