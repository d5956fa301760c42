//! Arguments of `status`.

use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "status [OPTIONS]",
    summary: "Shows how many daemons per data centre have each record, and names the others.",
};

/// Options of `status`.
#[derive(Debug, Clone)]
pub struct StatusOptions;

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<StatusOptions>, ParseError> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [] = USAGE.positional(&matches, [])?;
    let options = StatusOptions;
    Ok(ParsedCommand { common, options })
}
