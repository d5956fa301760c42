//! `explain`: shows how a daemon would route a request.

use baobabreel_client::wire::ExplainDoc;
use eyre::eyre;
use serde_json::json;

use super::members::serialized_name;
use crate::commands::explain::ExplainOptions;
use crate::context::{Context, Daemon};
use crate::report::{Exit, Failure, Outcome, Table, WithExit};

/// Shows the routing decision for a request, from the first daemon that answers.
///
/// # Errors
///
/// No daemon address is given, or no daemon can be reached.
pub async fn explain<L, D: Daemon>(
    cx: &Context<L, D>,
    options: &ExplainOptions,
) -> Result<Outcome, Failure> {
    let mut last_failure = Err(eyre!("`--daemon URL` is required")).with_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.explain(&options.query).await {
            Ok(doc) => return Ok(Outcome::done(format_explanation(&doc), json!(doc))),
            Err(e) => last_failure = Err(e).with_exit(Exit::Unreachable),
        }
    }
    last_failure
}

fn format_explanation(doc: &ExplainDoc) -> String {
    let or_none = |text: Option<String>| text.unwrap_or_else(|| "none".to_owned());
    let schema = doc.schema.map(|schema| format!(" (schema {schema})"));
    let route = doc.route.clone().map(|route| route + &schema.unwrap_or_default());
    let rows = [
        ("daemon", Some(doc.daemon.clone())),
        ("version", Some(doc.version.to_string())),
        ("route", route),
        ("service", doc.service.clone()),
        ("class", doc.class.as_ref().map(serialized_name)),
        ("owner", doc.owner.clone()),
        ("chosen", doc.chosen.clone()),
        ("error", doc.error.clone()),
    ];
    let mut text = String::new();
    for (name, value) in rows {
        text.push_str(&format!("{name:<8} {}\n", or_none(value)));
    }
    if doc.candidates.is_empty() {
        return text;
    }
    let mut table = Table::new(["CANDIDATE", "DATA CENTRE", "STATE", "ABLE", "REASON"]);
    for candidate in &doc.candidates {
        table.push_row([
            candidate.name.clone(),
            candidate.data_centre.clone(),
            serialized_name(&candidate.state),
            if candidate.able { "yes" } else { "no" }.to_owned(),
            candidate.reason.clone(),
        ]);
    }
    format!("{text}\n{}", table.render())
}
