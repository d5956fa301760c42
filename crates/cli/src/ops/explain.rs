//! `explain`: where a request would go.

use baobabreel_client::wire::ExplainDoc;
use eyre::eyre;
use serde_json::json;

use super::members::word;
use crate::commands::explain::ExplainOptions;
use crate::context::{Context, Daemon};
use crate::report::{Exit, Failure, OrExit, Outcome, Table};

/// Asks the first daemon that answers.
///
/// # Errors
///
/// No daemon can be reached.
pub async fn explain<L, D: Daemon>(
    cx: &Context<L, D>,
    options: &ExplainOptions,
) -> Result<Outcome, Failure> {
    let mut last = Err(eyre!("`--daemon URL` is needed")).or_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.explain(&options.query).await {
            Ok(doc) => return Ok(Outcome::done(describe(&doc), json!(doc))),
            Err(e) => last = Err(e).or_exit(Exit::Unreachable),
        }
    }
    last
}

fn describe(doc: &ExplainDoc) -> String {
    let or_none = |text: Option<String>| text.unwrap_or_else(|| "none".to_owned());
    let schema = doc.schema.map(|schema| format!(" (schema {schema})"));
    let route = doc.route.clone().map(|route| route + &schema.unwrap_or_default());
    let rows = [
        ("daemon", Some(doc.daemon.clone())),
        ("version", Some(doc.version.to_string())),
        ("route", route),
        ("service", doc.service.clone()),
        ("class", doc.class.as_ref().map(word)),
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
        table.row([
            candidate.name.clone(),
            candidate.data_centre.clone(),
            word(&candidate.state),
            if candidate.able { "yes" } else { "no" }.to_owned(),
            candidate.reason.clone(),
        ]);
    }
    format!("{text}\n{}", table.text())
}
