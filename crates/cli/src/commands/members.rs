//! Arguments of `members`.

use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "members [OPTIONS]",
    summary: "Lists the members of the mesh as a daemon sees them.",
};

/// Options of `members`.
#[derive(Debug, Clone)]
pub struct MembersOptions;

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<MembersOptions>, ParseError> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [] = USAGE.positional(&matches, [])?;
    let options = MembersOptions;
    Ok(ParsedCommand { common, options })
}
