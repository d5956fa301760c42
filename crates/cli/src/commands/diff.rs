//! `diff FILE` and `diff VERSION VERSION`.

use baobabreel_core::config::Version;
use getopts::Options;

use super::common::{Parsed, Stop, Usage};

const USAGE: Usage = Usage {
    line: "diff FILE | VERSION VERSION [OPTIONS]",
    purpose: "Shows what FILE would change, or what changed between two versions.",
};

/// What is compared.
#[derive(Debug, Clone)]
pub enum DiffOf {
    /// The newest version with a file of changes on top of it.
    File(String),
    /// Two versions.
    Versions(Version, Version),
}

/// Options of `diff`.
#[derive(Debug, Clone)]
pub struct DiffOptions {
    /// What is compared.
    pub of: DiffOf,
}

pub(super) fn parse(args: &[String]) -> Result<Parsed<DiffOptions>, Stop> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let of = match matches.free.as_slice() {
        [file] => DiffOf::File(file.clone()),
        [before, after] => {
            DiffOf::Versions(USAGE.value("VERSION", before)?, USAGE.value("VERSION", after)?)
        }
        _ => return Err(USAGE.fault("expected FILE or VERSION VERSION")),
    };
    let options = DiffOptions { of };
    Ok(Parsed { common, options })
}
