//! `get KEY`.

use baobabreel_core::config::RecordKey;
use getopts::Options;

use super::common::{Parsed, Stop, Usage};

const USAGE: Usage = Usage {
    line: "get KEY [OPTIONS]",
    purpose: "Shows record KEY (KIND/NAME) with its revision and forms.",
};

/// Options of `get`.
#[derive(Debug, Clone)]
pub struct GetOptions {
    /// Record to show.
    pub key: RecordKey,
}

pub(super) fn parse(args: &[String]) -> Result<Parsed<GetOptions>, Stop> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [key] = USAGE.free(&matches, ["KEY"])?;
    let key = USAGE.value("KEY", &key)?;
    let options = GetOptions { key };
    Ok(Parsed { common, options })
}
