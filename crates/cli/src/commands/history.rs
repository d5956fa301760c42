//! `history [KEY]`.

use baobabreel_core::config::RecordKey;
use getopts::Options;

use super::common::{Parsed, Stop, Usage};

const USAGE: Usage = Usage {
    line: "history [KEY] [OPTIONS]",
    purpose: "Lists the changes that the log retains, of all records or of KEY, with verdicts.",
};

/// Options of `history`.
#[derive(Debug, Clone)]
pub struct HistoryOptions {
    /// Record whose changes are listed.
    pub key: Option<RecordKey>,
}

pub(super) fn parse(args: &[String]) -> Result<Parsed<HistoryOptions>, Stop> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let key = match matches.free.as_slice() {
        [] => None,
        _ => {
            let [key] = USAGE.free(&matches, ["KEY"])?;
            Some(USAGE.value("KEY", &key)?)
        }
    };
    let options = HistoryOptions { key };
    Ok(Parsed { common, options })
}
