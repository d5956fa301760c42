//! `check FILE`.

use getopts::Options;

use super::common::{Parsed, Stop, Usage};

const USAGE: Usage = Usage {
    line: "check FILE [OPTIONS]",
    purpose: "Reads every form in FILE; with --log, gives the verdict that it would get now.",
};

/// Options of `check`.
#[derive(Debug, Clone)]
pub struct CheckOptions {
    /// File of changes.
    pub file: String,
}

pub(super) fn parse(args: &[String]) -> Result<Parsed<CheckOptions>, Stop> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [file] = USAGE.free(&matches, ["FILE"])?;
    let options = CheckOptions { file };
    Ok(Parsed { common, options })
}
