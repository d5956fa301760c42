//! `publish FILE`.

use std::collections::BTreeMap;
use std::time::Duration;

use baobabreel_core::config::{RecordKey, Version};
use baobabreel_core::id::ChangeId;
use getopts::Options;

use super::common::{Parsed, Stop, Usage};

/// Time to wait for all daemons, in seconds; the target is 9 s.
const DEFAULT_TIMEOUT_S: u64 = 30;

const USAGE: Usage = Usage {
    line: "publish FILE [OPTIONS]",
    purpose: "Publishes FILE as one change and prints its verdict.",
};

/// Options of `publish`.
#[derive(Debug, Clone)]
pub struct PublishOptions {
    /// File of changes.
    pub file: String,
    /// Identifier of the change; a new one when absent.
    pub change_id: Option<ChangeId>,
    /// Who makes the change.
    pub author: String,
    /// Expected revisions in place of those in the log; `None`: the record must not exist.
    pub expect: BTreeMap<RecordKey, Option<Version>>,
    /// Whether to wait until every live daemon has the change.
    pub wait: bool,
    /// Longest wait.
    pub timeout: Duration,
}

pub(super) fn parse(args: &[String]) -> Result<Parsed<PublishOptions>, Stop> {
    let mut options = Options::new();
    options
        .optopt("", "change-id", "identifier of the change; repeating it has no effect", "ID")
        .optopt("", "author", "who makes the change (default operator)", "NAME")
        .optmulti("", "expect", "revision that a record must have, or `absent`", "KEY=VERSION")
        .optflag("", "wait", "wait until every live daemon has the change")
        .optopt("", "timeout", "longest wait (default 30)", "SECONDS");
    let (common, matches) = USAGE.parse(args, options)?;
    let [file] = USAGE.free(&matches, ["FILE"])?;
    let mut expect = BTreeMap::new();
    for text in matches.opt_strs("expect") {
        let (key, version) = expected(&text)?;
        expect.insert(key, version);
    }
    let timeout = match matches.opt_str("timeout") {
        Some(text) => USAGE.value("--timeout", &text)?,
        None => DEFAULT_TIMEOUT_S,
    };
    let options = PublishOptions {
        file,
        change_id: matches.opt_str("change-id"),
        author: common.author(&matches),
        expect,
        wait: matches.opt_present("wait"),
        timeout: Duration::from_secs(timeout),
    };
    Ok(Parsed { common, options })
}

fn expected(text: &str) -> Result<(RecordKey, Option<Version>), Stop> {
    let Some((key, version)) = text.split_once('=') else {
        return Err(USAGE.fault(&format!("--expect `{text}` is not KEY=VERSION")));
    };
    let key = USAGE.value("--expect", key)?;
    let version = match version {
        "absent" => None,
        version => Some(USAGE.value("--expect", version)?),
    };
    Ok((key, version))
}
