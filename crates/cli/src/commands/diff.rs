//! Arguments of `diff FILE` and `diff VERSION VERSION`.

use baobabreel_core::config::Version;
use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "diff FILE | VERSION VERSION [OPTIONS]",
    summary: "Shows what FILE would change, or what changed between two versions.",
};

/// What is compared.
#[derive(Debug, Clone)]
pub enum DiffTarget {
    /// The newest version, with and without the changes of a file.
    File(String),
    /// An earlier and a later version.
    Versions(Version, Version),
}

/// Options of `diff`.
#[derive(Debug, Clone)]
pub struct DiffOptions {
    /// What is compared.
    pub target: DiffTarget,
}

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<DiffOptions>, ParseError> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let target = match matches.free.as_slice() {
        [file] => DiffTarget::File(file.clone()),
        [before, after] => DiffTarget::Versions(
            USAGE.parse_value("VERSION", before)?,
            USAGE.parse_value("VERSION", after)?,
        ),
        _ => return Err(USAGE.error("expected FILE or VERSION VERSION")),
    };
    let options = DiffOptions { target };
    Ok(ParsedCommand { common, options })
}
