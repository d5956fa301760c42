//! Arguments of `get KEY`.

use baobabreel_core::config::RecordKey;
use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "get KEY [OPTIONS]",
    summary: "Shows record KEY (KIND/NAME) with its revision and forms.",
};

/// Options of `get`.
#[derive(Debug, Clone)]
pub struct GetOptions {
    /// Key of the record to show.
    pub key: RecordKey,
}

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<GetOptions>, ParseError> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [key] = USAGE.positional(&matches, ["KEY"])?;
    let key = USAGE.parse_value("KEY", &key)?;
    let options = GetOptions { key };
    Ok(ParsedCommand { common, options })
}
