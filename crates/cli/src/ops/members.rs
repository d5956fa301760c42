//! `members`: the mesh as a daemon sees it.

use baobabreel_client::wire::MemberDoc;
use eyre::eyre;
use serde::Serialize;
use serde_json::json;

use crate::commands::members::MembersOptions;
use crate::context::{Context, Daemon};
use crate::report::{Exit, Failure, OrExit, Outcome, Table};

/// Lists members, as the first daemon that answers sees them.
///
/// # Errors
///
/// No daemon can be reached.
pub async fn members<L, D: Daemon>(
    cx: &Context<L, D>,
    _: &MembersOptions,
) -> Result<Outcome, Failure> {
    let mut last = Err(eyre!("`--daemon URL` is needed")).or_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.members().await {
            Ok(mut members) => {
                members.sort_by(|a, b| (&a.data_centre, &a.id).cmp(&(&b.data_centre, &b.id)));
                let text = format!("as {} sees them\n\n{}", daemon.url(), table(&members).text());
                return Ok(Outcome::done(text, json!({"members": members})));
            }
            Err(e) => last = Err(e).or_exit(Exit::Unreachable),
        }
    }
    last
}

fn table(members: &[MemberDoc]) -> Table {
    let mut table = Table::new(["DATA CENTRE", "DAEMON", "SERVICE", "STATE", "SLOTS", "POLICY"]);
    for member in members {
        table.row([
            member.data_centre.clone(),
            member.id.clone(),
            member.service.clone().unwrap_or_else(|| "-".to_owned()),
            word(&member.state),
            member.slots.to_string(),
            member.policy.as_ref().map_or_else(|| "-".to_owned(), word),
        ]);
    }
    table
}

/// Name of a value in documents.
pub(super) fn word(value: &impl Serialize) -> String {
    json!(value).as_str().unwrap_or("-").to_owned()
}
