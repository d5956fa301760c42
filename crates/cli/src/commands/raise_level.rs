//! `raise-level N`.

use baobabreel_core::id::{ChangeId, SchemaVersion};
use getopts::Options;

use super::common::{Parsed, Stop, Usage};

const USAGE: Usage = Usage {
    line: "raise-level N [OPTIONS]",
    purpose: "Makes schema version N part of the verdict, if every live daemon understands it.",
};

/// Options of `raise-level`.
#[derive(Debug, Clone)]
pub struct RaiseLevelOptions {
    /// New judged level.
    pub level: SchemaVersion,
    /// Identifier of the change; a new one when absent.
    pub change_id: Option<ChangeId>,
    /// Who makes the change.
    pub author: String,
    /// Whether the daemons are not asked.
    pub force: bool,
}

pub(super) fn parse(args: &[String]) -> Result<Parsed<RaiseLevelOptions>, Stop> {
    let mut options = Options::new();
    options
        .optopt("", "change-id", "identifier of the change; repeating it has no effect", "ID")
        .optopt("", "author", "who makes the change (default operator)", "NAME")
        .optflag("", "force", "do not ask the daemons; those that are too old will hold");
    let (common, matches) = USAGE.parse(args, options)?;
    let [level] = USAGE.free(&matches, ["N"])?;
    let options = RaiseLevelOptions {
        level: USAGE.value("N", &level)?,
        change_id: matches.opt_str("change-id"),
        author: common.author(&matches),
        force: matches.opt_present("force"),
    };
    Ok(Parsed { common, options })
}
