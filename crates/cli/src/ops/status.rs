//! `status`: shows which daemons have the current revision of each record.

use std::collections::BTreeMap;

use baobabreel_core::config::{RecordKey, Version};
use serde_json::json;

use super::log_view::LogView;
use super::mesh::{Mesh, query_mesh};
use crate::commands::status::StatusOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, Outcome, Table, WithExit};

/// Revisions of all records at a configuration version.
pub(super) struct RecordRevisions {
    pub(super) version: Version,
    /// Where the revisions come from, for the output.
    pub(super) source: String,
    pub(super) revisions: BTreeMap<RecordKey, Version>,
}

/// Shows, per record and data centre, how many daemons have its revision, and names the daemons
/// that are not known to have the current version.
///
/// # Errors
///
/// No daemon can be reached, or the records cannot be read from the log or a daemon.
pub async fn status<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    _: &StatusOptions,
) -> Result<Outcome, Failure> {
    let mesh = query_mesh(cx).await?;
    let records = load_record_revisions(cx).await?;
    let problem_lines = mesh.problem_lines(records.version);
    let mut text = format!("version {} ({})\n\n", records.version, records.source);
    text.push_str(&table(&mesh, &records).render());
    if !problem_lines.is_empty() {
        text.push('\n');
    }
    for line in &problem_lines {
        text.push_str(line);
        text.push('\n');
    }
    let of_record = |(key, revision): (&RecordKey, &Version)| {
        let counts = mesh.data_centres().into_iter().map(|name| {
            let (have, all) = mesh.count_at_version(&name, *revision);
            (name, json!({"have": have, "all": all}))
        });
        json!({"key": key, "revision": revision, "data_centres": counts.collect::<BTreeMap<_, _>>()})
    };
    let list: Vec<_> = records.revisions.iter().map(of_record).collect();
    let json = json!({"version": records.version, "records": list, "troubles": problem_lines});
    Ok(Outcome::done(text, json))
}

fn table(mesh: &Mesh, records: &RecordRevisions) -> Table {
    let names = mesh.data_centres();
    let heading = ["RECORD".to_owned(), "REVISION".to_owned()];
    let mut table = Table::new(heading.into_iter().chain(names.iter().cloned()));
    for (key, revision) in &records.revisions {
        let cells = names.iter().map(|name| {
            let (have, all) = mesh.count_at_version(name, *revision);
            format!("{have}/{all}")
        });
        table.push_row([key.to_string(), revision.to_string()].into_iter().chain(cells));
    }
    table
}

/// Loads the revisions from the log if its address is given, otherwise from the first daemon that
/// answers.
pub(super) async fn load_record_revisions<L: Log, D: Daemon>(
    cx: &Context<L, D>,
) -> Result<RecordRevisions, Failure> {
    if let Some(log) = &cx.log {
        let view = LogView::load(log).await?;
        let records = view.state.records().iter();
        return Ok(RecordRevisions {
            version: view.state.version(),
            source: format!("level {}, from the log", view.state.level()),
            revisions: records.map(|(key, r)| (key.clone(), r.revision)).collect(),
        });
    }
    let mut last_failure =
        Err(eyre::eyre!("`--log URL` or `--daemon URL` is required")).with_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.records().await {
            Ok(doc) => {
                let records = doc.records.into_iter();
                return Ok(RecordRevisions {
                    version: doc.version,
                    source: format!("from {}", daemon.url()),
                    revisions: records.map(|r| (r.key, r.record.revision)).collect(),
                });
            }
            Err(e) => last_failure = Err(e).with_exit(Exit::Unreachable),
        }
    }
    last_failure
}
