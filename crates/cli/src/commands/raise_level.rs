//! Arguments of `raise-level N`.

use baobabreel_core::id::{ChangeId, SchemaVersion};
use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "raise-level N [OPTIONS]",
    summary: "Makes schema version N part of the verdict, if every live daemon understands it.",
};

/// Options of `raise-level`.
#[derive(Debug, Clone)]
pub struct RaiseLevelOptions {
    /// New schema level.
    pub level: SchemaVersion,
    /// Identifier of the change; generated if absent.
    pub change_id: Option<ChangeId>,
    /// Author of the change.
    pub author: String,
    /// Whether to skip the check that all daemons support the level.
    pub force: bool,
}

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<RaiseLevelOptions>, ParseError> {
    let mut options = Options::new();
    options
        .optopt("", "change-id", "identifier of the change; repeating it has no effect", "ID")
        .optopt("", "author", "who makes the change (default operator)", "NAME")
        .optflag("", "force", "do not ask the daemons; those that are too old will hold");
    let (common, matches) = USAGE.parse(args, options)?;
    let [level] = USAGE.positional(&matches, ["N"])?;
    let options = RaiseLevelOptions {
        level: USAGE.parse_value("N", &level)?,
        change_id: matches.opt_str("change-id"),
        author: common.author(&matches),
        force: matches.opt_present("force"),
    };
    Ok(ParsedCommand { common, options })
}
