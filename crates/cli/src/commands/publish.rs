//! Arguments of `publish FILE`.

use std::collections::BTreeMap;
use std::time::Duration;

use baobabreel_core::config::{RecordKey, Version};
use baobabreel_core::id::ChangeId;
use getopts::Options;

use super::common::{ParseError, ParsedCommand, Usage};

/// Default time to wait for all daemons, in seconds. The target for a change to reach them is 9 s.
const DEFAULT_TIMEOUT_SECS: u64 = 30;

const USAGE: Usage = Usage {
    syntax: "publish FILE [OPTIONS]",
    summary: "Publishes FILE as one change and prints its verdict.",
};

/// Options of `publish`.
#[derive(Debug, Clone)]
pub struct PublishOptions {
    /// Path of the change file.
    pub file: String,
    /// Identifier of the change; generated if absent.
    pub change_id: Option<ChangeId>,
    /// Author of the change.
    pub author: String,
    /// Expected revisions that replace those in the log; `None` if the record must not exist.
    pub expect: BTreeMap<RecordKey, Option<Version>>,
    /// Whether to wait until every live daemon has the change.
    pub wait: bool,
    /// Maximum time to wait.
    pub timeout: Duration,
}

pub(super) fn parse(args: &[String]) -> Result<ParsedCommand<PublishOptions>, ParseError> {
    let mut options = Options::new();
    options
        .optopt("", "change-id", "identifier of the change; repeating it has no effect", "ID")
        .optopt("", "author", "who makes the change (default operator)", "NAME")
        .optmulti("", "expect", "revision that a record must have, or `absent`", "KEY=VERSION")
        .optflag("", "wait", "wait until every live daemon has the change")
        .optopt("", "timeout", "longest wait (default 30)", "SECONDS");
    let (common, matches) = USAGE.parse(args, options)?;
    let [file] = USAGE.positional(&matches, ["FILE"])?;
    let mut expect = BTreeMap::new();
    for text in matches.opt_strs("expect") {
        let (key, version) = parse_expected_revision(&text)?;
        expect.insert(key, version);
    }
    let timeout = match matches.opt_str("timeout") {
        Some(text) => USAGE.parse_value("--timeout", &text)?,
        None => DEFAULT_TIMEOUT_SECS,
    };
    let options = PublishOptions {
        file,
        change_id: matches.opt_str("change-id"),
        author: common.author(&matches),
        expect,
        wait: matches.opt_present("wait"),
        timeout: Duration::from_secs(timeout),
    };
    Ok(ParsedCommand { common, options })
}

/// Parses `KEY=VERSION` or `KEY=absent`.
fn parse_expected_revision(text: &str) -> Result<(RecordKey, Option<Version>), ParseError> {
    let Some((key, version)) = text.split_once('=') else {
        return Err(USAGE.error(&format!("--expect `{text}` is not KEY=VERSION")));
    };
    let key = USAGE.parse_value("--expect", key)?;
    let version = match version {
        "absent" => None,
        version => Some(USAGE.parse_value("--expect", version)?),
    };
    Ok((key, version))
}
