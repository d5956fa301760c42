//! `members`: lists the members of the mesh as one daemon sees them.

use baobabreel_client::wire::MemberDoc;
use eyre::eyre;
use serde::Serialize;
use serde_json::json;

use crate::commands::members::MembersOptions;
use crate::context::{Context, Daemon};
use crate::report::{Exit, Failure, Outcome, Table, WithExit};

/// Lists the members known to the first daemon that answers.
///
/// # Errors
///
/// No daemon address is given, or no daemon can be reached.
pub async fn members<L, D: Daemon>(
    cx: &Context<L, D>,
    _: &MembersOptions,
) -> Result<Outcome, Failure> {
    let mut last_failure = Err(eyre!("`--daemon URL` is required")).with_exit(Exit::Usage);
    for daemon in &cx.daemons {
        match daemon.members().await {
            Ok(mut members) => {
                members.sort_by(|a, b| (&a.data_centre, &a.id).cmp(&(&b.data_centre, &b.id)));
                let text = format!("as {} sees them\n\n{}", daemon.url(), table(&members).render());
                return Ok(Outcome::done(text, json!({"members": members})));
            }
            Err(e) => last_failure = Err(e).with_exit(Exit::Unreachable),
        }
    }
    last_failure
}

fn table(members: &[MemberDoc]) -> Table {
    let mut table = Table::new(["DATA CENTRE", "DAEMON", "SERVICE", "STATE", "SLOTS", "POLICY"]);
    for member in members {
        table.push_row([
            member.data_centre.clone(),
            member.id.clone(),
            member.service.clone().unwrap_or_else(|| "-".to_owned()),
            serialized_name(&member.state),
            member.slots.to_string(),
            member.policy.as_ref().map_or_else(|| "-".to_owned(), serialized_name),
        ]);
    }
    table
}

/// Returns the serialized name of a unit enum variant, or `-` for other values.
pub(super) fn serialized_name(value: &impl Serialize) -> String {
    json!(value).as_str().unwrap_or("-").to_owned()
}
