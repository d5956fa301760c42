//! Arguments of `explain --path PATH`.

use baobabreel_client::operator::ExplainQuery;
use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

const USAGE: Usage = Usage {
    syntax: "explain --path PATH [OPTIONS]",
    summary: "Shows which record and backend server a request would use, and why.",
};

/// Options of `explain`.
#[derive(Debug, Clone)]
pub struct ExplainOptions {
    /// The request to explain.
    pub query: ExplainQuery,
}

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<ExplainOptions>, ParseError> {
    let mut options = Options::new();
    options
        .optopt("", "path", "path of the request", "PATH")
        .optopt("", "host", "host of the request", "HOST")
        .optopt("", "method", "method of the request (default GET)", "METHOD")
        .optopt("", "key", "idempotency key of the request", "KEY");
    let (common, matches) = USAGE.parse(args, options)?;
    let [] = USAGE.positional(&matches, [])?;
    let path = matches.opt_str("path");
    let query = ExplainQuery {
        path: path.ok_or_else(|| USAGE.error("`--path` is required"))?,
        method: matches.opt_str("method"),
        host: matches.opt_str("host"),
        key: matches.opt_str("key"),
    };
    let options = ExplainOptions { query };
    Ok(ParsedCommand { common, options })
}
