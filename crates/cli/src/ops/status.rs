//! `status`: where each record stands.

use std::collections::BTreeMap;

use baobabreel_core::config::{RecordKey, Version};
use serde_json::json;

use super::log_view::LogView;
use super::mesh::{Mesh, mesh_of};
use crate::commands::status::StatusOptions;
use crate::context::{Context, Daemon, Log};
use crate::report::{Exit, Failure, OrExit, Outcome, Table};

/// Records with their revisions, at a version of the configuration.
pub(super) struct Records {
    pub(super) version: Version,
    pub(super) source: String,
    pub(super) revisions: BTreeMap<RecordKey, Version>,
}

/// Shows, per record and data centre, how many daemons have its revision, and names the others.
///
/// # Errors
///
/// Neither the log nor a daemon gives the records, or no daemon can be reached.
pub async fn status<L: Log, D: Daemon>(
    cx: &Context<L, D>,
    _: &StatusOptions,
) -> Result<Outcome, Failure> {
    let mesh = mesh_of(cx).await?;
    let records = records(cx).await?;
    let troubles = mesh.troubles(records.version);
    let mut text = format!("version {} ({})\n\n", records.version, records.source);
    text.push_str(&table(&mesh, &records).text());
    if !troubles.is_empty() {
        text.push('\n');
    }
    for line in &troubles {
        text.push_str(line);
        text.push('\n');
    }
    let of_record = |(key, revision): (&RecordKey, &Version)| {
        let having = mesh.data_centres().into_iter().map(|name| {
            let (have, all) = mesh.having(&name, *revision);
            (name, json!({"have": have, "all": all}))
        });
        json!({"key": key, "revision": revision, "data_centres": having.collect::<BTreeMap<_, _>>()})
    };
    let list: Vec<_> = records.revisions.iter().map(of_record).collect();
    let json = json!({"version": records.version, "records": list, "troubles": troubles});
    Ok(Outcome::done(text, json))
}

fn table(mesh: &Mesh, records: &Records) -> Table {
    let names = mesh.data_centres();
    let heading = ["RECORD".to_owned(), "REVISION".to_owned()];
    let mut table = Table::new(heading.into_iter().chain(names.iter().cloned()));
    for (key, revision) in &records.revisions {
        let cells = names.iter().map(|name| {
            let (have, all) = mesh.having(name, *revision);
            format!("{have}/{all}")
        });
        table.row([key.to_string(), revision.to_string()].into_iter().chain(cells));
    }
    table
}

/// Records of the log when one is given, otherwise of the first daemon that answers.
pub(super) async fn records<L: Log, D: Daemon>(cx: &Context<L, D>) -> Result<Records, Failure> {
    if let Some(log) = &cx.log {
        let view = LogView::load(log).await?;
        let records = view.state.records().iter();
        return Ok(Records {
            version: view.state.version(),
            source: format!("level {}, from the log", view.state.level()),
            revisions: records.map(|(key, r)| (key.clone(), r.revision)).collect(),
        });
    }
    let mut last = Err(eyre::eyre!("`--log URL` or `--daemon URL` is needed")).or_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.records().await {
            Ok(doc) => {
                let records = doc.records.into_iter();
                return Ok(Records {
                    version: doc.version,
                    source: format!("from {}", daemon.url()),
                    revisions: records.map(|r| (r.key, r.record.revision)).collect(),
                });
            }
            Err(e) => last = Err(e).or_exit(Exit::Unreachable),
        }
    }
    last
}
