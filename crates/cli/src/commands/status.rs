//! `status`.

use getopts::Options;

use super::common::{Parsed, Stop, Usage};

const USAGE: Usage = Usage {
    line: "status [OPTIONS]",
    purpose: "Shows how many daemons per data centre have each record, and names the others.",
};

/// Options of `status`.
#[derive(Debug, Clone)]
pub struct StatusOptions;

pub(super) fn parse(args: &[String]) -> Result<Parsed<StatusOptions>, Stop> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [] = USAGE.free(&matches, [])?;
    let options = StatusOptions;
    Ok(Parsed { common, options })
}
