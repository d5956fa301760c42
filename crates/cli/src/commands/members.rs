//! `members`.

use getopts::Options;

use super::common::{Parsed, Stop, Usage};

const USAGE: Usage = Usage {
    line: "members [OPTIONS]",
    purpose: "Lists the members of the mesh as a daemon sees them.",
};

/// Options of `members`.
#[derive(Debug, Clone)]
pub struct MembersOptions;

pub(super) fn parse(args: &[String]) -> Result<Parsed<MembersOptions>, Stop> {
    let (common, matches) = USAGE.parse(args, Options::new())?;
    let [] = USAGE.free(&matches, [])?;
    let options = MembersOptions;
    Ok(Parsed { common, options })
}
