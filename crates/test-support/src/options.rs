//! Options of the programs that run a stand-in as a process.

use std::str::FromStr;

use eyre::WrapErr;
use getopts::{Matches, Options};

/// Parses the arguments of this process; prints the help and returns `None` when it is asked for.
///
/// # Errors
///
/// An argument is not an option, or an option lacks its value.
pub fn parse(options: &Options, program: &str) -> eyre::Result<Option<Matches>> {
    let matches = options.parse(std::env::args().skip(1)).wrap_err("failed to read the options")?;
    if matches.opt_present("help") {
        print!("{}", options.usage(&format!("{program} [options]")));
        return Ok(None);
    }
    Ok(Some(matches))
}

/// Value of an option, if it was given.
///
/// # Errors
///
/// The value cannot be read.
pub fn value<T>(matches: &Matches, name: &str) -> eyre::Result<Option<T>>
where
    T: FromStr<Err: std::error::Error + Send + Sync + 'static>,
{
    matches.opt_get(name).wrap_err_with(|| format!("failed to read option --{name}"))
}
