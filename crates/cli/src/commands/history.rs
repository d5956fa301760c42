//! Arguments of `history [KEY]`.

use baobabreel_core::config::RecordKey;
use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "history [KEY] [OPTIONS]",
    summary: "Lists the changes that the log retains, of all records or of KEY, with verdicts.",
};

/// Options of `history`.
#[derive(Debug, Clone)]
pub struct HistoryOptions {
    /// Key of the record whose changes are listed; `None` lists all changes.
    pub key: Option<RecordKey>,
}

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<HistoryOptions>, ParseError> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let key = match matches.free.as_slice() {
        [] => None,
        _ => {
            let [key] = USAGE.positional(&matches, ["KEY"])?;
            Some(USAGE.parse_value("KEY", &key)?)
        }
    };
    let options = HistoryOptions { key };
    Ok(ParsedCommand { common, options })
}
