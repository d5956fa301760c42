//! Arguments of `check FILE`.

use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "check FILE [OPTIONS]",
    summary: "Reads every form in FILE; with --log, gives the verdict that it would get now.",
};

/// Options of `check`.
#[derive(Debug, Clone)]
pub struct CheckOptions {
    /// Path of the change file.
    pub file: String,
}

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<CheckOptions>, ParseError> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [file] = USAGE.positional(&matches, ["FILE"])?;
    let options = CheckOptions { file };
    Ok(ParsedCommand { common, options })
}
